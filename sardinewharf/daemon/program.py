"""Entry point of the daemon ``sardinewharfd``."""

import asyncio
import signal
import sys

import uvloop

from sardinewharf import logs
from sardinewharf import tasks
from sardinewharf.daemon import service
from sardinewharf.daemon import settings as settings_lib

_EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Runs the daemon until it receives SIGTERM or SIGINT."""
    try:
        settings = settings_lib.read_settings(sys.argv[1:])
    except settings_lib.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(_EXIT_INVALID_SETTINGS)
    logs.configure_logs(settings.log_level, settings.name)
    uvloop.run(_run(settings))


async def _run(settings: settings_lib.DaemonSettings) -> None:
    daemon = service.Daemon(settings)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(tasks.PROCESS_FAILURES.record_loop_error)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    await daemon.run()


if __name__ == "__main__":
    main()
