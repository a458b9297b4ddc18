"""Plays seeds of the fault soak and keeps the logs of those that fail."""

import pathlib
import random
import shutil
import sys
import tempfile

import cleo.application
from cleo.commands import command
from cleo.helpers import option

from sardinewharf.soak import runner

_KEPT = pathlib.Path("build/soak")
_SEED_LIMIT = 1_000_000


class SoakCommand(command.Command):
    """Plays one or more seeds, one after the other."""

    name = "soak"
    description = "Real processes under faults from outside."
    options = [
        option("seed", None, "seed to play, and the first of more", flag=False),
        option("seeds", None, "how many", flag=False, default="1"),
        option("seconds", None, "time of the faults", flag=False, default="20"),
    ]

    def handle(self) -> int:
        """Runs the seeds; returns how many broke a promise."""
        given = self.option("seed")
        first = int(given) if given else random.randrange(_SEED_LIMIT)
        broken = 0
        for seed in range(first, first + int(self.option("seeds"))):
            broken += self._play(seed)
        return min(broken, 100)

    def _play(self, seed: int) -> int:
        settings = runner.SoakSettings(seed, float(self.option("seconds")))
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            folder = pathlib.Path(name)
            outcome = runner.play(settings, folder)
            self.line(
                f"seed {seed}: {len(outcome.faults)} faults,"
                f" {outcome.served} of {outcome.requests} requests served,"
                f" {len(outcome.findings)} findings"
            )
            if not outcome.findings:
                return 0
            report = [str(fault) for fault in outcome.faults]
            report += [str(finding) for finding in outcome.findings]
            (folder / "findings.txt").write_text("\n".join(report) + "\n")
            kept = _KEPT / str(seed)
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
        for finding in outcome.findings[:10]:
            self.line(f"  {finding}")
        self.line(f"  logs: {kept}")
        return 1


def main() -> None:
    """Runs the command."""
    application = cleo.application.Application("soak")
    application.add(SoakCommand())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
