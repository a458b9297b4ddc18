"""Makes endpoints state in their responses which requests they want."""


class Statements:
    """Adds headers to all responses and refusals of some servers.

    Args:
        servers: The servers.
        **headers: The headers, with underscores for dashes.

    Attributes:
        headers: The headers, as pairs of name and value; may be changed.
    """

    def __init__(self, servers, **headers):
        self.headers = [
            (name.replace("_", "-"), value) for name, value in headers.items()
        ]
        for server in servers:
            self._wrap_responses(server)
            self._wrap_refusals(server)

    def _wrap_responses(self, server):
        make_headers = server.make_headers
        server.make_headers = lambda request: [
            *make_headers(request),
            *self.headers,
        ]

    def _wrap_refusals(self, server):
        refuse = server._refuse

        def refuse_with_headers(connection, request, status):
            refuse(_Added(connection, self.headers), request, status)

        server._refuse = refuse_with_headers


class _Added:
    """A connection whose responses get further headers."""

    def __init__(self, connection, headers):
        self._connection = connection
        self._headers = headers

    def reply(self, status, headers, body=b""):
        self._connection.reply(status, [*headers, *self._headers], body)


def count_arrivals(servers):
    """Returns how many requests have reached some servers."""
    return sum(server.arrivals for server in servers)
