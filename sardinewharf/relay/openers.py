"""Opens the streams of one request, at one engine after another."""

import asyncio
import uuid

from sardinewharf import clocks
from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf import logs
from sardinewharf import outcomes
from sardinewharf import routing
from sardinewharf.relay import access
from sardinewharf.relay import requests
from sardinewharf.relay import streams

_log = logs.get_logger("routing")
_MAX_ATTEMPTS = 12
_HASTY_ATTEMPTS = 3
_RETRY_PAUSE_S = 0.3
_RETRY_AFTER_S = 1.0
_PROBE_S = 1.0
# A suspect that has given this many chunks is taken to have come past what
# may have crashed its first engine.
_PROOF_CHUNKS = 8


class EngineOpener(streams.StreamOpener):
    """Opens the streams of one request.

    Args:
        relay: The engines, and what is known of them.
        request: The request.
    """

    def __init__(
        self, relay: access.EngineAccess, request: requests.ModelRequest
    ):
        self._relay = relay
        self._request = request
        # Engines that failed this request, and when.
        self._excluded: dict[str, float] = {}
        # Engines that lost an answer and live: to be tried again after the
        # others.
        self._doubted: set[str] = set()
        self._engine = ""
        self._slot: str | None = None
        # Whether the engine had died before the attempt began.
        self._began_dead = False
        self._has_run = False
        self._has_continued = False

    async def open(
        self, continued_text: str, continued_chunks: int, weights: str | None
    ) -> endpoints.EngineStream:
        """Returns a stream that goes on after the text so far."""
        try:
            return await self._open(continued_text, continued_chunks, weights)
        except BaseException:
            self._leave_slot()
            raise

    async def _open(
        self, continued_text: str, continued_chunks: int, weights: str | None
    ) -> endpoints.EngineStream:
        has_tried = False
        for attempt in range(_MAX_ATTEMPTS):
            if attempt >= _HASTY_ATTEMPTS:
                await asyncio.sleep(_RETRY_PAUSE_S)
            self._check()
            pool = await self._find_pool()
            choice, version, chain = self._choose(pool, weights)
            if choice is None:
                self._leave_slot()
                if not self._has_run:
                    break
                # All have lost an answer; one may be heard again by then.
                await asyncio.sleep(_RETRY_PAUSE_S)
                continue
            if has_tried and not self._relay.budget.take():
                break
            has_tried = True
            try:
                return await self._try(
                    choice, version, chain, continued_text, continued_chunks
                )
            except endpoints.EndpointError as error:
                await self._note_failure(choice.engine, error)
                self._leave_slot()
        raise self._refuse()

    async def note_broken(
        self, stream: endpoints.EngineStream, died: bool
    ) -> None:
        """Notes that a stream's engine failed, and whether it died."""
        if died:
            await self._note_death(self._engine, stream.head.incarnation)
        self._exclude(self._engine)

    def note_end(self, stream: endpoints.EngineStream, whole: bool) -> None:
        """Notes that a stream has ended."""
        self._leave_slot()
        if whole:
            self._relay.suspects.clear(self._request.fingerprint)

    def note_progress(self, chunks: int) -> bool:
        """Frees a suspect's slot once it has come past the critical point."""
        if self._slot is None:
            return False
        if chunks < _PROOF_CHUNKS:
            return True
        deaths = self._relay.suspects.count_crashes(self._request.fingerprint)
        if deaths > 1:
            return False
        # It has come past the point where it was begun again, so that its
        # neighbour in line need not wait for its end.
        self._leave_slot()
        return False

    def may_continue(self) -> bool:
        """Returns whether the answer may be continued elsewhere."""
        # The first continuation is free: when an engine dies, all its streams
        # need one at the same moment.
        if self._has_continued:
            return self._relay.budget.take()
        self._has_continued = True
        return True

    async def _find_pool(self) -> routing.Pool:
        """Returns the engines to choose from; for a suspect, one alone."""
        relay = self._relay
        now = clocks.read_monotonic()
        pool = relay.pools.get_pool(self._request.target)
        if pool.members <= self._excluded.keys():
            self._readmit()
        if not relay.suspects.is_suspect(self._request.fingerprint, now):
            return pool
        self._slot = await relay.slots.enter(
            self._list_engines, self._list_near, self._request.deadline
        )
        self._check()
        return routing.Pool([self._slot] if self._slot else [])

    def _exclude(self, engine: str) -> None:
        self._excluded[engine] = clocks.read_monotonic()

    def _readmit(self) -> None:
        """Takes back engines that live, once all have failed the request."""
        for engine, at in list(self._excluded.items()):
            endpoint = self._relay.directory.find(ids.EndpointId(engine))
            is_heard = endpoint is not None and endpoint.reported_at > at
            if is_heard or engine in self._doubted:
                del self._excluded[engine]
        self._doubted.clear()

    def _list_engines(self) -> list[str]:
        pool = self._relay.pools.get_pool(self._request.target)
        return [name for name in pool.engines if name not in self._excluded]

    def _list_near(self) -> list[str]:
        """Returns the engines that stand in this daemon's failure domain."""
        relay = self._relay
        found = []
        for name in self._list_engines():
            endpoint = relay.directory.find(ids.EndpointId(name))
            if endpoint is None:
                continue
            if endpoint.vm.failure_domain == relay.failure_domain:
                found.append(name)
        return found

    def _leave_slot(self) -> None:
        slot, self._slot = self._slot, None
        if slot is not None:
            work = self._relay.slots.leave(slot)
            self._relay.background.start(work, "leave-slot")

    def _check(self) -> None:
        now = clocks.read_monotonic()
        fingerprint = self._request.fingerprint
        if self._relay.suspects.is_quarantined(fingerprint, now):
            raise outcomes.refuse(
                outcomes.RefusalKind.QUARANTINED,
                "Two endpoints died while they ran this request.",
                self._run_state(),
            )
        if self._request.deadline.is_past(now):
            raise outcomes.refuse(
                outcomes.RefusalKind.DEADLINE,
                "The deadline passed before an engine answered.",
                self._run_state(),
            )

    def _choose(
        self, pool: routing.Pool, weights: str | None
    ) -> tuple[routing.Choice | None, str, routing.BlockChain]:
        now = clocks.read_monotonic()
        request = self._request
        relay = self._relay
        excluded = frozenset(self._excluded)
        version = weights or request.target.weights
        chain = request.build_chain(version)
        choice = relay.router.choose(
            routing.RouteRequest(
                chain,
                request.intent.first_token_weight,
                request.intent.recompute_weight,
            ),
            pool,
            excluded,
            now,
        )
        if choice is None:
            return None, version, chain
        self._check_wait(choice.candidate.wait, now)
        loaded = self._find_version(choice.engine)
        if loaded != version:
            # A rollout is under way; the engine's caches are those of the
            # version that it has.
            version = loaded
            chain = request.build_chain(version)
        self._log_choice(choice, version)
        return choice, version, chain

    def _check_wait(self, wait: float, now: float) -> None:
        """Refuses a request early that would begin after its deadline."""
        if wait < self._request.deadline.remaining(now):
            return
        raise outcomes.refuse(
            outcomes.RefusalKind.OVERLOADED,
            f"The engines' queues take {wait:.1f} s, beyond the deadline.",
            self._run_state(),
            wait,
        )

    def _find_version(self, engine: str) -> str:
        endpoint = self._relay.directory.find(ids.EndpointId(engine))
        return endpoint.report.weights.get(self._request.target.name, "")

    async def _try(
        self,
        choice: routing.Choice,
        version: str,
        chain: routing.BlockChain,
        continued_text: str,
        continued_chunks: int,
    ) -> endpoints.EngineStream:
        relay = self._relay
        request = self._request
        self._engine = choice.engine
        endpoint = relay.directory.find(ids.EndpointId(choice.engine))
        self._began_dead = relay.suspects.has_crashed(
            endpoint.report.incarnation
        )
        now = clocks.read_monotonic()
        relay.router.record_dispatch(choice, chain, now)
        relay.news.add(routing.make_dispatch_update(choice, chain, now))
        engine_request = endpoints.EngineRequest(
            request=request.request,
            attempt=ids.AttemptId(uuid.uuid4().hex),
            path=request.path,
            body=request.body,
            cache_salt=request.make_salt(version),
            pieces=chain.blocks,
            continued_text=continued_text,
            continued_chunks=continued_chunks,
        )
        address = endpoint.vm.address
        try:
            stream = await relay.engines.open(
                address, engine_request, request.deadline
            )
        except endpoints.EndpointError as error:
            if not error.proves_not_run:
                work = relay.engines.cancel(address, engine_request.attempt)
                relay.background.start(work, "cancel-attempt")
            raise
        self._has_run = True
        await self._check_head(stream, choice, version)
        relay.router.record_response(
            choice,
            chain,
            stream.head.cached_tokens,
            stream.head.queued_tokens,
            clocks.read_monotonic(),
        )
        return stream

    async def _check_head(
        self,
        stream: endpoints.EngineStream,
        choice: routing.Choice,
        version: str,
    ) -> None:
        """Refuses an answer that another weights version gave."""
        head = stream.head
        self._relay.router.record_incarnation(choice.engine, head.incarnation)
        if head.weights != version:
            await stream.cancel()
            raise endpoints.EndpointError(
                endpoints.FailureKind.MISMATCH,
                f"weights {head.weights} in place of {version}",
            )

    async def _note_failure(
        self, engine: str, error: endpoints.EndpointError
    ) -> None:
        _log.warning(
            "Engine {} failed request {}: {}.",
            engine,
            self._request.request,
            error,
        )
        self._exclude(engine)
        if error.kind is endpoints.FailureKind.NOT_SENT:
            self._relay.directory.note_failure(
                ids.EndpointId(engine), clocks.read_monotonic()
            )
        if not error.proves_not_run:
            self._has_run = True
            await self._ask(engine, error.kind)

    async def _ask(self, engine: str, kind: endpoints.FailureKind) -> None:
        """Asks a failed engine for its state, and notes if it has died."""
        relay = self._relay
        endpoint = relay.directory.find(ids.EndpointId(engine))
        if endpoint is None:
            return
        incarnation = endpoint.report.incarnation
        asked_at = clocks.read_monotonic()
        try:
            report = await relay.engines.report(
                endpoint.vm.address, clocks.Deadline.after(_PROBE_S)
            )
        except endpoints.EndpointError as error:
            if endpoints.FailureKind.MISMATCH in (kind, error.kind):
                # Something answered, though not what was asked.
                self._doubted.add(engine)
                return
            # Should it only be out of reach, it is heard again later, and the
            # death is withdrawn.
            await self._note_death(engine, incarnation)
            return
        relay.directory.note_report(endpoint.endpoint, report, asked_at)
        if report.incarnation != incarnation:
            await self._note_death(engine, incarnation)
            return
        self._doubted.add(engine)

    async def _note_death(self, engine: str, incarnation: str) -> None:
        relay = self._relay
        now = clocks.read_monotonic()
        relay.directory.note_failure(ids.EndpointId(engine), now)
        relay.router.forget_engine(engine)
        if self._began_dead:
            return
        death = limits.Crash(
            self._request.fingerprint,
            incarnation,
            now,
            was_alone=self._slot is not None,
        )
        if relay.suspects.record_crash(death, now):
            _log.warning(
                "Engine {} died while it ran request {}.",
                engine,
                self._request.request,
            )
            await relay.on_death()

    def _run_state(self) -> outcomes.RunState:
        if self._has_run:
            return outcomes.RunState.UNKNOWN
        return outcomes.RunState.NOT_RUN

    def _refuse(self) -> outcomes.RequestError:
        target = self._request.target.name
        return outcomes.refuse(
            outcomes.RefusalKind.NO_ENDPOINT,
            f"No engine that serves {target!r} answered.",
            self._run_state(),
            _RETRY_AFTER_S,
        )

    def _log_choice(self, choice: routing.Choice, version: str) -> None:
        candidate = choice.candidate
        considered = ",".join(
            f"{c.engine}:{c.wait * 1000:.0f}ms+{c.tokens}tok"
            for c in choice.considered
        )
        _log.info(
            "request={} org={} target={}@{} engine={} wait_ms={:.0f}"
            " recompute_tokens={} cached_pieces={} heat={:.2f} homes={}"
            " from={}",
            self._request.request,
            self._request.organisation,
            self._request.target.name,
            version,
            choice.engine,
            candidate.wait * 1000,
            candidate.tokens,
            candidate.cached,
            choice.demand,
            choice.preferred_count,
            considered,
        )
