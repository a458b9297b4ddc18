"""Defines what the keeping of quotas needs to know of configuration and fleet.

See Also:
    ``gateway.quotas``, which implements it.
"""

import abc
from collections.abc import Collection
from collections.abc import Sequence

from sardinewharf import catalog


class Directory(abc.ABC):
    """What a gateway knows of the configuration and the other gateways."""

    @abc.abstractmethod
    def find_quota(self, organisation: str) -> catalog.Quota | None:
        """Returns an organisation's quota in the configuration in force."""

    @property
    @abc.abstractmethod
    def members(self) -> Collection[str]:
        """Names of the registered gateways; some may be gone for good."""

    @abc.abstractmethod
    def rank(self, organisation: str) -> Sequence[str]:
        """Returns the registered gateways that may keep a quota, in order."""

    @property
    @abc.abstractmethod
    def digest_interval_s(self) -> float:
        """Mean time between two digests of a gateway to this one."""
