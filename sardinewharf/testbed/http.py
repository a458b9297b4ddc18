"""Makes plain blocking HTTP calls for tests and demos."""

import contextlib
import dataclasses
import http.client

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP answer.

    Attributes:
        status: HTTP status, or 0 if the connection broke.
        headers: Header values by lower-case name.
        body: The bytes.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Returns the decoded JSON body."""
        return msgspec.json.decode(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    seconds: float = 30.0,
) -> Response:
    """Makes a call on a connection of its own.

    Raises:
        OSError: If the connection fails.
        http.client.HTTPException: If the answer is cut short.
    """
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        names = {n.lower(): v for n, v in response.getheaders()}
        return Response(response.status, names, response.read())
    finally:
        connection.close()


def responds(address: str, seconds: float = 1.0) -> bool:
    """Returns whether a server answers at all."""
    with contextlib.suppress(OSError, http.client.HTTPException):
        call(address, "GET", "/", seconds=seconds)
        return True
    return False


def succeeds(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    seconds: float = 30.0,
) -> bool:
    """Returns whether a call is answered with status 200."""
    with contextlib.suppress(OSError, http.client.HTTPException):
        return call(address, method, path, body, seconds=seconds).status == 200
    return False


def get_json(address: str, path: str):
    """Returns the decoded JSON of a path."""
    return call(address, "GET", path).json()


def post_json(address: str, path: str, body: object):
    """Posts JSON and returns the answer."""
    return call(address, "POST", path, msgspec.json.encode(body))
