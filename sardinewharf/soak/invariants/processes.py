"""Checks that processes keep running and stay small."""

from sardinewharf.soak.invariants import checks

_MAX_MEMORY_BYTES = 128 << 20


class ProcessCheck(checks.Check):
    """Checks all processes."""

    def check(self) -> None:
        """Checks exits, and the memory of gateways."""
        for name in self.record.deployment.list_unexpected_exits():
            code = self.record.deployment.processes[name].popen.returncode
            self.add_finding(
                checks.Invariant.PROCESS, f"{name} ended with {code}"
            )
        for name in self.record.deployment.gateways:
            process = self.record.deployment.processes.get(name)
            if process is None or not process.is_live:
                continue
            if process.read_memory() > _MAX_MEMORY_BYTES:
                self.add_finding(
                    checks.Invariant.PROCESS, f"{name} uses too much memory"
                )
