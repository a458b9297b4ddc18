"""Adapts the gateway to the interfaces of the users' platform."""

from sardinewharf.platform.changes import EntryReader
from sardinewharf.platform.engines import ServerControl
from sardinewharf.platform.headers import PlatformHeaderCodec
from sardinewharf.platform.settings import SettingsFileError
from sardinewharf.platform.settings import read_settings
from sardinewharf.platform.store import StoreClient

__all__ = [
    "EntryReader",
    "PlatformHeaderCodec",
    "ServerControl",
    "SettingsFileError",
    "StoreClient",
    "read_settings",
]
