"""Test double of the platform's VM list, which shows changes late."""

import asyncio

from aiohttp import web
import msgspec

from sardinewharf import inventory
from sardinewharf.standins import program


class VmServer:
    """Serves the VM list.

    Args:
        lag_seconds: Time until a change appears in the list.
    """

    def __init__(self, lag_seconds: float):
        self._lag_seconds = lag_seconds
        self._vms: dict[str, inventory.Vm] = {}
        self._outage = False
        self._version = 0

    def make_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/vms", self._list)
        app.router.add_put("/v1/vms/{vm}", self._put)
        app.router.add_delete("/v1/vms/{vm}", self._delete)
        app.router.add_post("/faults", self._set_faults)
        return app

    async def _list(self, request: web.Request) -> web.Response:
        if self._outage:
            return web.Response(status=503)
        etag = f'"{self._version}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        listing = {"vms": list(self._vms.values())}
        return program.make_json_response(listing, ETag=etag)

    async def _put(self, request: web.Request) -> web.Response:
        vm = msgspec.json.decode(await request.read(), type=inventory.Vm)
        await self._wait_for_lag(request)
        self._vms[vm.vm] = vm
        self._version += 1
        return web.Response()

    async def _delete(self, request: web.Request) -> web.Response:
        await self._wait_for_lag(request)
        self._vms.pop(request.match_info["vm"], None)
        self._version += 1
        return web.Response()

    async def _wait_for_lag(self, request: web.Request) -> None:
        """Waits for the lag, unless the request has the query ``now=1``."""
        if request.query.get("now") != "1":
            await asyncio.sleep(self._lag_seconds)

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._outage = msgspec.json.decode(await request.read())["outage"]
        return web.Response()


def main() -> None:
    """Runs the test double of the VM list."""
    parser = program.make_parser("Test double of the VM list.")
    parser.add_argument("--lag-seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    program.run_app(VmServer(arguments.lag_seconds).make_app, arguments)


if __name__ == "__main__":
    main()
