"""Configuration of a process: flags, environment variables, and their checks."""

from linnetladder.conf.checks import Problem, check_settings, load_settings
from linnetladder.conf.flags import define_setting_flags, read_setting_flags
from linnetladder.conf.settings import ENVIRONMENT_PREFIX, Settings

__all__ = [
    "ENVIRONMENT_PREFIX",
    "Problem",
    "Settings",
    "check_settings",
    "define_setting_flags",
    "load_settings",
    "read_setting_flags",
]
