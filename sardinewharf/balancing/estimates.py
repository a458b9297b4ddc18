"""Holds what is measured of a service's engines and prompts while they serve.

See Also:
    ``prefill_rates``, ``prompt_lengths`` and ``prefix_groups``, which measure
    the values.
"""

from collections.abc import Sequence
import dataclasses

from sardinewharf.balancing import prefill_rates
from sardinewharf.balancing import prefix_groups
from sardinewharf.balancing import prompt_lengths


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEstimates:
    """Estimates that the choice of an engine depends on.

    Attributes:
        prefill_tokens_per_ms: Prompt tokens that an engine works off per
            millisecond.
        split: Boundaries between short and long prompts.
        base_ms: Time to the first token without any prompt, in milliseconds.
    """

    prefill_tokens_per_ms: float = prefill_rates.ASSUMED_TOKENS_PER_MS
    split: prompt_lengths.LengthSplit = prompt_lengths.LengthSplit()
    base_ms: float = prefill_rates.ASSUMED_BASE_MS

    def expect_first_ms(
        self, prefill_tokens: int, queued_tokens: int
    ) -> float | None:
        """Returns the time to first token at an engine of usual speed.

        Args:
            prefill_tokens: Prompt tokens that the engine has to prefill.
            queued_tokens: Those that are queued there before.

        Returns:
            The time in milliseconds; None if too little of it depends on the
            engine's speed, or the prompt may overtake most of the queue.
        """
        is_long = prefill_tokens >= self.split.long_tokens
        is_first = queued_tokens <= prefill_tokens
        is_medium = prefill_tokens >= self.split.medium_tokens
        if not is_long and not (is_medium and is_first):
            return None
        tokens = prefill_tokens + queued_tokens
        return self.base_ms + tokens / self.prefill_tokens_per_ms


class EngineEstimator:
    """Measures a service's engines and prompts."""

    def __init__(self) -> None:
        self._rates = prefill_rates.PrefillRateEstimator()
        self._lengths = prompt_lengths.PromptLengths()
        self._demand = prefix_groups.PrefixDemand()

    def read(self) -> EngineEstimates:
        """Returns the present estimates."""
        return EngineEstimates(
            self._rates.tokens_per_ms, self._lengths.split, self._rates.base_ms
        )

    def record_prompt(
        self, shared_part_ids: Sequence[str], tokens: int
    ) -> None:
        """Records a prompt that a caller sent.

        Args:
            shared_part_ids: Ids of its shared parts, in order.
            tokens: Tokens of the whole prompt.
        """
        self._lengths.record(tokens)
        self._demand.record(shared_part_ids, tokens)

    def find_group(self, shared_part_ids: Sequence[str], engines: int) -> str:
        """Returns the key of the prompts that are to share an engine.

        Args:
            shared_part_ids: Ids of a prompt's shared parts, in order.
            engines: Number of engines that requests can be sent to.
        """
        return self._demand.find_group(shared_part_ids, engines)

    def record_first_token(
        self, prefill_tokens: int, queued_tokens: int, took_ms: float
    ) -> None:
        """Records the first token of an answer.

        Short prompts are left out: they overtake the queue that they find.

        Args:
            prefill_tokens: Prompt tokens that the engine had to prefill for it.
            queued_tokens: Those that were queued there before.
            took_ms: Time from the sending of the request, in milliseconds.
        """
        if prefill_tokens >= self._lengths.split.long_tokens:
            self._rates.record(prefill_tokens + queued_tokens, took_ms)
