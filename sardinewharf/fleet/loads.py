"""Estimates how busy endpoints are, from this gateway's work and its peers'.

Examples:
    >>> table = LoadTable()
    >>> work = table.begin(ids.EndpointId("e"), prompt_tokens=800)
    >>> table.read(ids.EndpointId("e"), now=0.0)
    EndpointLoad(running=1, prompt_tokens=800, held_tokens=0)
    >>> work.end_prompt()
    >>> table.read(ids.EndpointId("e"), now=0.0)
    EndpointLoad(running=1, prompt_tokens=0, held_tokens=0)
    >>> work.end()
    >>> table.read(ids.EndpointId("e"), now=0.0).running
    0
"""

from collections.abc import Mapping
import dataclasses

from sardinewharf import ids

# What a peer said of its work counts for this long, in seconds.
_PEER_S = 1.0
# Prompt tokens that an engine reads in a millisecond.
READ_TOKENS_PER_MS = 50.0
_READ_TOKENS_PER_S = 1000 * READ_TOKENS_PER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Work at an endpoint.

    Attributes:
        running: Requests sent and not yet answered in full.
        prompt_tokens: Prompt tokens to be read for those without a first
            event.
        held_tokens: Tokens of memory that the requests will take.
    """

    running: int = 0
    prompt_tokens: int = 0
    held_tokens: int = 0


class Work:
    """A request that runs at an endpoint, until it ends."""

    def __init__(
        self,
        table: "LoadTable",
        endpoint_id: ids.EndpointId,
        prompt_tokens: int,
        held_tokens: int,
    ):
        self._table = table
        self._endpoint_id = endpoint_id
        self._prompt_tokens = prompt_tokens
        self._held_tokens = held_tokens
        self._is_over = False
        table._add(endpoint_id, 1, prompt_tokens, held_tokens)

    def end_prompt(self) -> None:
        """Notes that the prompt was read."""
        self._table._add(self._endpoint_id, 0, -self._prompt_tokens, 0)
        self._prompt_tokens = 0

    def end(self) -> None:
        """Notes that the request has ended."""
        if not self._is_over:
            self._is_over = True
            self.end_prompt()
            self._table._add(self._endpoint_id, -1, 0, -self._held_tokens)


class LoadTable:
    """Work at all endpoints."""

    def __init__(self) -> None:
        self._own: dict[ids.EndpointId, list[int]] = {}
        self._peers: dict[
            str, tuple[float, Mapping[ids.EndpointId, EndpointLoad]]
        ] = {}

    def begin(
        self,
        endpoint_id: ids.EndpointId,
        prompt_tokens: int = 0,
        held_tokens: int = 0,
    ) -> Work:
        """Notes a request that is sent to an endpoint."""
        return Work(self, endpoint_id, prompt_tokens, held_tokens)

    def list_own(self) -> dict[ids.EndpointId, EndpointLoad]:
        """Returns this gateway's work."""
        return {
            endpoint_id: EndpointLoad(*counts)
            for endpoint_id, counts in self._own.items()
        }

    def count_own(self, endpoint_id: ids.EndpointId) -> int:
        """Returns how many requests of this gateway run at an endpoint."""
        return self._own.get(endpoint_id, (0, 0, 0))[0]

    def merge_peer(
        self,
        peer: str,
        loads: Mapping[ids.EndpointId, EndpointLoad],
        now: float,
    ) -> None:
        """Takes in a peer's work."""
        self._peers[peer] = (now, loads)

    def read(self, endpoint_id: ids.EndpointId, now: float) -> EndpointLoad:
        """Returns the work at an endpoint."""
        running, prompt, held = self._own.get(endpoint_id, (0, 0, 0))
        for at, loads in self._peers.values():
            load = loads.get(endpoint_id)
            if load is not None and now - at <= _PEER_S:
                # The engine has read on since the peer told of them.
                read = int((now - at) * _READ_TOKENS_PER_S)
                running += load.running
                prompt += max(0, load.prompt_tokens - read)
                held += load.held_tokens
        return EndpointLoad(running, prompt, held)

    def _add(
        self, endpoint_id: ids.EndpointId, running: int, prompt: int, held: int
    ) -> None:
        counts = self._own.setdefault(endpoint_id, [0, 0, 0])
        counts[0] += running
        counts[1] += prompt
        counts[2] += held
        if not counts[0]:
            del self._own[endpoint_id]
