"""HTTP/1.1 client with a connection pool, and an HTTP/1.1 server.

The client reports whether a request may have been sent, and whether received
bytes belong to it.
"""

from sardinewharf.http1.client import ConnectError
from sardinewharf.http1.client import Connection
from sardinewharf.http1.client import Exchange
from sardinewharf.http1.client import Head
from sardinewharf.http1.client import Headers
from sardinewharf.http1.client import ResponseLostError
from sardinewharf.http1.client import connect
from sardinewharf.http1.client import encode_head
from sardinewharf.http1.client import encode_request
from sardinewharf.http1.pools import Pool
from sardinewharf.http1.pools import PoolFullError

__all__ = [
    "ConnectError",
    "Connection",
    "Exchange",
    "Head",
    "Headers",
    "Pool",
    "PoolFullError",
    "ResponseLostError",
    "connect",
    "encode_head",
    "encode_request",
]
