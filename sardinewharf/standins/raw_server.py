"""Makes test doubles of servers respond with bytes that a test chooses.

Examples:
    Each server that gets a request next plays the next script; the last script
    is repeated::

        play_scripts(servers, [Script((HEAD, b"half"), Ending.RESET)])
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import enum
import itertools
import socket
import struct

from sardinewharf.standins import platform_servers

# Stands for the id of the request in the bytes of a script.
REQUEST_ID = b"{id}"
# Stands for the header fields by which a server marks its own responses.
FIELDS = b"{fields}"
# Closes a socket with a reset instead of a FIN.
_LINGER = struct.pack("ii", 1, 0)
# Time between the parts of a response, so that each is read by itself.
_PART_INTERVAL_S = 0.01


class Ending(enum.Enum):
    """What a server does with its connection after a response."""

    STAY = "stay"
    CLOSE = "close"
    RESET = "reset"
    CLOSE_THEN_RESET = "close_then_reset"


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """The bytes of one response.

    Attributes:
        parts: Bytes that are sent one after the other; ``REQUEST_ID`` and
            ``FIELDS`` are replaced.
        ending: What happens to the connection afterwards.
    """

    parts: tuple[bytes, ...]
    ending: Ending = Ending.STAY


def play_scripts(
    servers: Sequence[platform_servers.PlatformServer],
    scripts: Sequence[Script],
) -> list[platform_servers.ServerRequest]:
    """Makes servers respond with scripts, in the order of the requests.

    Args:
        servers: The servers that share the scripts.
        scripts: The scripts; the last one is repeated.

    Returns:
        The requests that were responded to, in the order of the scripts.
    """
    following = itertools.chain(scripts, itertools.repeat(scripts[-1]))
    requests: list[platform_servers.ServerRequest] = []

    for server in servers:

        async def respond(connection, request, server=server):
            requests.append(request)
            await _play(next(following), server, connection, request)

        server.respond = respond
    return requests


async def _play(script, server, connection, request):
    """Writes the parts of a script and ends the connection."""
    transport = connection.transport
    for part in script.parts:
        transport.write(_fill_in(part, server, request))
        if len(script.parts) > 1:
            await asyncio.sleep(_PART_INTERVAL_S)
    if script.ending is Ending.CLOSE:
        transport.close()
    elif script.ending is Ending.RESET:
        _reset(transport)
    elif script.ending is Ending.CLOSE_THEN_RESET:
        transport.write_eof()
        await asyncio.sleep(0)
        _reset(transport)


def _fill_in(part, server, request):
    """Returns bytes of a script with the request's own fields in them."""
    request_id = request.request_id.encode()
    fields = (
        b"x-sardinewharf-request-id: %b\r\n"
        b"x-sardinewharf-server-stamp: %b.stamp\r\n"
        % (request_id, server.id.encode())
    )
    return part.replace(FIELDS, fields).replace(REQUEST_ID, request_id)


def _reset(transport):
    """Closes a connection with a reset, even if all bytes were read."""
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _LINGER
    )
    transport.abort()
