"""Writes to the store as an operator does, and records each change."""

import dataclasses

from sardinewharf import clocks
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.testbed import gateway_harness

_FIRST_VERSION = 1
_VERSION_STEP = 3
PERMANENT_KEYS = (gateway_harness.KEY,)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that the store acknowledged.

    Attributes:
        name: Path prefix of the route, API key, or weights version.
        at: Monotonic time of the acknowledgement, in seconds.
    """

    name: str
    at: float


class Operator:
    """Changes the configuration and the target version of the weights.

    Args:
        deployment: Deployment with the store.

    Attributes:
        keys: All keys that callers use, whether revoked or not.
        routes: Added routes, oldest first.
        revoked: Revoked keys.
        target_versions: Target versions that were set, oldest first.
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
        """Writes the whole configuration under the next version."""
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
        """Adds a route to the application servers."""
        name = f"new-{len(self._added_routes)}"
        self._added_routes.append({"name": name, "prefix": f"/{name}/"})
        if self.write_manifest():
            change = Change(f"/{name}/", clocks.read_monotonic())
            self.routes.append(change)

    def revoke_key(self) -> None:
        """Revokes a key, if a revocable one is left."""
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
