"""Estimates the load of endpoints from the requests of all gateways.

Examples:
    >>> table = LoadTable()
    >>> request = table.begin(ids.EndpointId("e"), prompt_tokens=800)
    >>> table.read(ids.EndpointId("e"), now=0.0)
    EndpointLoad(running=1, prompt_tokens=800, held_tokens=0)
    >>> request.end_prefill()
    >>> table.read(ids.EndpointId("e"), now=0.0)
    EndpointLoad(running=1, prompt_tokens=0, held_tokens=0)
    >>> request.end()
    >>> table.read(ids.EndpointId("e"), now=0.0).running
    0
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from sardinewharf import clocks
from sardinewharf import ids

# Time for which a peer's reported load counts, in seconds.
_PEER_LOAD_TTL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Load of an endpoint.

    Attributes:
        running: Number of requests sent and not yet completely answered.
        prompt_tokens: Prompt tokens to prefill for requests without a first
            token.
        held_tokens: KV cache that all running requests need, in tokens.
    """

    running: int = 0
    prompt_tokens: int = 0
    held_tokens: int = 0


class RunningRequest:
    """A request at an endpoint, which counts in its load until it ends."""

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
        self._has_ended = False
        self._began_at = clocks.read_monotonic()
        table._add(endpoint_id, 1, prompt_tokens, held_tokens)

    def end_prefill(self) -> None:
        """Records that the prompt was prefilled."""
        self._table._add(self._endpoint_id, 0, -self._prompt_tokens, 0)
        self._prompt_tokens = 0

    def end(self) -> None:
        """Records that the request has ended; may be called twice."""
        if not self._has_ended:
            self._has_ended = True
            self.end_prefill()
            self._table._add(self._endpoint_id, -1, 0, -self._held_tokens)
            took_s = clocks.read_monotonic() - self._began_at
            self._table.on_end(self._endpoint_id, self._held_tokens, took_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerLoad:
    """A peer's load at an endpoint, and when the report of it arrived."""

    received_at: float
    load: EndpointLoad


def _ignore_end(
    endpoint_id: ids.EndpointId, held_tokens: int, took_s: float
) -> None:
    """Does nothing; the default callback for requests that ended."""


class LoadTable:
    """Load of all endpoints, of this gateway and of its peers.

    In a large fleet only some peers report within the time for which a report
    counts. Each report stands for as many peers as are expected for each one
    that reports: the estimate is right in the mean, and differs between
    gateways, so that they do not all choose the same endpoint.

    Attributes:
        peers_per_report: Peers that each report stands for, at least 1.
        on_end: Called when a request of this gateway has ended, with the
            endpoint, the KV cache tokens that it needed and the seconds that it
            took.
    """

    def __init__(self) -> None:
        self.peers_per_report = 1.0
        # Running requests, prompt tokens and KV cache tokens, in this order.
        self._own: dict[ids.EndpointId, list[int]] = {}
        self._peers: dict[ids.EndpointId, dict[str, _PeerLoad]] = {}
        # Endpoints in the last report of each peer.
        self._reported: dict[str, list[ids.EndpointId]] = {}
        # When the last report of each peer arrived.
        self._reported_at: dict[str, float] = {}
        self.on_end: Callable[[ids.EndpointId, int, float], None] = _ignore_end

    def set_report_interval(self, interval_s: float) -> None:
        """Sets the mean time between two reports of a peer, in seconds."""
        self.peers_per_report = max(1.0, interval_s / _PEER_LOAD_TTL_S)

    def begin(
        self,
        endpoint_id: ids.EndpointId,
        prompt_tokens: int = 0,
        held_tokens: int = 0,
    ) -> RunningRequest:
        """Records a request that is sent to an endpoint.

        Args:
            endpoint_id: The endpoint.
            prompt_tokens: Prompt tokens that it has to prefill.
            held_tokens: KV cache that the request needs, in tokens.
        """
        return RunningRequest(self, endpoint_id, prompt_tokens, held_tokens)

    def list_own(self) -> dict[ids.EndpointId, EndpointLoad]:
        """Returns this gateway's load at each endpoint."""
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
        """Replaces the load that a peer reported before.

        Args:
            peer: Name of the peer.
            loads: Its load at each endpoint where it has requests.
            now: When the report arrived.
        """
        for endpoint_id in self._reported.get(peer, ()):
            by_peer = self._peers[endpoint_id]
            del by_peer[peer]
            if not by_peer:
                del self._peers[endpoint_id]
        self._reported[peer] = list(loads)
        self._reported_at[peer] = now
        for endpoint_id, load in loads.items():
            by_peer = self._peers.setdefault(endpoint_id, {})
            by_peer[peer] = _PeerLoad(now, load)

    def count_reporting(self, now: float) -> float:
        """Returns for how many peers the reports that count now stand."""
        recent = sum(
            now - at <= _PEER_LOAD_TTL_S for at in self._reported_at.values()
        )
        return self.peers_per_report * recent

    def read(
        self,
        endpoint_id: ids.EndpointId,
        now: float,
        prefill_tokens_per_ms: float = 0.0,
    ) -> EndpointLoad:
        """Returns the load of an endpoint.

        The prompt tokens that peers reported are reduced by what the endpoint
        has prefilled since. It prefills the prompts of all gateways in turn, so
        that each peer's share shrinks at the rate of the whole queue.

        Args:
            endpoint_id: The endpoint.
            now: The present time, on the monotonic clock.
            prefill_tokens_per_ms: Rate at which it prefills; 0 if it does not.
        """
        running, prompt_tokens, held_tokens = self._own.get(
            endpoint_id, (0, 0, 0)
        )
        since = now - _PEER_LOAD_TTL_S
        scale = self.peers_per_report
        # Reports with prompts that await prefill; most have none.
        queued: list[_PeerLoad] = []
        for peer in self._peers.get(endpoint_id, {}).values():
            if peer.received_at < since:
                continue
            load = peer.load
            running += round(scale * load.running)
            held_tokens += int(scale * load.held_tokens)
            if load.prompt_tokens:
                queued.append(peer)
        if queued:
            prompt_tokens += self._estimate_queued(
                queued, prompt_tokens, now, prefill_tokens_per_ms
            )
        return EndpointLoad(running, prompt_tokens, held_tokens)

    def _estimate_queued(
        self,
        queued: list[_PeerLoad],
        own_tokens: int,
        now: float,
        prefill_tokens_per_ms: float,
    ) -> int:
        """Returns the prompt tokens of peers that still await prefill."""
        scale = self.peers_per_report
        queued_tokens = own_tokens + scale * sum(
            peer.load.prompt_tokens for peer in queued
        )
        left = 0
        for peer in queued:
            prefilled_share = (
                (now - peer.received_at)
                * 1000
                * prefill_tokens_per_ms
                / queued_tokens
            )
            left += int(
                scale
                * peer.load.prompt_tokens
                * max(0.0, 1.0 - prefilled_share)
            )
        return left

    def _add(
        self,
        endpoint_id: ids.EndpointId,
        running: int,
        prompt_tokens: int,
        held_tokens: int,
    ) -> None:
        """Adds to this gateway's load at an endpoint, or subtracts from it."""
        counts = self._own.setdefault(endpoint_id, [0, 0, 0])
        counts[0] += running
        counts[1] += prompt_tokens
        counts[2] += held_tokens
        if not counts[0]:
            del self._own[endpoint_id]
