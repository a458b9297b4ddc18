"""Runs seeds of the soak test and keeps the logs of those that fail."""

import pathlib
import random
import shutil
import sys
import tempfile

import cleo.application
from cleo.commands import command
from cleo.helpers import option

from sardinewharf.soak import deployment
from sardinewharf.soak import families
from sardinewharf.soak import runner

_LOG_FOLDER = pathlib.Path("build/soak")
_SEED_LIMIT = 1_000_000
# Further findings are only in the file findings.txt of the log folder.
_MAX_PRINTED = 10
_EXIT_VIOLATION = 1
_EXIT_USAGE = 2


class SoakCommand(command.Command):
    """Runs one or more seeds, one after the other."""

    name = "soak"
    description = "Runs real processes under injected faults."
    options = [
        option("seed", None, "first seed; random by default", flag=False),
        option(
            "seeds",
            None,
            "number of consecutive seeds",
            flag=False,
            default="1",
        ),
        option(
            "seconds",
            None,
            "duration of fault injection",
            flag=False,
            default="20",
        ),
        option(
            "family",
            None,
            "only family of faults to inject; all faults by default",
            flag=False,
            default="",
        ),
        option(
            "gateways",
            None,
            "number of gateways; of more than eight, some follow others",
            flag=False,
            default=str(deployment.DeploymentSize().gateways),
        ),
    ]

    def handle(self) -> int:
        """Runs the seeds and returns the exit code."""
        seed_option = self.option("seed")
        try:
            first = (
                int(seed_option)
                if seed_option
                else random.randrange(_SEED_LIMIT)
            )
            seeds = range(first, first + int(self.option("seeds")))
            seconds = float(self.option("seconds"))
            family = self.option("family")
            known = ["", *(row.name for row in families.FAMILIES)]
            if family not in known:
                raise ValueError(f"--family must be one of {known[1:]}")
            size = deployment.DeploymentSize(int(self.option("gateways")))
        except ValueError as error:
            self.line_error(
                f"{error}; --seed, --seeds, --seconds and --gateways must be"
                " numbers"
            )
            return _EXIT_USAGE
        failed_seeds = [
            seed
            for seed in seeds
            if not self._holds_invariants(
                runner.SoakSettings(seed, seconds, family, size)
            )
        ]
        return _EXIT_VIOLATION if failed_seeds else 0

    def _holds_invariants(self, settings: runner.SoakSettings) -> bool:
        """Runs a seed, and keeps its logs if an invariant was violated."""
        seed = settings.seed
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            folder = pathlib.Path(name)
            outcome = runner.run_soak(settings, folder)
            self.line(
                f"seed {seed}: {len(outcome.faults)} faults,"
                f" {outcome.served} of {outcome.requests} requests served,"
                f" {outcome.unanswered} without a byte, {outcome.cut} cut,"
                f" {len(outcome.findings)} findings"
            )
            if not outcome.findings:
                return True
            report = [str(fault) for fault in outcome.faults]
            report += [str(finding) for finding in outcome.findings]
            (folder / "findings.txt").write_text("\n".join(report) + "\n")
            kept = _LOG_FOLDER / str(seed)
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
        for finding in outcome.findings[:_MAX_PRINTED]:
            self.line(f"  {finding}")
        self.line(f"  logs: {kept}")
        return False


def main() -> None:
    """Runs the command."""
    application = cleo.application.Application("soak")
    application.add(SoakCommand())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
