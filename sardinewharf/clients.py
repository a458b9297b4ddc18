"""Makes HTTP clients that leave from the daemon's own address."""

import aiohttp


def make_session(
    source_address: str = "", reuse: bool = True, **options
) -> aiohttp.ClientSession:
    """Returns a client session without a limit on connections.

    Args:
        source_address: Local IP of its connections; empty for any.
        reuse: Whether a connection serves more than one request.
        **options: Passed to ``aiohttp.ClientSession``.
    """
    source = (source_address, 0) if source_address else None
    connector = aiohttp.TCPConnector(
        limit=0, force_close=not reuse, local_addr=source
    )
    return aiohttp.ClientSession(
        connector=connector, auto_decompress=False, **options
    )
