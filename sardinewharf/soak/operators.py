"""Writes to the store as the operator does, and remembers what it wrote."""

import dataclasses

from sardinewharf import clocks
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.testbed import gateway_harness

_FIRST_VERSION = 1
_VERSION_STEP = 3
PERMANENT_KEYS = (gateway_harness.KEY,)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that the store has acknowledged.

    Attributes:
        name: The route, key or version.
        at: Monotonic time of the acknowledgement, in seconds.
    """

    name: str
    at: float


class Operator:
    """Changes the configuration and names weights.

    Args:
        deployment: Where the store is.

    Attributes:
        routes: Routes that were added, oldest first.
        revoked: Keys that were taken away.
        keys: Keys that callers may hold, revoked or not.
        weights: Versions that were named.
    """

    def __init__(self, deployment: deployment_lib.Deployment):
        self._deployment = deployment
        self._version = _FIRST_VERSION
        self._added_routes: list[dict[str, object]] = []
        self._active_keys = ["key-a", "key-b", "key-c"]
        self.keys = [*PERMANENT_KEYS, *self._active_keys]
        self.routes: list[Change] = []
        self.revoked: dict[str, Change] = {}
        self.target_versions: list[Change] = []

    def write_manifest(self) -> bool:
        """Writes the configuration in full, under its next version."""
        self._version += _VERSION_STEP
        manifest = gateway_harness.make_manifest(self._version)
        routes = manifest["routes"]
        look = next(r for r in routes if r["name"] == "look")
        routes += [look | row for row in self._added_routes]
        manifest["tenants"][0]["api_keys"] = [
            *PERMANENT_KEYS,
            *self._active_keys,
        ]
        return self._deployment.put("op/config", manifest)

    def add_route(self) -> None:
        """Adds a route to the application."""
        name = f"new-{len(self._added_routes)}"
        self._added_routes.append({"name": name, "prefix": f"/{name}/"})
        if self.write_manifest():
            change = Change(f"/{name}/", clocks.read_monotonic())
            self.routes.append(change)

    def revoke_key(self) -> None:
        """Takes a key away, if one is left."""
        if not self._active_keys:
            return
        key = self._active_keys.pop()
        if self.write_manifest():
            self.revoked[key] = Change(key, clocks.read_monotonic())

    def set_target_version(self) -> None:
        """Names the next version of the model's weights."""
        version = 2 + len(self.target_versions)
        row = {"model": gateway_harness.MODEL, "version": version}
        if self._deployment.put(f"op/version/{gateway_harness.MODEL}", row):
            change = Change(str(version), clocks.read_monotonic())
            self.target_versions.append(change)
