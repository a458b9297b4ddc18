"""Represents one version of the configuration, with lookups."""

from collections.abc import Mapping
import dataclasses
import functools

import xxhash

from sardinewharf.catalog import quotas as quotas_lib
from sardinewharf.catalog import routes as routes_lib
from sardinewharf.catalog import services as services_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation, whose requests carry one of its keys.

    Attributes:
        name: Name of the organisation.
        keys: API keys of the organisation.
        priority: Priority of its requests, which overrides the route's; None to
            use the route's.
        is_isolated: Whether its cached prompts must not be shared with other
            organisations.
        quota: The amount of work that it may request; None for no limit.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    is_isolated: bool = False
    quota: quotas_lib.Quota | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and duration of requests.

    Attributes:
        header_bytes: Maximum size of all headers.
        body_bytes: Maximum size of a body.
        header_ms: Time in which the headers must arrive.
        idle_ms: Time for which a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Number of the version; rises with each change.
        routes: All routes.
        services: Services by name.
        cache_stores: Stores that keep KV cache for all engines.
        limits: Limits on the size and duration of requests.
        organisations: All organisations; empty if requests need no key.

    Examples:
        >>> route = routes_lib.Route(
        ...     "r", "h", "/a/", routes_lib.RouteKind.SAFE, 1000, 100, 0, ()
        ... )
        >>> configuration = Configuration(1, (route,))
        >>> configuration.find_route("h", "/a/b").name
        'r'
        >>> configuration.find_route("h", "/b") is None
        True
    """

    version: int = 0
    routes: tuple[routes_lib.Route, ...] = ()
    services: Mapping[str, services_lib.Service] = dataclasses.field(
        default_factory=dict
    )
    cache_stores: tuple[services_lib.CacheStore, ...] = ()
    limits: Limits = Limits()
    organisations: tuple[Organisation, ...] = ()

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, dict[str, routes_lib.Route]]:
        by_host: dict[str, dict[str, routes_lib.Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        return by_host

    @functools.cached_property
    def _organisations_by_key(self) -> dict[str, Organisation]:
        return {
            key: organisation
            for organisation in self.organisations
            for key in organisation.keys
        }

    @functools.cached_property
    def _quotas(self) -> dict[str, quotas_lib.Quota]:
        return {
            organisation.name: organisation.quota
            for organisation in self.organisations
            if organisation.quota is not None
        }

    @functools.cached_property
    def _isolated_names(self) -> frozenset[str]:
        return frozenset(
            organisation.name
            for organisation in self.organisations
            if organisation.is_isolated
        )

    @functools.cached_property
    def isolation_digest(self) -> str:
        """Digest of the set of isolated organisations; empty if none is."""
        if not self._isolated_names:
            return ""
        # Names are arbitrary text, so that no separator is safe.
        names = [f"{len(name)}:{name}" for name in sorted(self._isolated_names)]
        return xxhash.xxh3_64_hexdigest("".join(names).encode())

    def is_isolated(self, organisation: str) -> bool:
        """Returns whether an organisation is isolated, by its name."""
        return organisation in self._isolated_names

    def find_route(self, host: str, path: str) -> routes_lib.Route | None:
        """Returns the host's route with the longest prefix of the path."""
        prefixes = self._routes_by_host.get(host)
        end = len(path)
        while prefixes and end > 0:
            end = path.rfind("/", 0, end)
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    @property
    def has_quotas(self) -> bool:
        """Whether any organisation has a quota."""
        return bool(self._quotas)

    def find_quota(self, organisation: str) -> quotas_lib.Quota | None:
        """Returns the quota of an organisation, if any, by its name."""
        return self._quotas.get(organisation)

    def find_organisation(self, key: str) -> Organisation | None:
        """Returns the organisation that a key belongs to, if any."""
        return self._organisations_by_key.get(key)
