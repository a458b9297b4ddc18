"""Runs hostile clients against a gateway as a fault of a soak run."""

import dataclasses

from sardinewharf.soak import faults
from sardinewharf.soak import hostile_clients

FAMILY_NAME = "hostile"
_MODULE = "sardinewharf.soak.hostile_clients"


@dataclasses.dataclass(slots=True)
class HostileClients(faults.Fault):
    """Clients that exceed the limits of a gateway on both of its ports.

    They excuse nothing at their gateway alone, which is why it is not called
    ``name`` as the targets of other faults.

    Attributes:
        gateway: The gateway.
        clients: The clients.
    """

    gateway: str
    clients: tuple[hostile_clients.Client, ...]

    @property
    def target(self):
        """The process of the clients; the gateway may have other faults."""
        return f"{FAMILY_NAME}-{self.gateway}"

    def begin(self, deployment, operator):
        """Starts the clients."""
        front = deployment.find_direct_address(self.gateway)
        ready = deployment.find_ready_address(self.gateway)
        deployment.start_clients(
            self.target,
            _MODULE,
            [
                f"--front={front}",
                f"--ready={ready}",
                *(f"--client={client}" for client in self.clients),
            ],
        )

    def end(self, deployment, operator):
        """Kills the clients, which closes their connections."""
        deployment.kill(self.target)
