import asyncio

from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf.http1 import client

# Reading pauses at the last byte.
LARGE_BYTES = client._HIGH_WATER_BYTES + 1


async def serve_large_bodies(reader, writer):
    """Responds to each request with a large body."""
    while await reader.readline():
        while (await reader.readline()).strip():
            pass
        writer.write(
            b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\n"
            b"content-length: %d\r\n\r\n" % LARGE_BYTES
        )
        writer.write(b"x" * LARGE_BYTES)
    writer.close()


async def test_a_request_after_an_unread_response_is_responded_to():
    """Guards against a pooled connection from which nothing is read.

    The first response had arrived in full when its reader left.
    """
    server = await asyncio.start_server(serve_large_bodies, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = http1.Pool(f"{host}:{port}", limit=9)
    request = http1.encode_request(b"GET", b"/", [], b"")
    for _ in range(3):
        connection = await pool.acquire(clocks.Deadline.after(1.0))
        exchange = connection.start(b"GET", request)
        async with asyncio.timeout(1.0):
            while not exchange.is_complete:
                await asyncio.sleep(0.001)
        exchange.close()
        pool.release(connection)
    pool.close()
    server.close()
    await asyncio.sleep(0.05)  # The writers close.


async def test_a_new_connection_keeps_the_limit():
    """A pool had more connections than its endpoint accepts.

    Those that were idle did not count when a new one was asked for.
    """
    open_connections = set()

    async def count(reader, writer):
        open_connections.add(writer)
        await reader.read()
        open_connections.discard(writer)
        writer.close()

    server = await asyncio.start_server(count, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = http1.Pool(f"{host}:{port}", limit=2)
    deadline = clocks.Deadline.after(1.0)
    acquired = [await pool.acquire(deadline) for _ in range(2)]
    for connection in acquired:
        connection.idle_until = clocks.Deadline.after(9.0)
        pool.release(connection)
    acquired = [
        await pool.acquire(deadline, must_be_new=True) for _ in range(2)
    ]
    await asyncio.sleep(0.05)  # The server sees closed connections.
    assert pool.opened == 4
    assert len(open_connections) == 2
    for connection in acquired:
        pool.release(connection)
    pool.close()
    server.close()
    await asyncio.sleep(0.05)  # The writers close.
