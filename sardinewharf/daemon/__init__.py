"""The daemon ``sardinewharfd``: its settings, its components and its run."""

from sardinewharf.daemon.service import Daemon
from sardinewharf.daemon.settings import DaemonSettings
from sardinewharf.daemon.settings import SettingsError
from sardinewharf.daemon.settings import read_settings

__all__ = ["Daemon", "DaemonSettings", "SettingsError", "read_settings"]
