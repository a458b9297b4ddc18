"""Test double of an application server.

It executes every request that it receives and counts the executions by request
id and by idempotency key. It doesn't reject repeated requests: at-most-once
execution is guaranteed by the router, and tests check it by these counts.
"""

import asyncio
import collections
import itertools
import os

from aiohttp import web
import msgspec

from sardinewharf.standins import program


class Faults(msgspec.Struct):
    """Faults to inject into the server.

    Attributes:
        refuse: Responds with 503 and ``Not-Run: 1`` and executes nothing.
        delay_ms: Time from the execution of a request to its response.
        delay_before_ms: Time before a request is executed.
        crash_after_run: Ends the process after the execution, before the
            response.
        fail: Executes the request, then responds with status 500.
    """

    refuse: bool = False
    delay_ms: float = 0.0
    delay_before_ms: float = 0.0
    crash_after_run: bool = False
    fail: bool = False


class ApplicationServer:
    """Executes application calls and counts them.

    Attributes:
        faults: Faults to inject.
    """

    def __init__(self) -> None:
        self._runs_by_key = collections.Counter[str]()
        self._runs_by_request = collections.Counter[str]()
        self._receipts = itertools.count(1)
        self._is_leaving = False
        self._running = 0
        self.faults = Faults()

    def make_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/load", self._get_load)
        app.router.add_post("/v1/leave", self._leave)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/record", self._get_record)
        app.router.add_post("/calls/{call:.*}", self._call)
        return app

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        faults = self.faults
        key = request.headers.get("Idempotency-Key", "")
        request_id = request.headers.get("X-Request-Id", "")
        if faults.refuse or self._is_leaving:
            headers = {"Not-Run": "1", "X-Request-Id": request_id}
            return web.Response(status=503, headers=headers)
        await asyncio.sleep(faults.delay_before_ms / 1000)
        self._runs_by_key[key] += 1
        self._runs_by_request[request_id] += 1
        self._running += 1
        try:
            await asyncio.sleep(faults.delay_ms / 1000)
        finally:
            self._running -= 1
        if faults.crash_after_run:
            os._exit(1)
        if faults.fail:
            return web.Response(
                status=500, headers={"X-Request-Id": request_id}
            )
        receipt = {
            "receipt": next(self._receipts),
            "call": request.match_info["call"],
            "echo": body.decode("utf-8", "replace"),
        }
        return program.make_json_response(receipt, X_Request_Id=request_id)

    async def _get_load(self, request: web.Request) -> web.Response:
        return program.make_json_response(
            {"running": self._running, "leaving": self._is_leaving}
        )

    async def _leave(self, request: web.Request) -> web.Response:
        self._is_leaving = True
        return web.Response()

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return program.make_json_response(self.faults)

    async def _get_record(self, request: web.Request) -> web.Response:
        return program.make_json_response(
            {
                "keys": dict(self._runs_by_key),
                "requests": dict(self._runs_by_request),
            }
        )


def main() -> None:
    """Runs the application test double."""
    parser = program.make_parser("Test double of an application server.")
    arguments = parser.parse_args()
    program.run_app(lambda: ApplicationServer().make_app(), arguments)


if __name__ == "__main__":
    main()
