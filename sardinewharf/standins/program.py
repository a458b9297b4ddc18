"""Runs the HTTP server of a test double until SIGTERM or SIGINT."""

import argparse
import asyncio
from collections.abc import Callable

from aiohttp import web
import msgspec

_SHUTDOWN_TIMEOUT_S = 0.1


def make_parser(summary: str) -> argparse.ArgumentParser:
    """Returns a parser with the flags that all test doubles share."""
    parser = argparse.ArgumentParser(description=summary)
    parser.add_argument("--host", default="127.0.0.1", help="address to bind")
    parser.add_argument("--port", type=int, required=True, help="port to bind")
    return parser


def run_app(
    make_app: Callable[[], web.Application], arguments: argparse.Namespace
) -> None:
    """Serves an application until the process is stopped.

    Args:
        make_app: Creates the application; called inside the event loop.
        arguments: Parsed flags with the address and port to bind.
    """

    async def build() -> web.Application:
        return make_app()

    web.run_app(
        build(),
        host=arguments.host,
        port=arguments.port,
        print=None,
        access_log=None,
        handle_signals=True,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        handler_cancellation=True,
        loop=asyncio.new_event_loop(),
    )


def make_json_response(
    body: object, status: int = 200, **headers: str
) -> web.Response:
    """Returns a JSON response.

    Args:
        body: Object to encode.
        status: HTTP status.
        **headers: Headers; underscores in the names become dashes.
    """
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type="application/json",
        headers={name.replace("_", "-"): v for name, v in headers.items()},
    )
