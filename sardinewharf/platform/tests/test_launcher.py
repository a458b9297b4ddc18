"""Checks that signals during the start of a gateway do not end it."""

import os
import pathlib
import signal
import subprocess
import sys
import time

_HANDLER_TIMEOUT_S = 10.0


def ignores_hangup(pid: int) -> bool:
    """Returns whether a process ignores SIGHUP, as the kernel shows it."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    ignored = next(
        line for line in status.splitlines() if line.startswith("SigIgn:")
    )
    return bool(int(ignored.split()[1], 16) >> (signal.SIGHUP - 1) & 1)


def test_a_reload_before_the_gateway_is_imported_does_not_end_it(tmp_path):
    """SIGHUP 0.55 s after the start, before its handler stood, ended a gateway.

    The settings file is missing, so that the process ends by itself once the
    gateway is imported; its exit status shows what ended it.
    """
    environment = dict(os.environ, SARDINEWHARF_CONFIG=str(tmp_path / "none"))
    process = subprocess.Popen(
        [sys.executable, "-m", "sardinewharf.launcher"],
        env=environment,
        stderr=subprocess.PIPE,
    )
    deadline = time.monotonic() + _HANDLER_TIMEOUT_S
    while not ignores_hangup(process.pid):
        assert process.poll() is None, process.returncode
        assert time.monotonic() < deadline
        time.sleep(0.001)
    modules = pathlib.Path(f"/proc/{process.pid}/maps").read_text()
    assert "msgspec" not in modules, "the gateway is imported already"
    process.send_signal(signal.SIGHUP)
    _, errors = process.communicate(timeout=_HANDLER_TIMEOUT_S)
    assert process.returncode == 1, process.returncode
    assert b"sardinewharf: " in errors
