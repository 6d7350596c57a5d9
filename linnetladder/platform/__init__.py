"""The users' platform: its settings, its store and its wire format, and nothing else.

Each module decodes the platform's words once into the product's own types. Nothing
here decides; only the place that puts a daemon together imports this package.
"""

from linnetladder.platform.headers import (
    READY_PATH,
    PlatformCallerCodec,
    PlatformEndpointCodec,
)
from linnetladder.platform.settings import SettingsError, read_settings, settings_path
from linnetladder.platform.source import PlatformSource
from linnetladder.platform.store import PlatformStore

__all__ = [
    "READY_PATH",
    "PlatformCallers",
    "PlatformEndpoints",
    "PlatformSource",
    "PlatformStore",
    "SettingsProblem",
    "read_settings",
    "settings_path",
]
