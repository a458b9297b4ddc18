"""Starts a gateway on the users' platform."""

import asyncio
import gc
import logging
import os
import pathlib
import signal
import sys

from sardinewharf import logs
from sardinewharf import platform
from sardinewharf.gateway import loops
from sardinewharf.gateway import service

_SETTINGS_VARIABLE = "SARDINEWHARF_CONFIG"


def main() -> None:
    """Runs a gateway until it is told to stop."""
    try:
        settings = platform.read_settings(
            pathlib.Path(os.environ.get(_SETTINGS_VARIABLE, ""))
        )
    except platform.SettingsFileError as error:
        sys.exit(f"sardinewharf: {error}")
    logs.configure_logs("INFO", settings.name)
    # What its server reports of callers is logged by the gateway itself.
    logging.disable(logging.CRITICAL)
    found = service.Platform(
        store=platform.StoreClient(settings.store),
        reader=platform.EntryReader(),
        dialect=platform.HeaderDialect(),
        control=platform.ServerControl(),
    )
    gc.freeze()
    loops.run(_serve(settings, found))


async def _serve(
    settings: service.settings_lib.GatewaySettings, found: service.Platform
) -> None:
    gateway = service.GatewayService(settings, found)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, gateway.stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await gateway.run()


if __name__ == "__main__":
    main()
