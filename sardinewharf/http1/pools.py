"""Keeps connections to endpoints for reuse."""

from sardinewharf import clocks
from sardinewharf.http1 import client

# A connection that was idle for longer may have fallen silent unnoticed; a
# new one shows whether its endpoint lives, in seconds.
_MAX_REUSE_IDLE_S = 0.6


class PoolFullError(client.ConnectError):
    """An endpoint has as many connections of this process as it may."""


class Pool:
    """Connections to one address.

    Args:
        address: ``IP:PORT``.
        limit: Connections at a time.
    """

    def __init__(self, address: str, limit: int):
        self.address = address
        self._idle: list[client.Connection] = []
        self._busy = 0
        self.limit = limit
        self.opened = 0

    async def acquire(
        self, deadline: clocks.Deadline, must_be_new: bool = False
    ) -> client.Connection:
        """Returns an idle connection, or a new one.

        Raises:
            ConnectError: If there is none by the deadline.
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
        self._busy += 1
        try:
            connection = await client.connect(self.address, deadline)
        except BaseException:
            self._busy -= 1
            raise
        self.opened += 1
        return connection

    def release(self, connection: client.Connection) -> None:
        """Takes a connection back after its exchange."""
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
