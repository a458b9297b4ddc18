"""Pools of reusable connections to endpoints."""

from sardinewharf import clocks
from sardinewharf import memory
from sardinewharf.http1 import client

# The peer of a connection that was idle for longer may have become unresponsive
# unnoticed. Opening a new connection shows whether the endpoint responds.
_MAX_REUSE_IDLE_S = 0.6


class PoolFullError(client.ConnectError):
    """Raised if all connections that a pool may have are in use."""


class Pool:
    """Reusable connections to one address.

    Args:
        address: ``IP:PORT`` of the endpoint.
        limit: Maximum number of connections in use at a time.
        account: Account of the memory that responses take; None for no limit
            on all of them together.
        use: What the responses are counted as.

    Attributes:
        address: ``IP:PORT`` of the endpoint.
        limit: Maximum number of connections in use at a time; may be changed.
        opened: Number of connections opened so far.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        account: memory.MemoryAccount | None = None,
        use: memory.Use = memory.Use.RESPONSE,
    ):
        self.address = address
        self._account = account
        self._use = use
        self._idle: list[client.Connection] = []
        self._busy = 0
        self.limit = limit
        self.opened = 0

    async def acquire(
        self, deadline: clocks.Deadline, must_be_new: bool = False
    ) -> client.Connection:
        """Returns an idle connection, or opens a new one.

        Args:
            deadline: When to give up opening a connection.
            must_be_new: Whether to open a connection even if one is idle.

        Raises:
            PoolFullError: If all connections are in use.
            ConnectError: If no connection could be opened by the deadline.
        """
        while self._idle and not must_be_new:
            connection = self._idle.pop()
            if connection.is_open and not connection.reuse_until.is_past():
                self._busy += 1
                return connection
            connection.close()
        if self._busy >= self.limit:
            raise PoolFullError(
                f"{self.address}: {self.limit} connections in use"
            )
        if self._idle and self._busy + len(self._idle) >= self.limit:
            self._idle.pop(0).close()
        self._busy += 1
        try:
            connection = await client.connect(
                self.address, deadline, self._account, self._use
            )
        except BaseException:
            self._busy -= 1
            raise
        self.opened += 1
        return connection

    def release(self, connection: client.Connection) -> None:
        """Returns a connection to the pool after its exchange."""
        self._busy -= 1
        if connection.is_open and connection.is_flushed:
            reuse_limit = clocks.Deadline.after(_MAX_REUSE_IDLE_S)
            connection.reuse_until = reuse_limit.earlier(connection.idle_until)
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
