"""Chooses the level of shared prompts at which requests share an engine.

The load pattern: prompts share parts in several levels, as rules, a label and a
question. If the whole shared prompt determined the engine, requests that share
only the first part would prefill it at many engines. But a first part that most
requests share cannot bring them all to one engine.

So requests are grouped by as few leading parts as possible whose demand one
engine can take.

Examples:
    >>> demand = PrefixDemand()
    >>> for number in range(300):
    ...     demand.record(("rules", f"label {number % 20}"), 2_000)
    ...     demand.record((f"form {number % 40}", f"field {number}"), 2_000)
    >>> demand.find_group(("rules", "label 7"), engines=9)
    'rules/label 7'
    >>> demand.find_group(("form 7", "field 47"), engines=9)
    'form 7'
"""

import collections
from collections.abc import Sequence

# Most share of the demand that a group has, as a multiple of what each of the
# engines would serve of it if all served the same.
_MAX_ENGINE_SHARES = 2.0
# Weight of each older prompt relative to the next one.
_DECAY = 0.998
# Number of prefixes whose demand is counted.
_MAX_PREFIXES = 2_000
# The weights grow with each prompt, and are scaled down from here on.
_MAX_WEIGHT = 1e6
_SEPARATOR = "/"


class PrefixDemand:
    """Demand for the prefixes of recent prompts, in tokens."""

    def __init__(self) -> None:
        self._tokens: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._total = 0.0
        self._weight = 1.0

    def record(self, part_ids: Sequence[str], tokens: int) -> None:
        """Records a prompt that a caller sent.

        Args:
            part_ids: Ids of its shared parts, in order.
            tokens: Tokens of the whole prompt.
        """
        self._weight /= _DECAY
        weighted_tokens = self._weight * tokens
        self._total += weighted_tokens
        # The deepest level is the last resort and needs no count.
        for level in range(1, len(part_ids)):
            prefix = _SEPARATOR.join(part_ids[:level])
            counted = self._tokens.pop(prefix, 0.0)
            self._tokens[prefix] = counted + weighted_tokens
        while len(self._tokens) > _MAX_PREFIXES:
            self._tokens.popitem(last=False)
        if self._weight > _MAX_WEIGHT:
            self._scale_down()

    def find_group(self, part_ids: Sequence[str], engines: int) -> str:
        """Returns the key of the group that a shared prompt belongs to.

        Args:
            part_ids: Ids of its parts, in order.
            engines: Number of engines that requests can be sent to.
        """
        most = _MAX_ENGINE_SHARES / max(1, engines) * self._total
        for level in range(1, len(part_ids)):
            prefix = _SEPARATOR.join(part_ids[:level])
            if self._tokens.get(prefix, 0.0) <= most:
                return prefix
        return _SEPARATOR.join(part_ids)

    def _scale_down(self) -> None:
        scale = 1.0 / self._weight
        for prefix in self._tokens:
            self._tokens[prefix] *= scale
        self._total *= scale
        self._weight = 1.0
