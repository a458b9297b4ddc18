"""How long a connection may stay idle, as its caller was told."""

from uvicorn.protocols.http import httptools_impl

# The idle time that callers are told is shorter than the real one by this, in
# seconds: a request on its way must not meet the close.
_IDLE_MARGIN_S = 0.5


class IdleTime:
    """The idle time of a connection."""

    __slots__ = ("_told_s",)

    def __init__(self) -> None:
        # Whole seconds of Keep-Alive that were told last; 0 for none.
        self._told_s = 0

    def tell(
        self, cycle: httptools_impl.RequestResponseCycle, limit_s: float
    ) -> None:
        """Adds to a response how long the connection may stay idle.

        Args:
            cycle: The request and its response.
            limit_s: The idle timeout in force, in seconds.
        """
        idle_s = int(limit_s - _IDLE_MARGIN_S)
        if idle_s < 1:
            return
        self._told_s = idle_s
        told = (b"keep-alive", b"timeout=%d" % idle_s)
        cycle.default_headers = [*cycle.default_headers, told]

    def find_timeout(self, limit_s: float) -> float:
        """Returns the idle timeout in force, or the one told if longer."""
        if not self._told_s:
            return limit_s
        return max(limit_s, self._told_s + _IDLE_MARGIN_S)
