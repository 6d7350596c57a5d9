"""Adapter to the users' platform: its settings file, its store and its headers.

Each module decodes the platform's formats once into the product's own types and makes
no routing decisions. Only the modules that assemble a daemon import this package.
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
    "PlatformCallerCodec",
    "PlatformEndpointCodec",
    "PlatformSource",
    "PlatformStore",
    "SettingsError",
    "read_settings",
    "settings_path",
]
