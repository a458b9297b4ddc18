"""Writes to the store as an operator does, and records each change."""

import dataclasses
import enum
import math
import threading

from sardinewharf import clocks
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.testbed import gateway_harness

_FIRST_VERSION = 1
_VERSION_STEP = 3
_LONG_TIMEOUT_MS = 30_000
PERMANENT_KEYS = (gateway_harness.KEY,)
# An API key that is dropped and comes back.
TEMPORARY_KEY = "key-d"
_APPLY_S = deployment_lib.GUARANTEES.apply_ms / 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that the store acknowledged.

    Attributes:
        name: Path prefix of the route, API key, or weights version.
        at: Monotonic time of the acknowledgement, in seconds.
    """

    name: str
    at: float


class Override(enum.Enum):
    """What an override of the configuration replaces for a while."""

    ROUTE = "the route of this name is dropped"
    KEY = "this API key is dropped"
    IDLE_LIMIT_MS = "idle limit of callers' connections"
    MAX_CONNS = "largest number of connections to an endpoint"
    TIMEOUT_MS = "timeout of all routes"


@dataclasses.dataclass(slots=True)
class OverrideSpan:
    """When an override may have been in force, as far as the store knows.

    Attributes:
        override: What was replaced.
        value: Name of what was dropped, or the value in force.
        since: Monotonic time before it was written, in seconds.
        until: Monotonic time at which the store acknowledged a configuration
            without it.
    """

    override: Override
    value: str | int
    since: float
    until: float = math.inf


class Operator:
    """Changes the configuration and the target version of the weights.

    Args:
        deployment: Deployment with the store.

    Attributes:
        keys: All keys that callers use, whether revoked or not.
        routes: Added routes, oldest first.
        revoked: Revoked keys.
        target_versions: Target versions that were set, oldest first.
        spans: All overrides, oldest first.
    """

    def __init__(self, deployment: deployment_lib.Deployment):
        self._deployment = deployment
        self._version = _FIRST_VERSION
        self._added_routes: list[dict[str, object]] = []
        self._active_keys = ["key-a", "key-b", "key-c"]
        self.keys = [*PERMANENT_KEYS, *self._active_keys, TEMPORARY_KEY]
        self.routes: list[Change] = []
        self.revoked: dict[str, Change] = {}
        self.target_versions: list[Change] = []
        self.spans: list[OverrideSpan] = []
        self._overrides: dict[Override, OverrideSpan] = {}
        # Changes come from several threads.
        self._lock = threading.RLock()

    def write_manifest(self) -> bool:
        """Writes the whole configuration under the next version."""
        with self._lock:
            is_written = self._deployment.put(
                "op/config", self._make_manifest()
            )
            if is_written:
                self._end_spans()
            return is_written

    def override(self, override: Override, value: str | int) -> None:
        """Writes the configuration with something replaced or dropped."""
        with self._lock:
            span = OverrideSpan(override, value, clocks.read_monotonic())
            self._overrides[override] = span
            self.spans.append(span)
            self.write_manifest()

    def end_overrides(self) -> bool:
        """Writes the configuration without overrides; returns the success."""
        with self._lock:
            self._overrides.clear()
            return self.write_manifest()

    def list_overrides(
        self, override: Override, since: float, until: float
    ) -> list[str | int]:
        """Returns the values that may have been in force in a time span."""
        return [
            span.value
            for span in self.spans
            if span.override is override
            and span.since <= until
            and span.until + _APPLY_S >= since
        ]

    def _end_spans(self) -> None:
        now = clocks.read_monotonic()
        current = self._overrides.values()
        for span in self.spans:
            if span.until == math.inf and span not in current:
                span.until = now

    def _make_manifest(self) -> dict[str, object]:
        self._version += _VERSION_STEP
        manifest = gateway_harness.make_manifest(self._version)
        routes = manifest["routes"]
        look = next(r for r in routes if r["name"] == "look")
        routes += [_make_long_route(row) for row in routes]
        routes += [look | row for row in self._added_routes]
        manifest["tenants"][0]["api_keys"] = [
            *PERMANENT_KEYS,
            *self._active_keys,
            TEMPORARY_KEY,
        ]
        for span in self._overrides.values():
            _apply_override(manifest, span)
        return manifest

    def add_route(self) -> None:
        """Adds a route to the application servers."""
        name = f"new-{len(self._added_routes)}"
        with self._lock:
            self._added_routes.append({"name": name, "prefix": f"/{name}/"})
            if self.write_manifest():
                change = Change(f"/{name}/", clocks.read_monotonic())
                self.routes.append(change)

    def revoke_key(self) -> None:
        """Revokes a key, if a revocable one is left."""
        with self._lock:
            if not self._active_keys:
                return
            key = self._active_keys.pop()
            if self.write_manifest():
                self.revoked[key] = Change(key, clocks.read_monotonic())

    def set_target_version(self) -> None:
        """Sets the next target version of the model's weights."""
        version = 2 + len(self.target_versions)
        row = {"model": gateway_harness.MODEL, "version": version}
        if self._deployment.put(f"op/version/{gateway_harness.MODEL}", row):
            change = Change(str(version), clocks.read_monotonic())
            self.target_versions.append(change)


def _make_long_route(route: dict[str, object]) -> dict[str, object]:
    """Returns a route like another one, for requests that take long."""
    name = f"{route['name']}-long"
    return route | {
        "name": name,
        "prefix": f"/{name}/",
        "timeout_ms": _LONG_TIMEOUT_MS,
    }


def _apply_override(manifest: dict[str, object], span: OverrideSpan) -> None:
    """Replaces or drops something in a manifest."""
    match span.override:
        case Override.ROUTE:
            manifest["routes"] = [
                row for row in manifest["routes"] if row["name"] != span.value
            ]
        case Override.KEY:
            manifest["tenants"][0]["api_keys"].remove(span.value)
        case Override.IDLE_LIMIT_MS:
            manifest["limits"]["idle_timeout_ms"] = span.value
        case Override.MAX_CONNS:
            for row in manifest["services"]:
                row["max_conns"] = span.value
        case Override.TIMEOUT_MS:
            for row in manifest["routes"]:
                row["timeout_ms"] = span.value
