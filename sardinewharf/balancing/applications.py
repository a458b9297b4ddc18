"""Chooses an application server by its share of free slots.

The load pattern: short requests of similar cost arrive in bursts at a few
servers that differ in speed and reject requests beyond their slots.
"""

from collections.abc import Sequence
import dataclasses

from sardinewharf import fleet

# A server in another failure domain is chosen only if its share of busy slots
# is lower by this much.
_REMOTE_DOMAIN_PENALTY = 0.1
# Cost of a server without a free slot, if it reports its slowness: it rejects
# requests, so that the slowest server with a free slot costs less.
_FULL_PENALTY = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerState:
    """Load and health of an application server.

    Attributes:
        id: Id of the server.
        failure_domain: Failure domain of the server.
        slots: Number of requests that it runs concurrently.
        load: Requests that run there.
        failure_rate: Share of its recent responses that failed.
        report: What it reported of its own load and slowness.
    """

    id: str
    failure_domain: str
    slots: int
    load: fleet.EndpointLoad
    failure_rate: float = 0.0
    report: fleet.LoadReport = fleet.UNKNOWN_LOAD


def choose_server(
    servers: Sequence[ServerState], failure_domain: str
) -> str | None:
    """Returns the id of the server with the lowest cost; None without servers.

    The cost is the share of busy slots including this request, multiplied by
    the slowness that a server reports. It is higher for servers outside
    ``failure_domain`` and rises with a server's failure rate.

    Examples:
        >>> busy = ServerState("a", "fd1", 4, fleet.EndpointLoad(running=3))
        >>> idle = ServerState("b", "fd2", 4, fleet.EndpointLoad())
        >>> choose_server([busy, idle], "fd1")
        'b'
        >>> slow = fleet.LoadReport(slowness=6.0)
        >>> idle = dataclasses.replace(idle, report=slow)
        >>> choose_server([busy, idle], "fd1")
        'a'
    """

    def estimate_cost(server: ServerState) -> float:
        report = server.report
        requests = max(server.load.running, report.requests)
        busy_share = (requests + 1) / server.slots * report.slowness
        if report.is_known and requests >= server.slots:
            busy_share += _FULL_PENALTY
        if server.failure_domain != failure_domain:
            busy_share += _REMOTE_DOMAIN_PENALTY
        return busy_share / max(0.05, 1.0 - server.failure_rate)

    best = min(servers, key=estimate_cost, default=None)
    return best.id if best else None
