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
        read_tokens_per_ms: Prompt tokens read in a millisecond.
        piece: Prompt tokens read in a step at most.
        stride: Tokens of an answer made in a step.
    """

    slots: int = 24
    step_ms: float = 3.8
    step_ms_per_request: float = 0.09
    read_tokens_per_ms: float = 50.0
    piece: int = 2_048
    stride: int = 5


@dataclasses.dataclass(slots=True, eq=False)
class BatchRequest:
    """A request at an engine.

    Attributes:
        arrived_ms: When it came.
        prompt_tokens: Tokens of its prompt that have to be read.
        answer_tokens: Tokens of its answer.
        priority: Rank, 0 first.
        first_ms: When its first token was made; None before.
        ended_ms: When its last token was made; None before.
    """

    arrived_ms: float
    prompt_tokens: int
    answer_tokens: int
    priority: int = 0
    first_ms: float | None = None
    ended_ms: float | None = None
    unread: int = 0
    unmade: int = 0


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
        self._running: list[BatchRequest] = []
        self._now_ms = 0.0

    @property
    def running(self) -> int:
        """Requests that run or wait."""
        return len(self._waiting) + len(self._running)

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that are still to be read."""
        return sum(r.unread for r in (*self._waiting, *self._running))

    def add(self, request: BatchRequest) -> None:
        """Takes a request."""
        request.unread = request.prompt_tokens
        request.unmade = request.answer_tokens
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
        free = costs.slots - len(self._running)
        self._running += self._waiting[:free]
        self._waiting = self._waiting[free:]
        left = costs.piece
        for request in sorted(
            self._running, key=lambda r: (r.priority, r.arrived_ms)
        ):
            read = min(left, request.unread)
            request.unread -= read
            left -= read
        self._now_ms += (
            costs.step_ms
            + costs.step_ms_per_request * len(self._running)
            + (costs.piece - left) / costs.read_tokens_per_ms
        )
        for request in list(self._running):
            if not request.unread:
                self._make_tokens(request)

    def _make_tokens(self, request: BatchRequest) -> None:
        if request.first_ms is None:
            request.first_ms = self._now_ms
        request.unmade -= self._costs.stride
        if request.unmade <= 0:
            request.ended_ms = self._now_ms
            self._running.remove(request)
