"""Flags and environment variables for every process setting."""

import os
from collections.abc import Mapping

from absl import flags

from linnetladder.conf.settings import ENVIRONMENT_PREFIX, Settings

__all__ = ["define_setting_flags", "read_setting_flags"]


def define_setting_flags(values: flags.FlagValues) -> None:
    """Define a flag for each setting; the flags have no defaults of their own."""
    for name, field in Settings.model_fields.items():
        variable = ENVIRONMENT_PREFIX + name.upper()
        help_text = (
            f"{field.description} Default: {_default_text(field.default)}. [{variable}]"
        )
        flags.DEFINE_string(name, None, help_text, flag_values=values)


def read_setting_flags(
    values: flags.FlagValues, environment: Mapping[str, str] = os.environ
) -> dict[str, str]:
    """Return the values set by flags and environment; flags take precedence."""
    setting_values = {}
    for name in Settings.model_fields:
        variable = environment.get(ENVIRONMENT_PREFIX + name.upper())
        configured = values[name].value if values[name].value is not None else variable
        if configured is not None:
            setting_values[name] = configured
    # Defaults are not validated, so an unset required setting is passed as empty.
    for name in ("instance", "failure_domain", "failure_domains", "platform_urls"):
        setting_values.setdefault(name, "")
    return setting_values


def _default_text(default: object) -> str:
    if default in ("", ()):
        return "none"
    return str(default)
