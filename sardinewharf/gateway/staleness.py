"""Records when a gateway's replica of the store is stale, and for how long.

See Also:
    ``admission``, which refuses requests that need a newer configuration.
"""

from sardinewharf import records
from sardinewharf.gateway import feeds
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib


class StalenessMonitor:
    """Logs the begin and the end of each time in which the replica is stale.

    It is stale if it was not confirmed for as long as a new configuration may
    take to be in force.

    Args:
        replica: The gateway's replica of the store.
        feed: Knows whether the gateway has contact to the store.
        guarantees: State how soon a configuration must be in force.
        log: Where the records are written.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        feed: feeds.Feed,
        guarantees: settings_lib.Guarantees,
        log: records.RecordSink,
    ):
        self._replica = replica
        self._feed = feed
        self._apply_s = guarantees.apply_ms / 1000
        self._log = log
        self._is_stale = False

    def check(self) -> None:
        """Logs it if the replica has become stale, or is confirmed again."""
        is_stale = (
            self._replica.is_filled
            and self._replica.count_age() > self._apply_s
        )
        if is_stale == self._is_stale:
            return
        self._is_stale = is_stale
        if is_stale:
            self._log.write(
                records.events.ReplicaStale(
                    revision=self._replica.revision,
                    configuration=self._replica.configuration.version,
                    age_s=self._replica.round_age(),
                    has_store_contact=self._feed.has_store_contact,
                )
            )
        else:
            self._log.write(
                records.events.ReplicaConfirmed(
                    revision=self._replica.revision,
                    configuration=self._replica.configuration.version,
                    age_s=self._replica.round_age(),
                )
            )
