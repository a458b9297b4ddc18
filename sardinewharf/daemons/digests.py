"""Converts members and configurations to Thrift messages and back."""

from sardinewharf import configuration
from sardinewharf import ids
from sardinewharf.daemons import membership
from sardinewharf.daemons.gen.wire import ttypes


def encode_configuration(
    snapshot: configuration.Snapshot, known: list[str]
) -> ttypes.Configuration:
    """Converts a snapshot to a message.

    Args:
        snapshot: The snapshot.
        known: Digests of the shards that the receiver has; these are left out.
    """
    return ttypes.Configuration(
        manifest=snapshot.manifest.encode(),
        shards=[
            ttypes.Shard(shard.name, shard.content)
            for shard in snapshot.shards.values()
            if shard.digest not in known
        ],
    )


def decode_configuration(
    received: ttypes.Configuration,
    known: dict[str, configuration.Shard],
) -> configuration.Snapshot:
    """Returns a received snapshot, completed with known shards.

    Args:
        received: The message.
        known: Shards of the receiver's own snapshot, by name.

    Raises:
        ManifestError: If the message is invalid or a shard is missing.
    """
    manifest = configuration.Manifest.decode(received.manifest)
    shards = {
        name: shard
        for name, shard in known.items()
        if manifest.shards.get(name) == shard.digest
    }
    for shard in received.shards:
        shards[shard.name] = configuration.make_shard(shard.name, shard.content)
    return configuration.Snapshot(manifest, shards.values())


def encode_member(member: membership.Member) -> ttypes.Member:
    """Returns the message that describes a daemon."""
    return ttypes.Member(
        member.daemon,
        member.address,
        member.failure_domain,
        member.started,
        member.heartbeat,
        member.configuration_version,
        member.is_draining,
    )


def decode_member(member: ttypes.Member) -> membership.Member:
    """Returns the daemon that a message describes."""
    return membership.Member(
        ids.DaemonId(member.daemon),
        member.address,
        ids.FailureDomainId(member.failure_domain),
        member.started,
        member.heartbeat,
        member.configuration_version,
        member.draining,
    )


def compute_age_ms(at: float, now: float) -> int:
    """Returns the time from ``at`` to ``now`` in milliseconds, at least 0."""
    return max(0, int((now - at) * 1000))
