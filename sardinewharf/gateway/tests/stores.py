"""Stands in for what a gateway follows the store with."""

from sardinewharf import keyvalue
from sardinewharf.gateway import settings as settings_lib


class WatchOnlyStore(keyvalue.PrefixStore):
    """A store that is only listed and watched."""

    async def delete(self, *arguments):
        raise NotImplementedError

    read = write = watch = grant_lease = renew_lease = delete

    async def close(self):
        """Does nothing."""


def make_settings(name, failure_domain="fd1"):
    """Returns the settings of a gateway that listens nowhere."""
    return settings_lib.GatewaySettings(name, failure_domain, *[""] * 5)
