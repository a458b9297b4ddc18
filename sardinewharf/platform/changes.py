"""Decodes the entries of the platform's store."""

from sardinewharf import addresses
from sardinewharf import catalog
from sardinewharf import decoding
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import keyvalue
from sardinewharf import leases
from sardinewharf import records
from sardinewharf.gateway import changes
from sardinewharf.gateway import members
from sardinewharf.gateway import suspect_entries
from sardinewharf.platform import wire

_CONFIGURATION_KEY = "op/config"
_WEIGHTS_PREFIX = "op/version/"
_SERVERS_PREFIX = "servers/"
_ROUTE_KINDS = {
    "safe": catalog.RouteKind.SAFE,
    "unsafe": catalog.RouteKind.UNSAFE,
    "streaming": catalog.RouteKind.STREAM,
}
_QUOTA_UNITS = {"tokens": catalog.QuotaUnit.TOKENS}
_ENDPOINT_STATES = {
    "ready": fleet.EndpointState.READY,
    "draining": fleet.EndpointState.LEAVING,
}


class EntryReader(changes.ChangeReader):
    """Decodes the platform's entries into changes.

    Args:
        log: Receives a record of each entry that cannot be decoded.
    """

    def __init__(self, log: records.RecordSink):
        self._log = log
        # Revision of the last entry that was rejected, by key.
        self._rejected: dict[str, int] = {}

    def read_change(self, entry: keyvalue.Entry) -> changes.Change | None:
        """Returns the change that an entry holds.

        None is returned for an entry that is irrelevant or cannot be decoded.
        """
        if entry.value is None:
            self._rejected.pop(entry.key, None)
        try:
            return self._decode(entry)
        except (ValueError, KeyError) as error:
            self._reject(entry, str(error))
            return _replace_unreadable(entry)

    def _decode(self, entry: keyvalue.Entry) -> changes.Change | None:
        """Returns the change that an entry holds; None if it is irrelevant.

        Raises:
            ValueError: If the entry cannot be decoded.
            KeyError: If it names a kind or state that is not known.
        """
        if entry.key == leases.KEY_PREFIX + changes.ROLLOUT_LEASE:
            return self._read_leader(entry)
        if entry.key.startswith(members.KEY_PREFIX):
            return members.read_member(entry)
        if entry.key.startswith(suspect_entries.KEY_PREFIX):
            return suspect_entries.read_entry(entry)
        if entry.value is None:
            return _replace_unreadable(entry)
        if entry.key.startswith(_SERVERS_PREFIX):
            return _read_server(entry)
        if entry.key == _CONFIGURATION_KEY:
            manifest = decoding.decode_json(entry.value, wire.Manifest)
            return changes.ConfigurationChange(_read_manifest(manifest))
        if entry.key.startswith(_WEIGHTS_PREFIX):
            target = decoding.decode_json(entry.value, wire.TargetVersionEntry)
            return changes.TargetVersionChange(target.model, target.version)
        return None

    def _read_leader(self, entry: keyvalue.Entry) -> changes.LeaderChange:
        if entry.value is None:
            return changes.LeaderChange(leases.Tenure(), entry.revision)
        record = leases.decode_lease_record(entry.value)
        if record.holder == leases.UNKNOWN_HOLDER:
            self._reject(entry, "the holder of the lease is not known")
        return changes.LeaderChange(
            leases.Tenure(
                record.holder,
                entry.revision,
                record.has_acted and bool(record.holder),
                record.quiet_ms / 1000,
            ),
            entry.revision,
        )

    def _reject(self, entry: keyvalue.Entry, detail: str) -> None:
        """Logs an entry that cannot be decoded, once for each revision."""
        if self._rejected.get(entry.key) != entry.revision:
            self._rejected[entry.key] = entry.revision
            self._log.write(records.events.EntryRejected(entry.key, detail))


def _replace_unreadable(entry: keyvalue.Entry) -> changes.Change | None:
    """Returns the change for an entry that was removed or cannot be decoded.

    It names no endpoint and no gateway. A configuration and a target version
    stay as they were.
    """
    if entry.key.startswith(_SERVERS_PREFIX):
        return changes.EndpointRemoval(_read_endpoint_id(entry))
    if entry.key.startswith(members.KEY_PREFIX):
        return members.make_removal(entry)
    if entry.key.startswith(suspect_entries.KEY_PREFIX):
        return suspect_entries.make_removal(entry)
    return None


def _read_endpoint_id(entry: keyvalue.Entry) -> ids.EndpointId:
    return ids.EndpointId(entry.key.removeprefix(_SERVERS_PREFIX))


def _read_server(entry: keyvalue.Entry) -> changes.EndpointChange:
    server = decoding.decode_json(entry.value, wire.ServerEntry)
    addresses.parse_address(server.address)
    return changes.EndpointChange(
        fleet.Endpoint(
            id=_read_endpoint_id(entry),
            service=server.service,
            address=server.address,
            failure_domain=server.zone,
            slots=max(1, server.slots),
            state=_ENDPOINT_STATES[server.state],
            started_ms=server.born,
            weights={row.name: row.version for row in server.models},
        )
    )


def _read_manifest(manifest: wire.Manifest) -> catalog.Configuration:
    return catalog.Configuration(
        version=manifest.version,
        routes=tuple(_read_route(row) for row in manifest.routes),
        services={
            row.name: _read_service(row)
            for row in manifest.services
            if row.kv_store is None
        },
        cache_stores=tuple(
            _read_cache_store(row)
            for row in manifest.services
            if row.kv_store is not None
        ),
        limits=catalog.Limits(
            header_bytes=manifest.limits.max_header_bytes,
            body_bytes=manifest.limits.max_body_bytes,
            header_ms=manifest.limits.header_timeout_ms,
            idle_ms=manifest.limits.idle_timeout_ms,
        ),
        organisations=tuple(
            catalog.Organisation(
                name=row.name,
                keys=tuple(row.api_keys),
                priority=row.priority,
                is_isolated=row.isolated,
                quota=_read_quota(row),
            )
            for row in manifest.tenants
        ),
    )


def _read_quota(row: wire.TenantRow) -> catalog.Quota | None:
    """Returns the quota of an organisation; None if it has none."""
    if not row.rate_per_s or row.rate_per_s < 0.0:
        return None
    return catalog.Quota(
        rate=row.rate_per_s,
        burst=row.burst or 0.0,
        unit=_QUOTA_UNITS.get(row.unit or "", catalog.QuotaUnit.REQUESTS),
        plain_cost=row.plain_tokens or 0.0,
    )


def _read_route(row: wire.RouteRow) -> catalog.Route:
    splits = tuple(
        catalog.Split(split.service, split.weight)
        for split in row.traffic_split
    )
    if not splits and row.service is not None:
        splits = (catalog.Split(row.service, 1.0),)
    return catalog.Route(
        name=row.name,
        host=row.host.lower(),
        prefix=row.prefix,
        kind=_ROUTE_KINDS[row.kind],
        timeout_ms=row.timeout_ms,
        target_ms=row.target_latency_ms,
        priority=row.priority,
        splits=splits,
        max_attempts=row.max_attempts,
        is_public=row.public,
        has_prompt=row.sticky,
        is_resumable=row.resumable,
    )


def _read_service(row: wire.ServiceRow) -> catalog.Service:
    engine = None
    if row.engine is not None:
        engine = catalog.EngineSpec(
            slots=row.engine.slots,
            capacity_tokens=row.engine.kv_capacity_tokens,
            token_bytes=row.engine.kv_token_bytes,
            link_mbps=row.engine.link_mbps,
            models=tuple(model.name for model in row.engine.models),
            event_readers=row.engine.max_in_flight,
        )
    return catalog.Service(row.name, row.max_conns, engine)


def _read_cache_store(row: wire.ServiceRow) -> catalog.CacheStore:
    return catalog.CacheStore(
        name=row.name,
        address=row.kv_store or "",
        failure_domain=row.zone,
        capacity_tokens=row.kv_capacity_tokens,
        link_mbps=row.link_mbps,
        event_readers=row.max_in_flight,
    )
