"""Defines the settings of a gateway."""

import dataclasses
import enum

# Bandwidth of a VM's link where the platform states none, in Mbit/s.
DEFAULT_LINK_MBPS = 10.0
# Memory of a process where the platform states no limit, in MB.
DEFAULT_MEMORY_MB = 128.0


class OverloadPolicy(enum.Enum):
    """What a gateway does while engines have too little capacity.

    ``FORWARD``: it sends requests at once, and engines queue or refuse them.
    ``RANK``: it ranks requests by the priorities that the configuration has for
    their service, and delays or refuses those that cost callers least.
    """

    FORWARD = "forward"
    RANK = "rank"


@dataclasses.dataclass(frozen=True, slots=True)
class Guarantees:
    """Bounds that the operators of a deployment guarantee to its users.

    Attributes:
        recovery_ms: Time after the last fault by which a VM keeps all other
            bounds again.
        endpoint_drain_ms: An endpoint that is leaving gets no new requests
            after this time.
        grace_ms: Time from the stop signal until the process is killed.
        apply_ms: A new configuration is in force within this time.
        revoke_ms: A revoked key is refused after this time, even while the
            store is unreachable; None if keys stay valid during an outage.
        retry_ratio: Most retries, as a share of all requests.
        retry_window_ms: Length of the sliding window in which the share holds.
        retry_extra: Retries allowed beyond the share in each window.
        handover_pause_ms: Least time between the last order of one rollout
            leader and the first order of the next.
        rollout_limit_ms: No request starts on replaced weights later than
            this after a new target version is set.
        quota_window_s: Length of the sliding window in which quotas hold.
        quota_over: Most that may exceed a quota, as a share of what it allows
            in a window.
        quota_slack: What may exceed it beyond that, in tokens or requests.
        overload_policy: What to do while engines have too little capacity.
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
    quota_window_s: float = 8.0
    quota_over: float = 0.1
    quota_slack: float = 0.0
    overload_policy: OverloadPolicy = OverloadPolicy.FORWARD


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings that a gateway reads once, at its start.

    Attributes:
        name: Name of the gateway's VM.
        failure_domain: Failure domain of the VM.
        listen: ``IP:PORT`` for callers.
        ready_listen: ``IP:PORT`` of the readiness probe.
        metrics_listen: ``IP:PORT`` of the metrics; empty for none.
        peer_listen: ``IP:PORT`` for UDP datagrams of other gateways.
        store: ``IP:PORT`` of the platform's store.
        guarantees: Bounds that the gateway must keep.
        link_mbps: Bandwidth of the VM's link, in Mbit/s.
        memory_mb: Memory that the process may use, in MB.
        registration_ttl_ms: Time after which the registration of an endpoint
            goes that has crashed.
    """

    name: str
    failure_domain: str
    listen: str
    ready_listen: str
    metrics_listen: str
    peer_listen: str
    store: str
    guarantees: Guarantees = Guarantees()
    link_mbps: float = DEFAULT_LINK_MBPS
    memory_mb: float = DEFAULT_MEMORY_MB
    registration_ttl_ms: int = 3_000
