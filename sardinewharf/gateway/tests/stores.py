"""Provides a base class for fake stores, a log and settings for tests."""

from sardinewharf import keyvalue
from sardinewharf import records
from sardinewharf.gateway import settings as settings_lib


class WatchOnlyStore(keyvalue.PrefixStore):
    """A base class for fake stores that are only listed and watched."""

    async def delete(self, *arguments):
        raise NotImplementedError

    read = write = watch = grant_lease = renew_lease = delete

    async def close(self):
        """Does nothing."""


class MemoryLog(records.RecordSink):
    """A log that keeps its events in memory."""

    def __init__(self):
        super().__init__(-1, "vm-1", records.SinkSettings())
        self.events = []

    def write(self, event):
        self.events.append(event)


def make_settings(name, failure_domain="fd1"):
    """Returns the settings of a gateway without addresses."""
    return settings_lib.GatewaySettings(name, failure_domain, *[""] * 5)
