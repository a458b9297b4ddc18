"""Tests the handles of processes of a test deployment."""

import os
import pathlib
import subprocess
import sys

from sardinewharf.testbed import processes


def test_a_process_that_has_just_exited_has_no_memory():
    """A soak ended with an error, as a gateway exited while it was checked."""
    popen = subprocess.Popen([sys.executable, "-c", ""])
    process = processes.Process("p", "", popen, pathlib.Path(), [])
    # Waits for the exit, and leaves the exit code to be read.
    os.waitid(os.P_PID, popen.pid, os.WEXITED | os.WNOWAIT)
    assert process.read_memory() == 0
    assert popen.wait() == 0
