"""Chooses the endpoint of an attempt from this gateway's replica of the store.

Endpoints that are not available are left out. Engines are chosen by their load,
their cached prompts and the version of their weights.
"""

import dataclasses
import random

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf.gateway import availability as availability_lib
from sardinewharf.gateway import cache_keys as cache_keys_lib
from sardinewharf.gateway import drains as drains_lib
from sardinewharf.gateway import freshness
from sardinewharf.gateway import messages
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import ranking
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import tables

# Share of an endpoint's connections that all gateways together may use.
_CONNECTION_SHARE = 0.9
_MIN_CONNECTIONS = 4
_DEFAULT_CONNECTIONS = 64
# Requests are sent to engines with replaced weights until this long before the
# time at which none may begin there, in seconds.
_WEIGHTS_START_MARGIN_S = 1.8
# A request that has not begun on replaced weights by this long before that
# time is aborted, in seconds.
_WEIGHTS_ABORT_MARGIN_S = 0.3

# Shorter shared prompts are prefilled as fast as they are fetched.
_MIN_FETCH_TOKENS = 128


class Selector:
    """Chooses endpoints for requests.

    Args:
        settings: Settings of the gateway.
        replica: This gateway's replica of the store.
        loads: Estimated load of each endpoint.
        health: Failures and ejections of each endpoint.
        drains: Engines that are being drained.
        availability: Which endpoints may be sent requests.
        prompts: Where shared prompts are cached.
        estimators: What is measured of engines and prompts.
        reports: What endpoints report of their load.
        ranker: Ranks requests.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
        loads: fleet.LoadTable,
        health: fleet.HealthTable,
        drains: drains_lib.DrainTable,
        availability: availability_lib.EndpointAvailability,
        prompts: prompts_lib.PromptTable,
        estimators: tables.EstimatorTable,
        reports: fleet.ReportTable,
        ranker: ranking.RequestRanker,
    ):
        self._settings = settings
        self._replica = replica
        self._loads = loads
        self._health = health
        self._drains = drains
        self._availability = availability
        self._prompts = prompts
        self._estimators = estimators
        self._reports = reports
        self._ranker = ranker
        # A cached prompt is shared only while an isolation would be known.
        self._max_sharing_age_s = freshness.split_guarantees(
            settings.guarantees
        ).max_unknown_age_s

    def choose_service(self, route: catalog.Route) -> str:
        """Returns a service of a route at random, by the splits' weights.

        It is empty if the route has no splits, or no split has a weight.
        """
        if len(route.splits) == 1:
            return route.splits[0].service
        names = [split.service for split in route.splits]
        weights = [split.weight for split in route.splits]
        if not names or sum(weights) <= 0:
            return ""
        # The sum of large weights is infinite.
        largest = max(weights)
        return random.choices(names, [w / largest for w in weights])[0]

    def find_connection_limit(self, service: str) -> int:
        """Returns how many connections this gateway may open to an endpoint."""
        service_config = self._replica.configuration.services.get(service)
        if service_config is None or not service_config.max_connections:
            return _DEFAULT_CONNECTIONS
        gateways = max(1, len(self._replica.members))
        share = _CONNECTION_SHARE * service_config.max_connections / gateways
        return max(_MIN_CONNECTIONS, int(share))

    def choose(self, call: requests.Call) -> requests.Target | None:
        """Returns the target of the next attempt; None if there is none."""
        now = clocks.read_monotonic()
        endpoints = self._availability.list_usable(call, now)
        service = self._replica.configuration.services.get(call.service)
        prompt = call.request.headers.prompt
        if service is None or service.engine is None or prompt is None:
            return self._choose_server(
                self._availability.prefer_staying(endpoints), now
            )
        return self._choose_engine(call, service.engine, prompt, endpoints, now)

    def list_engines(
        self, call: requests.Call, now: float
    ) -> list[fleet.Endpoint]:
        """Returns the engines that a request with a prompt may be sent to."""
        endpoints = self._availability.list_usable(call, now)
        model = call.request.headers.prompt.model
        return self._list_with_current_weights(endpoints, model, now)

    def explain_no_endpoint(self, call: requests.Call) -> str:
        """Returns a message that explains why a request has no endpoint."""
        now = clocks.read_monotonic()
        text = self._availability.explain(call.service)
        prompt = call.request.headers.prompt
        if prompt is None:
            return text
        ready = self._replica.registry.list_ready(call.service)
        current = self._list_with_current_weights(
            list(ready), prompt.model, now
        )
        target_version = self._replica.target_versions.find_target(prompt.model)
        return (
            f"{text}, {len(current)} with weights that requests may begin on"
            f" (target version {target_version})"
        )

    def _choose_server(
        self, endpoints: list[fleet.Endpoint], now: float
    ) -> requests.Target | None:
        """Returns a target of a service that has no engines."""
        states = [
            balancing.ServerState(
                endpoint.id,
                endpoint.failure_domain,
                endpoint.slots,
                self._loads.read(endpoint.id, now),
                self._health.read_failure_rate(endpoint.incarnation),
                self._reports.read(endpoint.incarnation, now),
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
                    report=self._reports.read(endpoint.incarnation, now),
                )
        return None

    def _choose_engine(
        self,
        call: requests.Call,
        spec: catalog.EngineSpec,
        prompt: messages.Prompt,
        endpoints: list[fleet.Endpoint],
        now: float,
    ) -> requests.Target | None:
        """Returns a target of a service that has engines; None for none."""
        estimator = self._estimators.find(call.service)
        estimates = estimator.read()
        usable = self._list_with_current_weights(endpoints, prompt.model, now)
        cache_keys = cache_keys_lib.CacheKeys(
            self._replica.configuration,
            call,
            prompt,
            self._prompts,
            is_current=self._replica.count_age() <= self._max_sharing_age_s,
        )
        incarnations = [e.incarnation for e in usable]
        candidates = [
            self._make_candidate(
                prompt, cache_keys, e, incarnations, now, estimates
            )
            for e in usable
        ]
        states = [
            balancing.EngineState(
                candidate.endpoint.id,
                candidate.endpoint.failure_domain,
                candidate.load,
                self._health.read_failure_rate(candidate.endpoint.incarnation),
                shared=candidate.shared,
                has_outdated_weights=candidate.weights
                < self._replica.target_versions.find_target(prompt.model),
                report=candidate.report,
            )
            for candidate in candidates
        ]
        size = balancing.PromptSize(
            shared_key=estimator.find_group(prompt.shared_ids, len(usable)),
            shared_tokens=prompt.shared_tokens,
            tokens=prompt.tokens,
            answer_tokens=prompt.answer_tokens,
            fetch_ms=self._estimate_fetch_ms(spec, prompt),
        )
        choice = balancing.choose_engine(
            states, size, spec, self._settings.failure_domain, estimates
        )
        if choice is None:
            return None
        chosen = next(v for v in candidates if v.endpoint.id == choice.id)
        return self._make_target(
            call, prompt, chosen, choice, usable, estimates
        )

    def _make_candidate(
        self,
        prompt: messages.Prompt,
        cache_keys: cache_keys_lib.CacheKeys,
        endpoint: fleet.Endpoint,
        incarnations: list[str],
        now: float,
        estimates: balancing.EngineEstimates,
    ) -> "_EngineCandidate":
        """Returns the facts about an engine that matter to a request."""
        weights = self._replica.registry.find_weights(endpoint.id, prompt.model)
        cache_key = cache_keys.find(weights)
        shared = self._prompts.locate(
            cache_key.key,
            cache_key.is_stored,
            endpoint.incarnation,
            incarnations,
        )
        report = self._reports.read(endpoint.incarnation, now)
        load = self._loads.read(
            endpoint.id,
            now,
            estimates.prefill_tokens_per_ms / report.total_slowness,
        )
        return _EngineCandidate(
            endpoint, weights, cache_key, shared, load, report
        )

    def _make_target(
        self,
        call: requests.Call,
        prompt: messages.Prompt,
        chosen: "_EngineCandidate",
        choice: balancing.Choice,
        usable: list[fleet.Endpoint],
        estimates: balancing.EngineEstimates,
    ) -> requests.Target:
        """Returns the target for a chosen engine.

        Args:
            call: The request.
            prompt: Its prompt.
            chosen: The engine.
            choice: Estimates for the engine.
            usable: All engines that it was chosen from.
            estimates: What was measured of engines and prompts.
        """
        needs_prefill = choice.shared is balancing.PrefixSource.COMPUTED
        cache_key = chosen.cache_key
        prefill_tokens = prompt.tokens
        if not needs_prefill:
            prefill_tokens -= prompt.shared_tokens
        own_prefill_ms = prefill_tokens / estimates.prefill_tokens_per_ms
        own_prefill_ms *= choice.slowness
        return requests.Target(
            chosen.endpoint,
            weights=chosen.weights,
            cache_scope=cache_key.scope,
            priority=self._ranker.choose_priority(
                call, prefill_tokens, estimates.split
            ),
            fetch_from=self._find_fetch_source(prompt, chosen, choice, usable),
            save_to="" if cache_key.is_stored else cache_key.store,
            prompt_key=cache_key.key,
            shared_tokens=prompt.shared_tokens,
            shared=choice.shared,
            prefill_tokens=prefill_tokens,
            held_tokens=prompt.tokens + prompt.answer_tokens,
            cost_ms=choice.cost_ms,
            start_deadline=self._find_start_deadline(
                prompt.model, chosen.weights
            ),
            prefill_finish_s=(choice.wait_ms + own_prefill_ms) / 1000,
            candidates=len(usable),
            load=chosen.load,
            report=chosen.report,
            usual_first_ms=estimates.expect_first_ms(
                prefill_tokens, chosen.load.prompt_tokens
            ),
        )

    def _find_start_deadline(
        self, model: str, weights: int
    ) -> clocks.Deadline | None:
        """Returns by when a request must have begun; None for no limit.

        Only replaced weights have a limit.
        """
        replaced_at = self._replica.target_versions.find_replaced_at(
            model, weights
        )
        if replaced_at is None:
            return None
        limit = (
            self._settings.guarantees.rollout_limit_ms / 1000
            - _WEIGHTS_ABORT_MARGIN_S
        )
        return clocks.Deadline(replaced_at + limit)

    def _find_fetch_source(
        self,
        prompt: messages.Prompt,
        chosen: "_EngineCandidate",
        choice: balancing.Choice,
        usable: list[fleet.Endpoint],
    ) -> str:
        """Returns the address to fetch the KV cache of the shared prompt from.

        It is the cache store, or else another engine that is known to have it.
        Without either it is the cache store again, unless that is known to lack
        it, or the preferred engine, which may have a part of it: a miss costs
        little. It is empty if there is none to ask.

        An engine that is assumed to have it cached gets a source too: it
        fetches only the blocks that are missing.
        """
        if prompt.shared_tokens < _MIN_FETCH_TOKENS:
            return ""
        cache_key = chosen.cache_key
        if cache_key.is_stored:
            return cache_key.store
        others = {
            e.incarnation: e for e in usable if e.id != chosen.endpoint.id
        }
        holder = None
        if cache_key.key:
            holder = self._prompts.find_holder(cache_key.key, list(others))
        if holder is not None:
            return others[holder].address
        if cache_key.may_be_stored:
            return cache_key.store
        return next(
            (e.address for e in others.values() if e.id == choice.preferred),
            "",
        )

    def _estimate_fetch_ms(
        self, spec: catalog.EngineSpec, prompt: messages.Prompt
    ) -> float:
        """Returns the time to fetch a shared prompt's KV cache, in ms."""
        stores = self._replica.configuration.cache_stores
        link_mbps = stores[0].link_mbps if stores else spec.link_mbps
        bits = prompt.shared_tokens * spec.token_bytes * 8
        return bits / (max(1.0, link_mbps) * 1000)

    def _list_with_current_weights(
        self, endpoints: list[fleet.Endpoint], model: str, now: float
    ) -> list[fleet.Endpoint]:
        """Returns the engines on whose weights a request may begin now.

        Engines that are being drained are left out unless there are no others.
        """
        registry = self._replica.registry
        limit = (
            self._settings.guarantees.rollout_limit_ms / 1000
            - _WEIGHTS_START_MARGIN_S
        )
        min_version = self._replica.target_versions.find_version_before(
            model, now - limit
        )
        current = [
            endpoint
            for endpoint in endpoints
            if registry.find_weights(endpoint.id, model) >= max(1, min_version)
        ]
        not_draining = [
            e for e in current if not self._drains.is_draining(e.id)
        ]
        return self._availability.prefer_staying(not_draining or current)


@dataclasses.dataclass(frozen=True, slots=True)
class _EngineCandidate:
    """An engine that a request may be sent to.

    Attributes:
        endpoint: The engine.
        weights: Version of its weights.
        cache_key: Identifies the request's shared prompt in its cache.
        shared: Whether the shared prompt is cached there, or would be fetched
            or prefilled.
        load: Its estimated load.
        report: What it reported of its load.
    """

    endpoint: fleet.Endpoint
    weights: int
    cache_key: cache_keys_lib.CacheKey
    shared: balancing.PrefixSource
    load: fleet.EndpointLoad
    report: fleet.LoadReport
