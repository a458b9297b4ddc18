"""Opens the streams of a request, and retries at other engines on failure."""

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
_IMMEDIATE_ATTEMPTS = 3
_RETRY_PAUSE_S = 0.3
_RETRY_AFTER_S = 1.0
_PROBE_TIMEOUT_S = 1.0
# A suspect request that has delivered this many chunks since its restart is
# assumed to have passed the point at which its first engine crashed.
_SLOT_RELEASE_CHUNKS = 8


class EngineOpener(streams.StreamOpener):
    """Opens the streams of one request.

    Args:
        relay: The engines, their state and the limits on requests to them.
        request: The request.
    """

    def __init__(
        self, relay: access.EngineAccess, request: requests.ModelRequest
    ):
        self._relay = relay
        self._request = request
        # Engines that failed this request, with the time of the failure.
        self._excluded: dict[str, float] = {}
        # Excluded engines that are known to be alive: they are tried again
        # after all others have failed.
        self._excluded_alive: set[str] = set()
        self._engine = ""
        self._slot: str | None = None
        # Whether the engine was known to have crashed before the attempt began;
        # such a crash is not attributed to this request.
        self._had_engine_crashed = False
        self._may_have_run = False
        self._has_continued = False
        # The weights version that an engine must have loaded; None for any.
        self._required_weights: str | None = None

    async def open(
        self, continued_text: str, continued_chunks: int, weights: str | None
    ) -> endpoints.EngineStream:
        """Returns a stream that continues after the text so far.

        Engines are tried one after another, until one begins to respond.

        Args:
            continued_text: The text so far; empty for a new response.
            continued_chunks: Number of chunks of that text.
            weights: Weights version of the text so far, which alone may go on
                with it; None for a new response. During a rollout, that may
                begin under another version than the target version.

        Raises:
            RequestError: If the request is refused or no engine responds.
        """
        self._required_weights = weights
        try:
            return await self._open(continued_text, continued_chunks, weights)
        except BaseException:
            self._release_slot()
            raise

    async def _open(
        self, continued_text: str, continued_chunks: int, weights: str | None
    ) -> endpoints.EngineStream:
        """Returns the stream of the first attempt that succeeds.

        The first attempt does not use the retry budget, each further one does.
        """
        has_tried = False
        for attempt in range(_MAX_ATTEMPTS):
            if attempt >= _IMMEDIATE_ATTEMPTS:
                await asyncio.sleep(_RETRY_PAUSE_S)
            self._check_quarantine_and_deadline()
            pool = await self._find_pool()
            choice, version, chain = self._choose(pool, weights)
            if choice is None:
                self._release_slot()
                if not self._may_have_run:
                    break
                # All engines have failed the request; one of them may respond
                # again after the pause.
                await asyncio.sleep(_RETRY_PAUSE_S)
                continue
            if has_tried and not self._relay.budget.take():
                break
            has_tried = True
            try:
                return await self._try_engine(
                    choice, version, chain, continued_text, continued_chunks
                )
            except endpoints.EndpointError as error:
                await self._handle_failure(choice.engine, error)
                self._release_slot()
        raise self._refuse()

    async def record_engine_failure(
        self, stream: endpoints.EngineStream, is_crash: bool
    ) -> None:
        """Records that a stream's engine failed, and whether it crashed."""
        if is_crash:
            await self._record_crash(self._engine, stream.head.incarnation)
        self._exclude(self._engine)

    def record_end(
        self, stream: endpoints.EngineStream, is_complete: bool
    ) -> None:
        """Records that a stream has ended, and whether it was complete.

        A request with a complete response is no longer a suspect.
        """
        self._release_slot()
        if not is_complete:
            return
        now = clocks.read_monotonic()
        for cause in self._request.causes:
            self._relay.suspects.clear(cause.fingerprint, now)

    def record_progress(self, chunks: int) -> bool:
        """Releases a suspect's slot once it has passed the point of the crash.

        If several endpoints have crashed while the request ran, it keeps its
        slot to its end.

        Returns:
            Whether further progress has to be recorded.
        """
        if self._slot is None:
            return False
        if chunks < _SLOT_RELEASE_CHUNKS:
            return True
        now = clocks.read_monotonic()
        if any(
            self._relay.suspects.count_crashes(cause.fingerprint, now) > 1
            for cause in self._list_suspect_causes(now)
        ):
            return False
        # The request has passed the point of the crash, so that the next
        # suspect in the queue need not wait for its end.
        self._release_slot()
        return False

    def may_continue(self) -> bool:
        """Returns whether the response may be continued at another engine."""
        # The first continuation does not use the retry budget: when an engine
        # crashes, all its streams need one at the same time.
        if self._has_continued:
            return self._relay.budget.take()
        self._has_continued = True
        return True

    async def _find_pool(self) -> routing.Pool:
        """Returns the engines to choose from.

        A response that is continued gets only engines with its weights. A
        suspect request waits for a slot, which admits one suspect at a time to
        an engine, and gets only the engine of its slot.
        """
        relay = self._relay
        now = clocks.read_monotonic()
        pool = self._find_loaded_pool()
        if pool.members <= self._excluded.keys():
            self._readmit()
        if not self._list_suspect_causes(now):
            return pool
        self._slot = await relay.slots.enter(
            self._list_engines, self._list_local, self._request.deadline
        )
        self._check_quarantine_and_deadline()
        return routing.Pool([self._slot] if self._slot else [])

    def _find_loaded_pool(self) -> routing.Pool:
        """Returns the engines with the required weights version loaded."""
        pool = self._relay.pools.get_pool(self._request.target)
        required = self._required_weights
        if required is None:
            return pool
        return routing.Pool(
            engine
            for engine in pool.engines
            if self._find_loaded_version(engine) == required
        )

    def _exclude(self, engine: str) -> None:
        self._excluded[engine] = clocks.read_monotonic()

    def _readmit(self) -> None:
        """Readmits excluded engines that are alive.

        It is called once all engines have failed the request. An engine is
        alive if it has reported since its failure or was found alive by a
        probe.
        """
        for engine, at in list(self._excluded.items()):
            endpoint = self._relay.directory.find(ids.EndpointId(engine))
            has_responded = endpoint is not None and endpoint.reported_at > at
            if has_responded or engine in self._excluded_alive:
                del self._excluded[engine]
        self._excluded_alive.clear()

    def _list_engines(self) -> list[str]:
        """Returns the engines that have not failed the request."""
        pool = self._find_loaded_pool()
        return [name for name in pool.engines if name not in self._excluded]

    def _list_local(self) -> list[str]:
        """Returns those of ``_list_engines`` in this failure domain."""
        relay = self._relay
        found = []
        for name in self._list_engines():
            endpoint = relay.directory.find(ids.EndpointId(name))
            if endpoint is None:
                continue
            if endpoint.vm.failure_domain == relay.failure_domain:
                found.append(name)
        return found

    def _release_slot(self) -> None:
        slot, self._slot = self._slot, None
        if slot is not None:
            work = self._relay.slots.leave(slot)
            self._relay.background.start(work, "leave-slot")

    def _list_suspect_causes(self, now: float) -> list[limits.Cause]:
        """Returns what of the request may crash the engine that runs it.

        A part that is known to have completed is none.
        """
        suspects = self._relay.suspects
        request, *parts = self._request.causes
        found = [c for c in parts if suspects.is_unproven(c.fingerprint, now)]
        if suspects.is_suspect(request.fingerprint, now):
            found.append(request)
        return found

    def _check_quarantine_and_deadline(self) -> None:
        now = clocks.read_monotonic()
        suspects = self._relay.suspects
        for cause in self._request.causes:
            suspects.record_repeat(cause.fingerprint, now)
            if suspects.is_quarantined(cause.fingerprint, now):
                raise outcomes.refuse(
                    outcomes.RefusalKind.QUARANTINED,
                    _explain_quarantine(cause),
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
        """Chooses an engine of a pool that has not failed the request.

        Args:
            pool: The engines to choose from.
            weights: Weights version under which cached prefix blocks are looked
                up; None for the target version.

        Returns:
            The choice, or None if no engine of the pool is left; the weights
            version that the chosen engine has loaded; and the block chain of
            the prompt for that version.

        Raises:
            RequestError: If the expected wait goes beyond the deadline.
        """
        now = clocks.read_monotonic()
        request = self._request
        relay = self._relay
        excluded = frozenset(self._excluded)
        version = weights or request.target.weights
        chain = request.build_block_chain(version)
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
        loaded = self._find_loaded_version(choice.engine)
        if loaded != version:
            # During a rollout the engine may have another version loaded, and
            # its prefix cache belongs to that version.
            version = loaded
            chain = request.build_block_chain(version)
        self._log_choice(choice, version)
        return choice, version, chain

    def _check_wait(self, wait: float, now: float) -> None:
        """Refuses a request whose expected wait goes beyond its deadline.

        Args:
            wait: Expected wait in seconds.
            now: The time, on this process's monotonic clock.
        """
        if wait < self._request.deadline.remaining(now):
            return
        raise outcomes.refuse(
            outcomes.RefusalKind.OVERLOADED,
            f"The engines' queues take {wait:.1f} s, beyond the deadline.",
            self._run_state(),
            wait,
        )

    def _find_loaded_version(self, engine: str) -> str:
        endpoint = self._relay.directory.find(ids.EndpointId(engine))
        return endpoint.report.weights.get(self._request.target.name, "")

    async def _try_engine(
        self,
        choice: routing.Choice,
        version: str,
        chain: routing.BlockChain,
        continued_text: str,
        continued_chunks: int,
    ) -> endpoints.EngineStream:
        """Sends one attempt to the chosen engine and returns its stream.

        Raises:
            EndpointError: If the engine did not begin to respond, or responded
                with another weights version than ``version``.
        """
        relay = self._relay
        request = self._request
        self._engine = choice.engine
        endpoint = relay.directory.find(ids.EndpointId(choice.engine))
        self._had_engine_crashed = relay.suspects.has_crashed(
            endpoint.report.incarnation
        )
        now = clocks.read_monotonic()
        for cause in request.causes:
            relay.suspects.record_run(cause.fingerprint, now)
        relay.router.record_dispatch(choice, chain, now)
        relay.pending_dispatches.add(
            routing.make_dispatch_update(choice, chain, now)
        )
        engine_request = endpoints.EngineRequest(
            request=request.request,
            attempt=ids.AttemptId(uuid.uuid4().hex),
            path=request.path,
            body=request.body,
            cache_salt=request.make_salt(version),
            blocks=chain.blocks,
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
        self._may_have_run = True
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
        """Rejects a response from another weights version than expected."""
        head = stream.head
        self._relay.router.record_incarnation(choice.engine, head.incarnation)
        if head.weights != version:
            await stream.cancel()
            raise endpoints.EndpointError(
                endpoints.FailureKind.MISMATCH,
                f"weights {head.weights} in place of {version}",
            )

    async def _handle_failure(
        self, engine: str, error: endpoints.EndpointError
    ) -> None:
        """Excludes an engine, and probes it if the attempt may have run."""
        _log.warning(
            "Engine {} failed request {}: {}.",
            engine,
            self._request.request,
            error,
        )
        self._exclude(engine)
        if error.kind is endpoints.FailureKind.NOT_SENT:
            self._relay.directory.record_failure(
                ids.EndpointId(engine), clocks.read_monotonic()
            )
        if not error.proves_not_run:
            self._may_have_run = True
            await self._probe(engine, error.kind)

    async def _probe(self, engine: str, kind: endpoints.FailureKind) -> None:
        """Requests a failed engine's report; records a crash if it crashed."""
        relay = self._relay
        endpoint = relay.directory.find(ids.EndpointId(engine))
        if endpoint is None:
            return
        incarnation = endpoint.report.incarnation
        probed_at = clocks.read_monotonic()
        try:
            report = await relay.engines.report(
                endpoint.vm.address, clocks.Deadline.after(_PROBE_TIMEOUT_S)
            )
        except endpoints.EndpointError as error:
            if endpoints.FailureKind.MISMATCH in (kind, error.kind):
                # The engine is alive: it responded, though not with the
                # expected response.
                self._excluded_alive.add(engine)
                return
            # If the engine is only unreachable, it will respond again later,
            # and the crash is withdrawn then.
            await self._record_crash(engine, incarnation)
            return
        relay.directory.record_report(endpoint.endpoint, report, probed_at)
        if report.incarnation != incarnation:
            await self._record_crash(engine, incarnation)
            return
        self._excluded_alive.add(engine)

    async def _record_crash(self, engine: str, incarnation: str) -> None:
        """Records that an engine crashed while it ran the request.

        A new crash is reported to the other daemons before it returns.
        """
        relay = self._relay
        now = clocks.read_monotonic()
        relay.directory.record_failure(ids.EndpointId(engine), now)
        relay.router.forget_engine(engine)
        if self._had_engine_crashed:
            return
        is_new = [
            relay.suspects.record_crash(
                limits.Crash(
                    cause.fingerprint,
                    incarnation,
                    now,
                    was_alone=self._slot is not None and not cause.part,
                ),
                now,
            )
            for cause in self._request.causes
        ]
        if any(is_new):
            _log.warning(
                "Engine {} crashed while it ran request {}.",
                engine,
                self._request.request,
            )
            await relay.on_crash()

    def _run_state(self) -> outcomes.RunState:
        if self._may_have_run:
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


def _explain_quarantine(cause: limits.Cause) -> str:
    if cause.part:
        return (
            "Endpoints died while they ran requests with one of its messages"
            f" (digest {cause.part}); send it without that message."
        )
    return "Two endpoints died while they ran this request."
