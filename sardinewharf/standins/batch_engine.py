"""Models a model engine that serves requests in batches.

Each step reads a piece of the prompts that are not yet read, and makes some
tokens of every answer whose prompt was read. The longer the piece and the
larger the batch, the longer the step.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BatchCosts:
    """What an engine's sheet says.

    Attributes:
        slots: Requests in a batch.
        step_ms: Time of an empty step.
        step_ms_per_request: Time that each request adds.
        prefill_tokens_per_ms: Prompt tokens read in a millisecond.
        prefill_chunk_tokens: Prompt tokens read in a step at most.
        tokens_per_step: Tokens of an answer made in a step.
    """

    slots: int = 24
    step_ms: float = 3.8
    step_ms_per_request: float = 0.09
    prefill_tokens_per_ms: float = 50.0
    prefill_chunk_tokens: int = 2_048
    tokens_per_step: int = 5


@dataclasses.dataclass(slots=True, eq=False)
class BatchRequest:
    """A request at an engine.

    Attributes:
        arrived_ms: When it came.
        prompt_tokens: Tokens of its prompt that have to be read.
        answer_tokens: Tokens of its answer.
        priority: Rank, 0 first.
        first_token_ms: When its first token was made; None before.
        ended_ms: When its last token was made; None before.
    """

    arrived_ms: float
    prompt_tokens: int
    answer_tokens: int
    priority: int = 0
    first_token_ms: float | None = None
    ended_ms: float | None = None
    prompt_tokens_left: int = 0
    answer_tokens_left: int = 0


class BatchEngine:
    """One engine, driven by the time of the simulation.

    Args:
        name: Its name.
        costs: What its sheet says.
    """

    def __init__(self, name: str, costs: BatchCosts):
        self.name = name
        self._costs = costs
        self._waiting: list[BatchRequest] = []
        self._batch: list[BatchRequest] = []
        self._now_ms = 0.0

    @property
    def running(self) -> int:
        """Requests that run or wait."""
        return len(self._waiting) + len(self._batch)

    @property
    def pending_prompt_tokens(self) -> int:
        """Prompt tokens that are still to be read."""
        return sum(r.prompt_tokens_left for r in (*self._waiting, *self._batch))

    def add(self, request: BatchRequest) -> None:
        """Takes a request."""
        request.prompt_tokens_left = request.prompt_tokens
        request.answer_tokens_left = request.answer_tokens
        if not self.running:
            self._now_ms = max(self._now_ms, request.arrived_ms)
        self._waiting.append(request)

    def run_until(self, now_ms: float) -> None:
        """Takes steps until a time."""
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
            computed = min(chunk_tokens_left, request.prompt_tokens_left)
            request.prompt_tokens_left -= computed
            chunk_tokens_left -= computed
        self._now_ms += (
            costs.step_ms
            + costs.step_ms_per_request * len(self._batch)
            + (costs.prefill_chunk_tokens - chunk_tokens_left)
            / costs.prefill_tokens_per_ms
        )
        for request in list(self._batch):
            if not request.prompt_tokens_left:
                self._decode(request)

    def _decode(self, request: BatchRequest) -> None:
        if request.first_token_ms is None:
            request.first_token_ms = self._now_ms
        request.answer_tokens_left -= self._costs.tokens_per_step
        if request.answer_tokens_left <= 0:
            request.ended_ms = self._now_ms
            self._batch.remove(request)
