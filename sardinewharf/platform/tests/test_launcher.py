"""Checks that signals during the start of a gateway do not end it."""

import os
import pathlib
import signal
import subprocess
import sys

_TIMEOUT_S = 60.0
# Runs in the launcher's process before all else: holds it where it is about to
# import the gateway, until the test allows it to go on.
_HOLD_IMPORT = """
import os
import sys


class ImportHold:
    def find_spec(self, name, path=None, target=None):
        if name == "sardinewharf.platform":
            sys.meta_path.remove(self)
            os.write({reached}, b"1")
            os.read({released}, 1)
        return None


sys.meta_path.insert(0, ImportHold())
"""


def ignores_hangup(pid: int) -> bool:
    """Returns whether a process ignores SIGHUP, as the kernel shows it."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    ignored = next(
        line for line in status.splitlines() if line.startswith("SigIgn:")
    )
    return bool(int(ignored.split()[1], 16) >> (signal.SIGHUP - 1) & 1)


def test_a_reload_before_the_gateway_is_imported_does_not_end_it(tmp_path):
    """SIGHUP 0.55 s after the start, before its handler stood, ended a gateway.

    The process is held just before the import, so that the signal arrives there
    on a busy machine, too. The settings file is missing, so that the process
    ends by itself once the gateway is imported; its exit status shows what
    ended it.
    """
    reached, write_reached = os.pipe()
    read_released, released = os.pipe()
    (tmp_path / "sitecustomize.py").write_text(
        _HOLD_IMPORT.format(reached=write_reached, released=read_released)
    )
    path = os.pathsep.join([str(tmp_path), os.environ.get("PYTHONPATH", "")])
    environment = dict(
        os.environ,
        PYTHONPATH=path,
        SARDINEWHARF_CONFIG=str(tmp_path / "none"),
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "sardinewharf.launcher"],
        env=environment,
        stderr=subprocess.PIPE,
        pass_fds=[write_reached, read_released],
    )
    os.close(write_reached)
    os.close(read_released)
    assert os.read(reached, 1) == b"1", "the gateway was never imported"
    is_ignored = ignores_hangup(process.pid)
    process.send_signal(signal.SIGHUP)
    os.write(released, b"1")
    _, errors = process.communicate(timeout=_TIMEOUT_S)
    os.close(reached)
    os.close(released)
    assert is_ignored, "SIGHUP was not ignored before the import"
    assert process.returncode == 1, process.returncode
    assert b"sardinewharf: " in errors
