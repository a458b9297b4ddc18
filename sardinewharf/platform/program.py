"""Runs a gateway on the users' platform."""

import asyncio
import gc
import logging
import os
import pathlib
import signal
import sys

from sardinewharf import logs
from sardinewharf import memory
from sardinewharf import platform
from sardinewharf import records
from sardinewharf.gateway import loops
from sardinewharf.gateway import service
from sardinewharf.gateway import settings as settings_lib

_SETTINGS_VARIABLE = "SARDINEWHARF_CONFIG"


def main() -> None:
    """Runs a gateway until it is signalled to stop."""
    try:
        settings = platform.read_settings(
            pathlib.Path(os.environ.get(_SETTINGS_VARIABLE, ""))
        )
    except platform.SettingsFileError as error:
        sys.exit(f"sardinewharf: {error}")
    log = records.RecordSink(
        sys.stdout.fileno(), settings.name, records.SinkSettings()
    )
    logs.configure_records(log)
    # What the HTTP server would log about callers is logged by the gateway.
    logging.disable(logging.CRITICAL)
    account = memory.MemoryAccount(memory.find_capacity(settings.memory_mb))
    adapters = service.Platform(
        store=platform.StoreClient(settings.store, account),
        change_reader=platform.EntryReader(log),
        header_codec=platform.PlatformHeaderCodec(),
        control=platform.ServerControl(account),
        account=account,
    )
    gc.freeze()
    loops.run(_serve(settings, adapters, log))


async def _serve(
    settings: settings_lib.GatewaySettings,
    adapters: service.Platform,
    log: records.RecordSink,
) -> None:
    gateway = service.GatewayService(settings, adapters, log)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(gateway.handle_loop_error)
    loop.add_signal_handler(signal.SIGTERM, gateway.stop)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.run()


if __name__ == "__main__":
    main()
