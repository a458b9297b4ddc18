"""Reads the settings file that the platform provides for a process."""

import pathlib

from sardinewharf import decoding
from sardinewharf.gateway import settings
from sardinewharf.platform import wire

# Port of the metrics in the deployment file.
_METRICS_PORT = 9464
# Heartbeats without which the store removes an endpoint's entry.
_HEARTBEATS_TO_EXPIRY = 3
# Contract by which requests are delayed or refused by their rank.
_OVERLOAD_CONTRACT = "pressure"


class SettingsFileError(Exception):
    """Raised if the settings file is unusable; the message gives a remedy."""


def read_settings(path: pathlib.Path) -> settings.GatewaySettings:
    """Returns the gateway's settings from the file.

    Raises:
        SettingsFileError: If the file is missing or invalid.
    """
    try:
        file_settings = decoding.decode_json(path.read_bytes(), wire.Settings)
    except OSError as error:
        raise SettingsFileError(
            f"{path} cannot be read ({error.strerror}): set"
            " SARDINEWHARF_CONFIG to the settings file"
        ) from error
    except decoding.DecodeError as error:
        raise SettingsFileError(f"{path}: {error}; correct the file") from error
    bounds = file_settings.bounds
    peer_port = file_settings.port_range[0] if file_settings.port_range else 0
    return settings.GatewaySettings(
        name=file_settings.node,
        failure_domain=file_settings.zone,
        listen=file_settings.listen.front,
        ready_listen=file_settings.listen.ready,
        metrics_listen=f"{file_settings.ip}:{_METRICS_PORT}",
        peer_listen=f"{file_settings.ip}:{peer_port}",
        store=file_settings.platform.address,
        link_mbps=file_settings.limits.link_mbps,
        memory_mb=file_settings.limits.memory_mb,
        registration_ttl_ms=file_settings.heartbeat_ms * _HEARTBEATS_TO_EXPIRY,
        guarantees=settings.Guarantees(
            recovery_ms=bounds.contact_ms,
            endpoint_drain_ms=bounds.drain_ms,
            grace_ms=int(bounds.grace_s * 1000),
            apply_ms=bounds.config_apply_ms,
            # Without fail-closed, keys stay valid while the store is
            # unreachable.
            revoke_ms=bounds.revoke_ms if bounds.revoke_fail_closed else None,
            retry_ratio=bounds.retry_budget_ratio,
            retry_window_ms=int(bounds.budget_window_s * 1000),
            retry_extra=bounds.budget_extra,
            handover_pause_ms=bounds.lease_ms,
            rollout_limit_ms=bounds.version_ms,
            quota_window_s=bounds.quota_window_s,
            quota_over=bounds.quota_over,
            quota_slack=bounds.quota_slack,
            overload_policy=_choose_overload_policy(file_settings.contracts),
        ),
    )


def _choose_overload_policy(contracts: list[str]) -> settings.OverloadPolicy:
    """Returns what to do while engines have too little capacity."""
    if _OVERLOAD_CONTRACT in contracts:
        return settings.OverloadPolicy.RANK
    return settings.OverloadPolicy.FORWARD
