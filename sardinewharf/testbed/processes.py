"""Starts, suspends and measures the processes of a test deployment."""

import dataclasses
import os
import pathlib
import signal
import subprocess


class DeploymentError(Exception):
    """A process failed, or did not reach the awaited state in time."""


@dataclasses.dataclass(slots=True)
class Process:
    """A child process of a test deployment.

    Attributes:
        name: Name of the process, unique in the deployment.
        address: ``HOST:PORT`` of its HTTP server.
        popen: Handle of the process.
        log: File that collects its standard output and standard error.
        arguments: Command line.
        admin: ``HOST:PORT`` of the operator API; empty unless it is a daemon.
    """

    name: str
    address: str
    popen: subprocess.Popen
    log: pathlib.Path
    arguments: list[str]
    admin: str = ""

    @property
    def is_live(self) -> bool:
        """Whether the process is running."""
        return self.popen.poll() is None

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits for its exit."""
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes a suspended process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def read_memory(self) -> int:
        """Returns the resident memory in bytes; 0 of one that has exited."""
        status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        # The entry stays, without memory, until the parent reads the exit code.
        return 0

    def read_cpu(self) -> float:
        """Returns the CPU time used so far, user and system, in seconds."""
        stat = pathlib.Path(f"/proc/{self.popen.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


def start_process(
    name: str,
    address: str,
    arguments: list[str],
    log: pathlib.Path,
    **environment: str,
) -> Process:
    """Starts a process and appends its output to a log file.

    Args:
        name: Name of the process.
        address: ``HOST:PORT`` of its HTTP server.
        arguments: Command line.
        log: File that collects the output.
        **environment: Variables to set besides the inherited ones.
    """
    with log.open("ab") as output:
        popen = subprocess.Popen(
            arguments,
            stdout=output,
            stderr=subprocess.STDOUT,
            env=os.environ | environment,
        )
    return Process(name, address, popen, log, arguments)
