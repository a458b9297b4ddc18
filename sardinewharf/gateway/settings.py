"""Holds the settings of a gateway."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Guarantees:
    """Bounds that the deployment's operators promise to their users.

    Attributes:
        contact_ms: After this time without faults a VM keeps all bounds.
        leaving_ms: A leaving endpoint gets no request after this time.
        grace_ms: Time between the stop signal and the end of the process.
        apply_ms: A new configuration is in force after this time.
        revoke_ms: A revoked key is refused after this time, even when the
            store is out of reach; None if keys may outlast an outage.
        retry_ratio: Requests sent again, as a share of all.
        retry_window_ms: Any span of this length keeps the share.
        retry_extra: Requests sent again beyond the share in a window.
        lease_ms: Least time between the orders of two holders.
        weights_ms: No request begins on replaced weights after this time.
    """

    recovery_ms: int = 3_000
    endpoint_drain_ms: int = 2_000
    grace_ms: int = 8_000
    apply_ms: int = 2_000
    revoke_ms: int | None = 5_000
    retry_ratio: float = 0.1
    retry_window_ms: int = 10_000
    retry_extra: float = 20.0
    handover_pause_ms: int = 3_000
    rollout_limit_ms: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a gateway is told at its start.

    Attributes:
        name: Name of its VM.
        failure_domain: Where it stands.
        listen: ``IP:PORT`` for callers.
        ready_listen: ``IP:PORT`` that says whether it takes connections.
        metrics_listen: ``IP:PORT`` of the metrics; empty for none.
        peer_listen: ``IP:PORT`` for other gateways, UDP.
        store: ``IP:PORT`` of the platform's store.
        promises: Bounds to keep.
    """

    name: str
    failure_domain: str
    listen: str
    ready_listen: str
    metrics_listen: str
    peer_listen: str
    store: str
    guarantees: Guarantees = Guarantees()
