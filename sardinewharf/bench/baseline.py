"""A minimal relay that forwards streams unparsed.

Its cost is the lower bound that a daemon's overhead is compared with.
"""

import argparse
import uuid

import aiohttp
import uvicorn


class PassThrough:
    """An ASGI application that forwards every request to one engine.

    Args:
        target: ``HOST:PORT`` of the engine.
    """

    def __init__(self, target: str):
        self._target = target
        self._session: aiohttp.ClientSession | None = None

    async def __call__(self, scope, receive, send) -> None:
        """Forwards one request and streams its response back."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        headers = {"X-Attempt-Id": uuid.uuid4().hex}
        url = f"http://{self._target}{scope['path']}"
        async with self._session.post(
            url, data=body, headers=headers
        ) as response:
            start = {"type": "http.response.start", "status": response.status}
            await send(start | {"headers": []})
            while data := await response.content.readany():
                await send(_make_body(data, more=True))
        await send(_make_body(b"", more=False))


def _make_body(data: bytes, more: bool) -> dict[str, object]:
    return {"type": "http.response.body", "body": data, "more_body": more}


def main() -> None:
    """Runs the relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--target", required=True)
    arguments = parser.parse_args()
    uvicorn.run(
        PassThrough(arguments.target),
        port=arguments.port,
        lifespan="off",
        access_log=False,
        log_config=None,
    )


if __name__ == "__main__":
    main()
