"""Converts members, configurations and suspects to Thrift and back."""

import math

from sardinewharf import configuration
from sardinewharf import ids
from sardinewharf import limits
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


def encode_suspect(suspect: limits.Suspect, now: float) -> ttypes.SuspectState:
    """Returns the message that tells a suspect's completion and trials."""
    return ttypes.SuspectState(
        suspect.fingerprint,
        compute_age_ms(suspect.seen_at, now),
        _encode_age(suspect.completed_at, now),
        suspect.trials,
        _encode_age(suspect.trial_at, now),
    )


def decode_suspect(state: ttypes.SuspectState, now: float) -> limits.Suspect:
    """Returns the suspect that a message describes, without its crashes."""
    return limits.Suspect(
        state.fingerprint,
        now - state.seen_age_ms / 1000,
        completed_at=_decode_age(state.completed_age_ms, now),
        trials=state.trials,
        trial_at=_decode_age(state.trial_age_ms, now),
    )


def _encode_age(at: float, now: float) -> int | None:
    """Returns the age of a time; None if it never came."""
    return None if math.isinf(at) else compute_age_ms(at, now)


def _decode_age(age_ms: int | None, now: float) -> float:
    return -math.inf if age_ms is None else now - age_ms / 1000


def compute_age_ms(at: float, now: float) -> int:
    """Returns the time from ``at`` to ``now`` in milliseconds, at least 0."""
    return max(0, int((now - at) * 1000))
