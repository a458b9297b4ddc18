"""Finds free ports on loopback for the processes of a test.

Examples:
    >>> 10_000 <= find_free_port() < 30_000
    True
"""

import random
import socket

_LOCALHOST = "127.0.0.1"
# Below the kernel's ephemeral ports, so that no outgoing connection takes a
# port between the search and the start of the process that listens on it.
_PORTS = range(10_000, 30_000)


def find_free_port() -> int:
    """Returns a random port that is free for TCP and UDP."""
    while True:
        port = random.choice(_PORTS)
        if _can_bind(port):
            return port


def _can_bind(port: int) -> bool:
    """Returns whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((_LOCALHOST, port))
            except OSError:
                return False
    return True
