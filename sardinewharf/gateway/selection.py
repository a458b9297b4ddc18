"""Chooses the endpoint of an attempt from what the gateway believes."""

import random

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf.gateway import messages
from sardinewharf.gateway import peers
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import settings as settings_lib

# Share of an endpoint's connections that all gateways together may use.
_CONNECTION_SHARE = 0.9
_MIN_CONNECTIONS = 4
_DEFAULT_CONNECTIONS = 64
# Requests begin on replaced weights until this long before they must not.
_WEIGHTS_MARGIN_S = 1.5
_MAX_PRIORITY = 9


class Selector:
    """Chooses endpoints.

    Args:
        settings: Settings of the gateway.
        replica: What the gateway believes.
        loads: Work at endpoints.
        health: How endpoints answer.
        rolls: Engines that are led away from.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
        loads: fleet.LoadTable,
        health: fleet.HealthTable,
        rolls: peers.RollTable,
    ):
        self._settings = settings
        self._replica = replica
        self._loads = loads
        self._health = health
        self._rolls = rolls

    def choose_service(self, route: catalog.Route) -> str:
        """Returns the service that one request of a route goes to."""
        if len(route.splits) == 1:
            return route.splits[0].service
        names = [split.service for split in route.splits]
        weights = [split.weight for split in route.splits]
        if not names or sum(weights) <= 0:
            return ""
        return random.choices(names, weights)[0]

    def find_connection_limit(self, service: str) -> int:
        """Returns how many connections an endpoint may have from here."""
        found = self._replica.configuration.services.get(service)
        if found is None or not found.max_connections:
            return _DEFAULT_CONNECTIONS
        gateways = max(1, len(self._replica.members))
        share = _CONNECTION_SHARE * found.max_connections / gateways
        return max(_MIN_CONNECTIONS, int(share))

    def choose(self, call: requests.Call) -> requests.Target | None:
        """Returns where a request goes next; None if there is no endpoint."""
        now = clocks.read_monotonic()
        endpoints = [
            endpoint
            for endpoint in self._replica.registry.list_ready(call.service)
            if endpoint.id not in call.excluded
            and self._health.may_try(endpoint.id, now)
        ]
        service = self._replica.configuration.services.get(call.service)
        prompt = call.request.headers.prompt
        if service is None or service.engine is None or prompt is None:
            return self._choose_server(endpoints, now)
        return self._choose_engine(call, service.engine, prompt, endpoints, now)

    def _choose_server(
        self, endpoints: list[fleet.Endpoint], now: float
    ) -> requests.Target | None:
        states = [
            balancing.ServerState(
                endpoint.id,
                endpoint.failure_domain,
                endpoint.slots,
                self._loads.read(endpoint.id, now),
                self._health.read_failure_share(endpoint.id),
            )
            for endpoint in endpoints
        ]
        chosen = balancing.choose_server(states, self._settings.failure_domain)
        for endpoint in endpoints:
            if endpoint.id == chosen:
                return requests.Target(
                    endpoint,
                    candidates=len(endpoints),
                    load=self._loads.read(endpoint.id, now),
                )
        return None

    def _choose_engine(
        self,
        call: requests.Call,
        sheet: catalog.EngineSheet,
        prompt: messages.Prompt,
        endpoints: list[fleet.Endpoint],
        now: float,
    ) -> requests.Target | None:
        usable = self._list_current(endpoints, prompt.model, now)
        wanted = self._replica.wanted_weights.get(prompt.model, 0)
        registry = self._replica.registry
        states = [
            balancing.EngineState(
                endpoint.id,
                endpoint.failure_domain,
                self._loads.read(endpoint.id, now),
                self._health.read_failure_share(endpoint.id),
                has_old_weights=registry.find_weights(endpoint.id, prompt.model)
                < wanted,
            )
            for endpoint in usable
        ]
        size = balancing.PromptSize(
            shared_key="/".join(part.id for part in prompt.shared),
            shared_tokens=prompt.shared_tokens,
            tokens=prompt.tokens,
            answer_tokens=prompt.answer_tokens,
        )
        choice = balancing.choose_engine(
            states, size, sheet.capacity_tokens, self._settings.failure_domain
        )
        if choice is None:
            return None
        endpoint = next(e for e in usable if e.id == choice.id)
        weights = self._replica.registry.find_weights(endpoint.id, prompt.model)
        store = self._find_store()
        is_long = prompt.shared_tokens >= _LONG_TOKENS
        return requests.Target(
            endpoint,
            weights=weights,
            cache_scope=make_cache_scope(call, prompt.model, weights),
            priority=min(_MAX_PRIORITY, max(0, call.admitted.priority)),
            fetch_from=store if is_long else "",
            save_to=store if is_long else "",
            read_tokens=prompt.tokens - prompt.shared_tokens,
            held_tokens=prompt.tokens + prompt.answer_tokens,
            cost_ms=choice.cost_ms,
            candidates=len(usable),
            load=self._loads.read(endpoint.id, now),
        )

    def _list_current(
        self, endpoints: list[fleet.Endpoint], model: str, now: float
    ) -> list[fleet.Endpoint]:
        """Returns the engines whose weights may begin a request now."""
        registry = self._replica.registry
        wanted = self._replica.wanted_weights.get(model, 0)
        named_at = self._replica.weights_named_at.get(model)
        limit = self._settings.promises.weights_ms / 1000 - _WEIGHTS_MARGIN_S
        may_be_old = named_at is not None and now - named_at < limit
        current = [
            endpoint
            for endpoint in endpoints
            if registry.find_weights(endpoint.id, model) > 0
            and (
                may_be_old
                or registry.find_weights(endpoint.id, model) >= wanted
            )
        ]
        staying = [e for e in current if not self._rolls.is_rolling(e.id)]
        return staying or current

    def _find_store(self) -> str:
        stores = self._replica.configuration.cache_stores
        return stores[0].address if stores else ""


# Shared prompts from this length on are kept in the cache store.
_LONG_TOKENS = 512


def make_cache_scope(call: requests.Call, model: str, weights: int) -> str:
    """Returns the text under which engines share cached prompts.

    Cached prompts of other weights, or of other organisations where one is
    isolated, stand under another text and can never be found.
    """
    organisation = call.admitted.organisation
    if organisation is not None and organisation.is_isolated:
        return f"{model}/{weights}/{organisation.name}"
    return f"{model}/{weights}"
