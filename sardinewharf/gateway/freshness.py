"""Splits the time in which a new configuration must be in force.

A change reaches a gateway by a chain of steps, and each of them may take as
long as its limit allows. The limits are shares of the time that the operators
of the deployment state, so that their sum stays below it everywhere.

The longest chain is that of a gateway which follows others. Just after its
watcher was confirmed, the store falls silent for that watcher, and a change is
made. The follower accepts the watcher's updates up to ``max_update_age_s``,
polls once more, gets no response, gets none from other gateways either, and
then reads the change from the store itself.

Examples:
    >>> limits = split_apply_time(3.0)
    >>> limits.sum_follower_steps() <= 3.0
    True
    >>> limits.sum_watcher_steps() <= limits.max_update_age_s
    True

See Also:
    ``sync`` and ``feeds``, which keep the limits.
"""

import dataclasses

from sardinewharf.gateway import settings as settings_lib

# Longer times to apply a change do not make the limits longer, in seconds: a
# watch also detects that the store is unresponsive.
_MAX_APPLY_S = 3.0
# Longest random extension of the interval between two polls.
POLL_JITTER = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessLimits:
    """Limits of the steps by which a change reaches a gateway, in seconds.

    Attributes:
        lone_watch_s: Longest watch of a gateway that nobody follows.
        max_unknown_age_s: A route or key that is not found may have been added
            since a replica was confirmed longer ago than this.
        watch_s: Longest watch of a gateway that others follow.
        min_watch_s: Shortest watch of an old replica.
        max_batching_s: Longest delay after changes, in which more are awaited.
        max_update_age_s: An update that was confirmed longer ago is not
            accepted as current.
        poll_s: Mean interval between two polls of a follower.
        response_timeout_s: How long a gateway's response is awaited.
        store_call_s: Time for one call to the store over a new connection.
        catch_up_s: A gateway that is behind another one for this long requests
            the changes from it.
    """

    lone_watch_s: float
    max_unknown_age_s: float
    watch_s: float
    min_watch_s: float
    max_batching_s: float
    max_update_age_s: float
    poll_s: float
    response_timeout_s: float
    store_call_s: float
    catch_up_s: float

    def sum_watcher_steps(self) -> float:
        """Returns the age at which a watcher's replica is confirmed at last."""
        return self.watch_s + self.max_batching_s + self.min_watch_s

    def sum_lone_watcher_steps(self) -> float:
        """Returns the same for a gateway that nobody follows."""
        return self.lone_watch_s + self.max_batching_s + self.min_watch_s

    def sum_follower_steps(self) -> float:
        """Returns how late a follower reads a change at last, in seconds.

        It queries its watchers, then others, and then calls the store.
        """
        return (
            self.max_update_age_s
            + self.poll_s * (1 + POLL_JITTER)
            + 2 * self.response_timeout_s
            + self.store_call_s
        )


def split_guarantees(guarantees: settings_lib.Guarantees) -> FreshnessLimits:
    """Returns the limits that keep the guarantees of a deployment.

    Configurations and leaving endpoints reach a gateway by the same chain.
    """
    shortest_ms = min(guarantees.apply_ms, guarantees.endpoint_drain_ms)
    return split_apply_time(shortest_ms / 1000)


def split_apply_time(apply_s: float) -> FreshnessLimits:
    """Returns the limits for the time in which a change must be in force.

    Args:
        apply_s: That time, in seconds.
    """
    total_s = min(_MAX_APPLY_S, apply_s)
    return FreshnessLimits(
        lone_watch_s=total_s * 0.72,
        max_unknown_age_s=total_s * 0.9,
        watch_s=total_s * 0.36,
        min_watch_s=total_s / 15,
        max_batching_s=total_s / 10,
        max_update_age_s=total_s * 0.54,
        poll_s=total_s / 12,
        response_timeout_s=total_s * 0.075,
        store_call_s=total_s / 5,
        catch_up_s=total_s / 10,
    )
