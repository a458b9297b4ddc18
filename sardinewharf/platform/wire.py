"""Defines the JSON messages of the platform.

Fields have the platform's names here and in no other module.
"""

from typing import Any

import msgspec

from sardinewharf import decoding
from sardinewharf.gateway import settings


class Item(msgspec.Struct):
    """A key of the store with its value in base64, or its deletion."""

    key: str
    value: str = ""
    rev: decoding.Integer = 0
    create_revision: decoding.Integer = 0
    lease: decoding.Integer = 0
    deleted: bool = False


class ItemKey(msgspec.Struct):
    """The part of an item that tells which change it is."""

    key: str
    rev: decoding.Integer


class StoredItem(Item):
    """A key that was read, and the store's revision at that time."""

    store_revision: decoding.Integer = 0


class Range(msgspec.Struct):
    """A page of keys; each of ``items`` holds an ``Item``.

    ``more_pages`` states whether more keys follow.
    """

    items: list[msgspec.Raw]
    store_revision: decoding.Integer
    more_pages: bool = False


class Watch(msgspec.Struct):
    """Changes of keys; each of ``events`` holds an ``Item``.

    The next watch continues at ``store_revision``.
    """

    events: list[msgspec.Raw]
    store_revision: decoding.Integer


class Condition(msgspec.Struct):
    """A key and the revision that it must have; 0 if it must not exist."""

    key: str
    rev: decoding.Integer


class Put(msgspec.Struct):
    """A key to write, with its value in base64."""

    key: str
    value: str
    lease: decoding.Integer = 0


class Txn(msgspec.Struct):
    """Writes that take effect together if all conditions hold.

    ``expected`` are the conditions and ``remove`` the keys to delete.
    """

    expected: list[Condition]
    put: list[Put]
    remove: list[str]


class TxnResponse(msgspec.Struct):
    """The revision of a transaction that took effect."""

    rev: decoding.Integer


class LeaseRequest(msgspec.Struct):
    """A request for a lease that lasts ``ttl_ms`` milliseconds."""

    ttl_ms: decoding.Integer


class GrantResponse(msgspec.Struct):
    """A lease that was granted, and its duration."""

    ttl_ms: decoding.Integer
    lease: decoding.Integer


class RenewalResponse(msgspec.Struct):
    """The duration of a lease that was renewed."""

    ttl_ms: decoding.Integer


class SplitRow(msgspec.Struct):
    """A service's share of a route."""

    service: str
    weight: float


class RouteRow(msgspec.Struct):
    """A route.

    ``sticky`` means that its requests describe a prompt, not that the requests
    of a caller stay with one endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: decoding.Integer
    target_latency_ms: decoding.Integer = 0
    priority: decoding.Integer = 0
    service: str | None = None
    traffic_split: list[SplitRow] = []
    max_attempts: decoding.Integer = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False


class EngineModel(msgspec.Struct):
    """A model that engines serve."""

    name: str


class EngineRow(msgspec.Struct):
    """The capacity of an engine.

    ``max_in_flight`` limits the clients that read its cache events, not its
    requests.
    """

    slots: decoding.Integer = 1
    kv_capacity_tokens: decoding.Integer = 0
    kv_token_bytes: decoding.Integer = 0
    link_mbps: float = 0.0
    max_in_flight: decoding.Integer = 1
    models: list[EngineModel] = []


class ServiceRow(msgspec.Struct):
    """A service; ``kv_store`` is the address if it is a cache store.

    ``max_in_flight`` limits the clients that read a cache store's events.
    """

    name: str
    max_conns: decoding.Integer = 0
    engine: EngineRow | None = None
    kv_store: str | None = None
    zone: str = ""
    kv_capacity_tokens: decoding.Integer = 0
    link_mbps: float = 0.0
    max_in_flight: decoding.Integer = 1


class LimitsRow(msgspec.Struct):
    """Limits on requests and connections of callers."""

    max_header_bytes: decoding.Integer = 16_384
    max_body_bytes: decoding.Integer = 4_194_304
    header_timeout_ms: decoding.Integer = 3_000
    idle_timeout_ms: decoding.Integer = 15_000


class TenantRow(msgspec.Struct):
    """An organisation; ``isolated`` ones share no cached prompts.

    ``rate_per_s`` and ``burst`` limit what it may request; a rate of 0 sets no
    limit. They count tokens if ``unit`` is ``tokens``, else requests. A request
    without a prompt header counts as ``plain_tokens``.
    """

    name: str
    api_keys: list[str] = []
    priority: decoding.Integer | None = None
    isolated: bool = False
    rate_per_s: float | None = None
    burst: float | None = None
    unit: str | None = None
    plain_tokens: float | None = None


class Manifest(msgspec.Struct):
    """The configuration, as the operator writes it."""

    version: decoding.Integer
    routes: list[RouteRow] = []
    services: list[ServiceRow] = []
    limits: LimitsRow = msgspec.field(default_factory=LimitsRow)
    tenants: list[TenantRow] = []


class ModelRow(msgspec.Struct):
    """A model on a server, with the version of its weights."""

    name: str
    version: decoding.Integer = 0


class ServerEntry(msgspec.Struct):
    """A server's registration.

    ``born`` is the time of its start in Unix milliseconds. The message also
    has the fields ``version``, which is the version of the server's software,
    and ``sequence``, which counts heartbeats. They differ from the fields of
    the same names in ``ModelRow`` and ``Report`` and are not read.
    """

    service: str
    address: str
    zone: str
    slots: decoding.Integer
    state: str
    born: decoding.Integer
    models: list[ModelRow] = []


class TargetVersionEntry(msgspec.Struct):
    """The target version of a model's weights."""

    model: str
    version: decoding.Integer


class Report(msgspec.Struct):
    """A model server's report, which is a few hundred milliseconds old.

    ``busy`` means that it is carrying out an order, whatever its load.
    ``sequence`` counts the orders that it accepted since its start.
    """

    models: list[ModelRow] = []
    busy: bool = False
    sequence: decoding.Integer = 0
    waiting: decoding.Integer = 0
    running: decoding.Integer = 0
    kv_used: decoding.Integer = 0
    kv_total: decoding.Integer = 0
    born: decoding.Integer = 0


class Order(msgspec.Struct, omit_defaults=True):
    """An order to a server to load weights.

    ``fence`` is the fencing token of the sender's leader lease. ``expected`` is
    the number of orders that the server must have accepted so far.
    """

    op: str
    model: str
    version: decoding.Integer
    switch_mode: str
    holder: str
    fence: decoding.Integer
    expected: decoding.Integer | None = None


class Event(msgspec.Struct, array_like=True):
    """A change of a cache; ``sign`` is + for a part that it holds now."""

    number: decoding.Integer
    sign: str
    salt: str
    part: str
    tokens: decoding.Integer
    model: str


class Events(msgspec.Struct):
    """Changes of a cache; each of ``events`` holds an ``Event``.

    ``next`` is the position to read from next, and ``lost`` states whether
    events before the first one are missing. ``epoch`` differs after the cache
    restarted empty.
    """

    epoch: decoding.Integer
    next: decoding.Integer
    lost: bool = False
    events: list[msgspec.Raw] = []


class Listen(msgspec.Struct):
    """Addresses on which a process listens.

    ``front`` is for callers and ``ready`` for the readiness probe.
    """

    front: str
    ready: str
    control: str = ""


class PlatformRow(msgspec.Struct):
    """Address of the platform's store."""

    address: str


class Bounds(msgspec.Struct):
    """Bounds that the deployment guarantees to its users.

    ``gateway.settings.Guarantees`` describes those that are read. Some names
    mislead:

    - ``contact_ms`` is the time to recover after the last fault.
    - ``drain_ms`` is the time after which a leaving endpoint gets no requests.
    - ``lease_ms`` is the pause between the orders of one rollout leader and
      those of the next, not the duration of a lease.
    - ``version_ms`` limits how long replaced weights may be used.
    - ``quota_over`` is the share by which the quota of an organisation may be
      exceeded in a window, and ``quota_slack`` what may be added to that.
    """

    contact_ms: decoding.Integer = 3_000
    drain_ms: decoding.Integer = 2_000
    grace_s: float = 8.0
    config_apply_ms: decoding.Integer = 2_000
    revoke_fail_closed: bool = False
    revoke_ms: decoding.Integer = 5_000
    retry_budget_ratio: float = 0.1
    budget_window_s: float = 10.0
    budget_extra: float = 0.0
    lease_ms: decoding.Integer = 3_000
    thaw_slack_ms: decoding.Integer = 300
    version_ms: decoding.Integer = 10_000
    quota_window_s: float = 8.0
    quota_over: float = 0.1
    quota_slack: float = 0.0


class VmLimits(msgspec.Struct):
    """What a process may use of its VM."""

    link_mbps: float = settings.DEFAULT_LINK_MBPS
    memory_mb: float = settings.DEFAULT_MEMORY_MB


class Settings(msgspec.Struct):
    """The settings file of a process; fields that are not here are ignored.

    ``contracts`` names the optional behaviour that the deployment asks for.
    """

    node: str
    zone: str
    ip: str
    listen: Listen
    platform: PlatformRow
    port_range: list[decoding.Integer] = []
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: VmLimits = msgspec.field(default_factory=VmLimits)
    heartbeat_ms: decoding.Integer = 1_000
    zones: dict[str, Any] = {}
    contracts: list[str] = []
