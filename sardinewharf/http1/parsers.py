"""Parsers of requests whose protocol is not changed on their request."""

import httptools
from uvicorn.protocols.http import httptools_impl

from sardinewharf.http1 import client

_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


def make_parser_behind_head(
    protocol: httptools_impl.HttpToolsProtocol,
) -> httptools.HttpRequestParser:
    """Returns a parser that calls a protocol for what follows a first head.

    A parser takes all that follows a request to change the protocol for that
    protocol, though the request's body comes first and the protocol need not be
    changed (RFC 9110, section 7.8). So the rest is parsed by another one, which
    is fed ``encode_framing`` of the same head first.
    """
    return _make_parser(_BehindHead(protocol))


def continue_in_http(protocol: httptools_impl.HttpToolsProtocol) -> None:
    """Replaces a protocol's parser by one that is behind the same head."""
    version = protocol.parser.get_http_version().encode()
    protocol.parser = make_parser_behind_head(protocol)
    protocol.parser.feed_data(encode_framing(version, protocol.headers))


def encode_framing(version: bytes, headers: client.Headers) -> bytes:
    r"""Returns a head that frames its body as another one does.

    Examples:
        >>> encode_framing(b"1.1", [(b"host", b"h"), (b"content-length", b"2")])
        b'POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\n'
    """
    lines = [b"POST / HTTP/" + version]
    lines += [
        name + b": " + value
        for name, value in headers
        if name in _FRAMING_HEADERS
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


class _BehindHead:
    """Passes on what a parser finds behind its first head."""

    def __init__(self, protocol: httptools_impl.HttpToolsProtocol):
        self._protocol = protocol
        self._is_behind_head = False
        self.on_body = protocol.on_body
        self.on_message_complete = protocol.on_message_complete

    def on_message_begin(self) -> None:
        if self._is_behind_head:
            self._protocol.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if self._is_behind_head:
            self._protocol.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_behind_head:
            self._protocol.on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._is_behind_head:
            self._protocol.on_headers_complete()
        self._is_behind_head = True


def _make_parser(callbacks: object) -> httptools.HttpRequestParser:
    parser = httptools.HttpRequestParser(callbacks)
    # The request before a "connection: close" is answered in any case.
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    return parser
