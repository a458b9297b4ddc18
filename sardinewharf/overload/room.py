"""Counts the requests that the engines of a service can take now.

The load pattern: short prompts that are not urgent take all slots and the KV
cache memory of the engines. An urgent long prompt then waits until several of
them have ended.

Each engine therefore keeps room for one more request of each more urgent rank
that callers sent lately.

Examples:
    >>> engines = (EngineRoom("e", 4, 1_000, fleet.EndpointLoad(running=1)),)
    >>> room = ServiceRoom(engines)
    >>> room.count_places(100, Reserve())
    3
    >>> room.count_places(100, Reserve(requests=1, tokens=700))
    2
"""

from collections.abc import Sequence
import dataclasses
import functools

from sardinewharf import fleet

# Share of an engine's memory that requests can fill before others are queued.
_USABLE_MEMORY_SHARE = 0.9
# Largest share of an engine that is reserved for more urgent ranks.
_MAX_RESERVED_SHARE = 0.25
# A rank that sent no request for this long needs no reserve, in seconds. One of
# many gateways sees a small share of the requests.
_DEMAND_TTL_S = 10.0
# Weight of the latest request in the mean size of a rank's requests.
_SIZE_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Room that each engine keeps for more urgent ranks.

    Attributes:
        requests: Number of requests.
        tokens: KV cache memory, in tokens.
    """

    requests: int = 0
    tokens: int = 0

    def add(self, other: "Reserve") -> "Reserve":
        """Returns the sum of two reserves."""
        return Reserve(
            self.requests + other.requests, self.tokens + other.tokens
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Room without which a request is not sent.

    Attributes:
        tokens: KV cache memory that it needs; 0 to leave memory out.
        reserve: Room that each engine keeps for others.
    """

    tokens: int
    reserve: Reserve


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRoom:
    """An engine that may run a request, and its load.

    Attributes:
        id: Id of the engine.
        slots: Number of requests that it runs concurrently.
        capacity_tokens: Its KV cache memory, in tokens; 0 if unknown.
        load: Requests that run or are queued there.
    """

    id: str
    slots: int
    capacity_tokens: int
    load: fleet.EndpointLoad

    def count_places(self, tokens: int, reserve: Reserve) -> int:
        """Returns how many requests of a size the engine can take.

        An idle engine can take a request of any size. With 0 tokens, memory is
        left out.
        """
        places = max(0, self.slots - self.load.running - reserve.requests)
        if self.capacity_tokens and tokens:
            usable = int(_USABLE_MEMORY_SHARE * self.capacity_tokens)
            free = usable - self.load.held_tokens - reserve.tokens
            places = min(places, max(0, free // tokens))
        return places if self.load.running else max(1, places)

    def count_capacity(self, tokens: int) -> int:
        """Returns how many requests of a size it can run while idle."""
        idle = dataclasses.replace(self, load=fleet.EndpointLoad())
        return idle.count_places(tokens, Reserve())

    def add(self, requests: int, tokens: int) -> "EngineRoom":
        """Returns the room after requests were sent, or have ended."""
        load = dataclasses.replace(
            self.load,
            running=max(0, self.load.running + requests),
            held_tokens=max(0, self.load.held_tokens + tokens),
        )
        return dataclasses.replace(self, load=load)


@dataclasses.dataclass(frozen=True)
class ServiceRoom:
    """The engines that may run a service's requests.

    Attributes:
        engines: The engines and their loads.
    """

    engines: tuple[EngineRoom, ...]

    @functools.cached_property
    def slots(self) -> int:
        """Number of requests that all engines run concurrently."""
        return sum(engine.slots for engine in self.engines)

    @functools.cached_property
    def running(self) -> int:
        """Number of requests that run or are queued at the engines."""
        return sum(engine.load.running for engine in self.engines)

    @functools.cached_property
    def taken(self) -> int:
        """Number of slots that are taken."""
        return sum(min(e.slots, e.load.running) for e in self.engines)

    def add_request(self, engine_id: str, tokens: int) -> "ServiceRoom":
        """Returns the room with one more request at an engine."""
        return self._add(engine_id, 1, tokens)

    def remove_request(self, engine_id: str, tokens: int) -> "ServiceRoom":
        """Returns the room after a request has ended at an engine."""
        return self._add(engine_id, -1, -tokens)

    def _add(self, engine_id: str, requests: int, tokens: int) -> "ServiceRoom":
        return ServiceRoom(
            tuple(
                e.add(requests, tokens) if e.id == engine_id else e
                for e in self.engines
            )
        )

    def count_places(self, tokens: int, reserve: Reserve) -> int:
        """Returns how many requests of a size the engines can take."""
        return sum(e.count_places(tokens, reserve) for e in self.engines)

    def has_share(self, share: float, need: Need, taken: int) -> bool:
        """Returns whether some share of the places is free.

        Args:
            share: The share of the places that there are while all engines are
                idle; at least one place.
            need: Room that a request needs.
            taken: Places that are taken besides.
        """
        places = self.count_places(need.tokens, need.reserve) - taken
        capacity = sum(e.count_capacity(need.tokens) for e in self.engines)
        return places >= max(1.0, share * capacity)

    def list_places(self, tokens: int, reserve: Reserve) -> dict[str, int]:
        """Returns the places of each engine that can take a request."""
        places = {e.id: e.count_places(tokens, reserve) for e in self.engines}
        return {name: count for name, count in places.items() if count}


class RankDemand:
    """Sizes of the latest requests of each rank, for the reserves."""

    def __init__(self) -> None:
        # By rank: mean size in tokens, and when the latest request came.
        self._sizes: dict[int, tuple[float, float]] = {}

    def record(self, rank: int, tokens: int, now: float) -> None:
        """Records a request that a caller sent."""
        mean, _ = self._sizes.get(rank, (float(tokens), now))
        mean += _SIZE_WEIGHT * (tokens - mean)
        self._sizes[rank] = (mean, now)

    def read_reserve(
        self, rank: int, slots: int, capacity_tokens: int, now: float
    ) -> Reserve:
        """Returns the room that each engine keeps for more urgent ranks.

        Args:
            rank: Rank of the request that would be sent, 0 first.
            slots: Number of slots of each engine.
            capacity_tokens: KV cache memory of each engine, in tokens.
            now: The present time, on the monotonic clock.
        """
        sizes = self._list_sizes_above(rank, now)
        if not sizes:
            return Reserve()
        return Reserve(
            min(len(sizes), int(slots * _MAX_RESERVED_SHARE)),
            min(int(max(sizes)), int(capacity_tokens * _MAX_RESERVED_SHARE)),
        )

    def _list_sizes_above(self, rank: int, now: float) -> Sequence[float]:
        """Returns the mean sizes of the more urgent ranks that send."""
        return [
            mean
            for other, (mean, at) in self._sizes.items()
            if other < rank and now - at <= _DEMAND_TTL_S
        ]
