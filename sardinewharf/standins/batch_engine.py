"""Models an engine with continuous batching and chunked prefill.

Each step prefills a chunk of the prompts in the batch, and then decodes some
tokens of every request whose prompt is prefilled. A step takes longer with a
longer chunk and with a larger batch.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BatchCosts:
    """How long the steps of an engine take.

    Attributes:
        slots: Maximum number of requests in a batch.
        step_ms: Time of a step with an empty batch.
        step_ms_per_request: Time that each request in the batch adds.
        prefill_tokens_per_ms: Prompt tokens prefilled per millisecond.
        prefill_chunk_tokens: Maximum number of prompt tokens prefilled in a
            step.
        tokens_per_step: Tokens of each answer decoded in a step.
    """

    slots: int = 24
    step_ms: float = 3.8
    step_ms_per_request: float = 0.09
    prefill_tokens_per_ms: float = 50.0
    prefill_chunk_tokens: int = 2_048
    tokens_per_step: int = 5


@dataclasses.dataclass(slots=True, eq=False)
class BatchRequest:
    """A request at an engine, with its progress; times are simulated.

    Attributes:
        arrived_ms: When the request arrived.
        prompt_tokens: Number of tokens of the prompt to prefill.
        answer_tokens: Number of tokens of the answer.
        priority: Priority; requests with a lower value are served first.
        first_token_ms: When the first token was decoded; None before.
        ended_ms: When the last token was decoded; None before.
        unprefilled: Prompt tokens not yet prefilled.
        undecoded: Tokens of the answer not yet decoded.
    """

    arrived_ms: float
    prompt_tokens: int
    answer_tokens: int
    priority: int = 0
    first_token_ms: float | None = None
    ended_ms: float | None = None
    unprefilled: int = 0
    undecoded: int = 0


class BatchEngine:
    """An engine that advances with the simulated time.

    Args:
        name: Name of the engine.
        costs: Duration of its steps.
    """

    def __init__(self, name: str, costs: BatchCosts):
        self.name = name
        self._costs = costs
        self._waiting: list[BatchRequest] = []
        self._batch: list[BatchRequest] = []
        self._now_ms = 0.0

    @property
    def running(self) -> int:
        """Number of requests in the batch or the queue."""
        return len(self._waiting) + len(self._batch)

    @property
    def unprefilled_tokens(self) -> int:
        """Prompt tokens of all requests that are not yet prefilled."""
        return sum(r.unprefilled for r in (*self._waiting, *self._batch))

    def add(self, request: BatchRequest) -> None:
        """Queues a request."""
        request.unprefilled = request.prompt_tokens
        request.undecoded = request.answer_tokens
        if not self.running:
            self._now_ms = max(self._now_ms, request.arrived_ms)
        self._waiting.append(request)

    def run_until(self, now_ms: float) -> None:
        """Runs steps until a time of the simulation."""
        while self.running and self._now_ms < now_ms:
            self._step()
        self._now_ms = max(self._now_ms, now_ms)

    def _step(self) -> None:
        costs = self._costs
        self._waiting.sort(key=lambda r: (r.priority, r.arrived_ms))
        free_slots = costs.slots - len(self._batch)
        self._batch += self._waiting[:free_slots]
        self._waiting = self._waiting[free_slots:]
        chunk_tokens_left = costs.prefill_chunk_tokens
        for request in sorted(
            self._batch, key=lambda r: (r.priority, r.arrived_ms)
        ):
            computed = min(chunk_tokens_left, request.unprefilled)
            request.unprefilled -= computed
            chunk_tokens_left -= computed
        self._now_ms += (
            costs.step_ms
            + costs.step_ms_per_request * len(self._batch)
            + (costs.prefill_chunk_tokens - chunk_tokens_left)
            / costs.prefill_tokens_per_ms
        )
        for request in list(self._batch):
            if not request.unprefilled:
                self._decode(request)

    def _decode(self, request: BatchRequest) -> None:
        if request.first_token_ms is None:
            request.first_token_ms = self._now_ms
        request.undecoded -= self._costs.tokens_per_step
        if request.undecoded <= 0:
            request.ended_ms = self._now_ms
            self._batch.remove(request)
