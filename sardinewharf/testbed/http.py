"""Blocking HTTP calls for tests, demos and benchmarks."""

import contextlib
import dataclasses
import http.client

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response.

    Attributes:
        status: HTTP status, or 0 if the connection failed.
        headers: Header values by lower-case name.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Returns the body decoded from JSON."""
        return msgspec.json.decode(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    seconds: float = 30.0,
) -> Response:
    """Sends a request on a new connection and reads the whole response.

    Args:
        address: ``HOST:PORT`` of the server.
        method: HTTP method.
        path: Path and query.
        body: Body of the request.
        headers: Headers of the request; none by default.
        seconds: Timeout of each blocking operation, not of the whole call.

    Raises:
        OSError: If the connection fails or times out.
        http.client.HTTPException: If the response is invalid or cut short.
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
    """Returns whether a server sends any HTTP response."""
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
    """Returns whether a call gets a response with status 200."""
    with contextlib.suppress(OSError, http.client.HTTPException):
        return call(address, method, path, body, seconds=seconds).status == 200
    return False


def get_json(address: str, path: str):
    """Returns the decoded JSON body of a GET request."""
    return call(address, "GET", path).json()


def post_json(address: str, path: str, body: object):
    """Sends a POST request with a JSON body and returns the response."""
    return call(address, "POST", path, msgspec.json.encode(body))
