"""Derives the engine's priority of a request from the configuration.

The load pattern: all organisations have the same priority, and only the routes
tell urgent requests from others. If the organisation's priority overrides the
route's, a long prompt on an urgent route is queued behind each short prompt on
any other route.

Requests are ranked by the pair of their organisation's and their route's
priority. An engine has ten priorities, which are divided among the pairs that
the configuration has for the service. Within a pair, short prompts go first:
they hardly delay long ones.
"""

import bisect
import dataclasses

from sardinewharf import catalog
from sardinewharf.balancing import prompt_lengths

# An engine's priorities are 0, the first, to 9.
_ENGINE_PRIORITIES = 10
# Short, medium and long prompts.
_LENGTH_LEVELS = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class PriorityPair:
    """The configured priorities of a request, in the order in which they count.

    Attributes:
        caller: Priority of its organisation, or that of its route if the
            organisation has none; 0 is the highest.
        route: Priority of its route.
    """

    caller: int
    route: int


@dataclasses.dataclass(frozen=True)
class Ranks:
    """Ranks of the requests of one service.

    Attributes:
        pairs: All pairs of priorities, in ascending order without repeats.

    Examples:
        >>> split = prompt_lengths.LengthSplit()
        >>> ranks = Ranks((PriorityPair(1, 0), PriorityPair(1, 2)))
        >>> ranks.choose_priority(PriorityPair(1, 0), 17_000, split)
        2
        >>> ranks.choose_priority(PriorityPair(1, 2), 300, split)
        3
    """

    pairs: tuple[PriorityPair, ...]

    def find_rank(self, pair: PriorityPair) -> int:
        """Returns the position of a pair; 0 is the most urgent.

        A pair that is not configured any more gets the rank of the next less
        urgent one.
        """
        last = max(0, len(self.pairs) - 1)
        return min(last, bisect.bisect_left(self.pairs, pair))

    def choose_priority(
        self,
        pair: PriorityPair,
        prefill_tokens: int,
        split: prompt_lengths.LengthSplit,
    ) -> int:
        """Returns the priority of a request in an engine's queue.

        With more than three pairs, each has fewer than three priorities, and
        with more than ten, neighbouring pairs have the same one.

        Args:
            pair: The configured priorities of the request.
            prefill_tokens: Prompt tokens that have to be prefilled.
            split: Boundaries between short, medium and long prompts.
        """
        rank = self.find_rank(pair)
        first = self._find_first_priority(rank)
        width = self._find_first_priority(rank + 1) - first
        length_level = sum(
            prefill_tokens >= limit
            for limit in (split.medium_tokens, split.long_tokens)
        )
        return first + length_level * width // _LENGTH_LEVELS

    def _find_first_priority(self, rank: int) -> int:
        """Returns the priority of the short prompts of a rank."""
        count = max(1, len(self.pairs))
        used = min(_ENGINE_PRIORITIES, count * _LENGTH_LEVELS)
        return rank * used // count


class RankTable:
    """Ranks of each service, computed once for each configuration."""

    def __init__(self) -> None:
        self._configuration: catalog.Configuration | None = None
        self._ranks: dict[str, Ranks] = {}

    def find(self, configuration: catalog.Configuration, service: str) -> Ranks:
        """Returns the ranks of a service's requests."""
        if configuration is not self._configuration:
            self._configuration = configuration
            self._ranks = {}
        ranks = self._ranks.get(service)
        if ranks is None:
            ranks = Ranks(_list_pairs(configuration, service))
            self._ranks[service] = ranks
        return ranks


def make_pair(
    route: catalog.Route, organisation: catalog.Organisation | None
) -> PriorityPair:
    """Returns the configured priorities of a request.

    Args:
        route: Its route.
        organisation: Its organisation; None on a public route.
    """
    if organisation is None or organisation.priority is None:
        return PriorityPair(route.priority, route.priority)
    return PriorityPair(organisation.priority, route.priority)


def _list_pairs(
    configuration: catalog.Configuration, service: str
) -> tuple[PriorityPair, ...]:
    """Returns the pairs that requests of a service can have, in order."""
    pairs = set()
    for route in configuration.routes:
        if all(split.service != service for split in route.splits):
            continue
        if route.is_public or not configuration.organisations:
            pairs.add(make_pair(route, None))
            continue
        pairs.update(
            make_pair(route, organisation)
            for organisation in configuration.organisations
        )
    return tuple(sorted(pairs))
