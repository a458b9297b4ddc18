"""Runs the test double of the platform's store, with fault injection."""

import dataclasses

from aiohttp import web
import msgspec

from sardinewharf.standins import platform_store
from sardinewharf.standins import program


class StoreControl:
    """HTTP routes for a soak run to change keys, set faults and compact.

    Args:
        store: The store.
    """

    def __init__(self, store: platform_store.PlatformStore):
        self._store = store

    def add_to(self, app: web.Application) -> web.Application:
        """Adds the routes to the store's application and returns it."""
        app.router.add_post("/soak/put", self._put)
        app.router.add_post("/soak/remove", self._remove)
        app.router.add_post("/soak/faults", self._set_faults)
        app.router.add_post("/soak/compact", self._compact)
        return app

    async def _put(self, request: web.Request) -> web.Response:
        revision = await self._store.put(
            request.query["key"], await request.read()
        )
        return program.make_json_response(revision)

    async def _remove(self, request: web.Request) -> web.Response:
        await self._store.remove(request.query["key"])
        return program.make_json_response(None)

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = msgspec.json.decode(
            await request.read(), type=platform_store.Faults
        )
        self._store.faults = faults
        return program.make_json_response(dataclasses.asdict(faults))

    async def _compact(self, request: web.Request) -> web.Response:
        await self._store.compact()
        return program.make_json_response(None)


def main() -> None:
    """Runs the store."""
    parser = program.make_parser("The platform's store.")
    arguments = parser.parse_args()
    store = platform_store.PlatformStore()
    program.run_app(
        lambda: StoreControl(store).add_to(store.make_app()), arguments
    )


if __name__ == "__main__":
    main()
