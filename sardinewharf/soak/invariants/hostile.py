"""Checks that gateways outlast clients that exceed limits."""

import contextlib
import pathlib
import re

from sardinewharf.gateway import settings as settings_lib
from sardinewharf.soak import callers
from sardinewharf.soak import faults as faults_lib
from sardinewharf.soak import hostile_faults
from sardinewharf.soak import late_callers
from sardinewharf.soak.invariants import checks
from sardinewharf.testbed import processes

_MEMORY_MB = settings_lib.DEFAULT_MEMORY_MB
# Half of the memory, as for gateways of 150 MB in bench/tests/hostile.py.
_MEMORY_SHARE = 0.5
# Limit of the unread bytes of a connection (http1/pipelines.py), once in the
# transport and once in the pipeline.
_CONNECTION_BYTES = 2 * 65_536
# Listeners, connections to the store, to servers and to other gateways.
_BASE_DESCRIPTORS = 100
# A client may connect again before its former connection is closed, and a
# request that runs has a connection to a server.
_DESCRIPTORS_PER_CONNECTION = 2
_PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")


def find_memory_bound(memory_mb: float, connections: int) -> int:
    """Returns the most resident memory of a gateway, in bytes.

    Args:
        memory_mb: Memory that the gateway may use, in MB.
        connections: Number of connections that clients keep open.

    Examples:
        >>> find_memory_bound(128.0, 10)
        65310720
    """
    own = int(memory_mb * 1e6 * _MEMORY_SHARE)
    return own + connections * _CONNECTION_BYTES


def find_descriptor_bound(connections: int) -> int:
    """Returns the most open descriptors of a gateway.

    Examples:
        >>> find_descriptor_bound(10)
        120
    """
    return _BASE_DESCRIPTORS + _DESCRIPTORS_PER_CONNECTION * connections


class HostileCheck(checks.Check):
    """Checks the gateways of a run that has hostile clients.

    It checks no times and no share of served requests.

    Attributes:
        peaks: The most memory in bytes and the most descriptors that were
            seen of each gateway.
    """

    def __init__(self, record):
        super().__init__(record)
        self.peaks: dict[str, tuple[int, int]] = {}
        self._faults = [
            fault
            for fault in record.timeline.faults
            if isinstance(fault, hostile_faults.HostileClients)
        ]

    def sample(self) -> None:
        """Measures the gateways; skips those that have ended."""
        if not self._faults:
            return
        for gateway in self.record.deployment.gateways:
            process = self.record.deployment.processes.get(gateway)
            if process is None or not process.is_live:
                continue
            # A process may end while it is measured.
            with contextlib.suppress(OSError):
                self.add_sample(gateway, *_measure(process))

    def add_sample(self, gateway: str, size: int, descriptors: int) -> None:
        """Records the memory in bytes and the descriptors of a gateway."""
        peak = self.peaks.get(gateway, (0, 0))
        self.peaks[gateway] = (max(peak[0], size), max(peak[1], descriptors))

    def check(self) -> None:
        """Checks exits and the samples taken so far."""
        if not self._faults:
            return
        deployment = self.record.deployment
        for name in deployment.list_unexpected_exits():
            if name in deployment.gateways:
                code = deployment.processes[name].popen.returncode
                self._add(name, f"ended with {code}")
        for gateway, (size, descriptors) in self.peaks.items():
            connections = self._count_connections(gateway)
            if size > find_memory_bound(_MEMORY_MB, connections):
                self._add(gateway, "exceeded its memory")
            if descriptors > find_descriptor_bound(connections):
                self._add(gateway, "exceeded its open descriptors")

    def check_final(self, now: float) -> None:
        """Checks that each gateway answered a request after the last fault.

        No gateway restarts after it, so that the process is the one which the
        hostile clients met.
        """
        if not self._faults:
            return
        self._write_peaks()
        last = max(fault.until for fault in self.record.timeline.faults)
        since = self.record.timeline.started_at + last
        answered = {
            attempt.gateway
            for attempt in self.record.pool.attempts
            if attempt.sent_at > since
            and attempt.status == 200
            and attempt.is_complete
        }
        for gateway in self.record.deployment.gateways:
            if gateway not in answered:
                self._add(gateway, "answered no request after the clients left")

    def _count_connections(self, gateway: str) -> int:
        """Returns how many clients a gateway had at most."""
        hostile = sum(
            len(fault.clients)
            for fault in self._faults
            if fault.gateway == gateway
        )
        late = sum(
            late_callers.CALLERS
            for fault in self.record.timeline.faults
            if isinstance(fault, faults_lib.BusyRestart)
            and fault.name == gateway
        )
        # Each request that crashes servers is sent by one caller.
        crashing = sum(
            isinstance(fault, faults_lib.CrashingRequest)
            for fault in self.record.timeline.faults
        )
        return callers.CALLERS_PER_GATEWAY + hostile + late + crashing

    def _add(self, gateway: str, detail: str) -> None:
        seed = self.record.pool.seed
        self.add_finding(
            checks.Invariant.HOSTILE,
            f"family {hostile_faults.FAMILY_NAME}, seed {seed}, {gateway}:"
            f" {detail}",
        )

    def _write_peaks(self) -> None:
        """Writes the peaks beside the logs."""
        lines = [
            f"{gateway}: {size / 1e6:.1f} MB of"
            f" {self._find_limit(gateway) / 1e6:.1f}, {descriptors} descriptors"
            for gateway, (size, descriptors) in sorted(self.peaks.items())
        ]
        path = self.record.deployment.folder / "hostile.txt"
        path.write_text("\n".join(lines) + "\n")

    def _find_limit(self, gateway: str) -> int:
        return find_memory_bound(_MEMORY_MB, self._count_connections(gateway))


def _measure(process: processes.Process) -> tuple[int, int]:
    """Returns the peak memory in bytes and the descriptors of a process.

    Raises:
        OSError: If the process has ended.
    """
    folder = pathlib.Path(f"/proc/{process.popen.pid}")
    found = _PEAK_MEMORY.search((folder / "status").read_text())
    if found is None:
        raise ProcessLookupError(f"{process.name} has ended")
    descriptors = sum(1 for _ in (folder / "fd").iterdir())
    return int(found[1]) * 1024, descriptors
