"""Flags and environment variables for every process setting."""

import os
from collections.abc import Mapping

from absl import flags

from linnetladder.conf.settings import ENVIRONMENT_PREFIX, Settings

__all__ = ["define_setting_flags", "read_setting_flags"]


def define_setting_flags(values: flags.FlagValues) -> None:
    """Define a flag for each setting, without a default of its own."""
    for name, field in Settings.model_fields.items():
        variable = ENVIRONMENT_PREFIX + name.upper()
        help_text = (
            f"{field.description} Default: {_shown(field.default)}. [{variable}]"
        )
        flags.DEFINE_string(name, None, help_text, flag_values=values)


def read_setting_flags(
    values: flags.FlagValues, environment: Mapping[str, str] = os.environ
) -> dict[str, str]:
    """Return what flags and environment set, flags first."""
    found = {}
    for name in Settings.model_fields:
        variable = environment.get(ENVIRONMENT_PREFIX + name.upper())
        given = values[name].value if values[name].value is not None else variable
        if given is not None:
            found[name] = given
    for name in ("instance", "failure_domain", "failure_domains", "platform_urls"):
        found.setdefault(name, "")
    return found


def _shown(default: object) -> str:
    if default in ("", ()):
        return "none"
    return str(default)
