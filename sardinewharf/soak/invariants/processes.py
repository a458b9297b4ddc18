"""Checks that processes keep running and stay small."""

import re

from sardinewharf.soak.invariants import checks

# Logged when a background task ends by an error.
_FAILED_TASK = re.compile(r"Task (\S+) failed")
_MAX_MEMORY_BYTES = 128 << 20


class ProcessCheck(checks.Check):
    """Checks all processes."""

    def check(self) -> None:
        """Checks exits, and the tasks and memory of gateways."""
        for name in self.record.deployment.list_unexpected_exits():
            code = self.record.deployment.processes[name].popen.returncode
            self.add_finding(
                checks.Invariant.PROCESS, f"{name} ended with {code}"
            )
        for name in self.record.deployment.gateways:
            self._check_tasks(name)
            process = self.record.deployment.processes.get(name)
            if process is None or not process.is_live:
                continue
            if process.read_memory() > _MAX_MEMORY_BYTES:
                self.add_finding(
                    checks.Invariant.PROCESS, f"{name} uses too much memory"
                )

    def _check_tasks(self, gateway: str) -> None:
        """Checks a gateway's log for background tasks that ended."""
        log = self.record.deployment.find_log(gateway)
        if not log.exists():
            return
        for task in set(_FAILED_TASK.findall(log.read_text(errors="replace"))):
            self.add_finding(
                checks.Invariant.PROCESS, f"task {task} of {gateway} failed"
            )
