"""Chooses an application server by its free slots.

The load pattern: short requests of like cost, in bursts, to few servers that
differ in speed and refuse what exceeds their slots.
"""

from collections.abc import Sequence
import dataclasses

from sardinewharf import fleet

# A server in another failure domain is taken if it is less busy by this share
# of its slots.
_REMOTE_DOMAIN_PENALTY = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ServerState:
    """What is known of a server.

    Attributes:
        id: Its id.
        failure_domain: Where it stands.
        slots: Requests that it runs at once.
        load: Work at it.
        failure_rate: Share of its answers that failed of late.
    """

    id: str
    failure_domain: str
    slots: int
    load: fleet.EndpointLoad
    failure_rate: float = 0.0


def choose_server(
    servers: Sequence[ServerState], failure_domain: str
) -> str | None:
    """Returns the server with the most free slots, near ones first.

    Examples:
        >>> busy = ServerState("a", "fd1", 4, fleet.EndpointLoad(running=3))
        >>> idle = ServerState("b", "fd2", 4, fleet.EndpointLoad())
        >>> choose_server([busy, idle], "fd1")
        'b'
    """

    def estimate_cost(server: ServerState) -> float:
        busy = (server.load.running + 1) / server.slots
        if server.failure_domain != failure_domain:
            busy += _REMOTE_DOMAIN_PENALTY
        return busy / max(0.05, 1.0 - server.failure_rate)

    best = min(servers, key=estimate_cost, default=None)
    return best.id if best else None
