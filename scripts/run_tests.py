"""Runs the formatter check, the linter, pytest and behave.

A failure of a test named in KNOWN-RED.txt is printed, but neither counted as
failed nor as passed.
"""

import pathlib
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_BIN = pathlib.Path(sys.executable).parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"


def main() -> None:
    """Runs all checks and tests and prints ``N passed, N failed``."""
    checks_pass = _run_checks()
    passed: list[str] = []
    failed: dict[str, str] = {}
    with tempfile.TemporaryDirectory() as folder:
        reports = pathlib.Path(folder)
        _run_pytest(reports / "pytest.xml")
        _run_behave(reports)
        for report in sorted(reports.glob("*.xml")):
            _read_report(report, passed, failed)
    known = _read_known_red()
    for name, reason in failed.items():
        verdict = "known red" if name in known else "FAILED"
        print(f"{verdict}: {name}\n{reason}")
    failed = [name for name in failed if name not in known]
    if not checks_pass:
        failed.append("formatter and linter")
    print(f"{len(passed)} passed, {len(failed)} failed")
    sys.exit(1 if failed or not passed else 0)


def _run_checks() -> bool:
    commands = (["format", "--check", "."], ["check", "."])
    codes = [
        subprocess.run([_BIN / "ruff", *command], cwd=_ROOT).returncode
        for command in commands
    ]
    return not any(codes)


def _run_pytest(report: pathlib.Path) -> None:
    command = [sys.executable, "-m", "pytest", f"--junitxml={report}"]
    subprocess.run(command, cwd=_ROOT)


def _run_behave(reports: pathlib.Path) -> None:
    command = [sys.executable, "-m", "behave", "--junit", "--no-capture"]
    command += ["--format=progress", f"--junit-directory={reports}", "features"]
    subprocess.run(command, cwd=_ROOT)


def _read_report(
    report: pathlib.Path, passed: list[str], failed: dict[str, str]
) -> None:
    for case in ElementTree.parse(report).iter("testcase"):
        name = f"{case.get('classname')}: {case.get('name')}"
        # A skipped test counts as failed, so that none is left out unnoticed.
        bad = [case.find(tag) for tag in _BAD_TAGS]
        found = next((tag for tag in bad if tag is not None), None)
        if found is None:
            passed.append(name)
        else:
            failed[name] = _read_reason(found)


_BAD_TAGS = ("failure", "error", "skipped")
_REASON_CHARACTERS = 1500


def _read_reason(tag: ElementTree.Element) -> str:
    parts = (tag.get("message"), tag.text)
    text = "\n".join(part.strip() for part in parts if part)
    return text[:_REASON_CHARACTERS]


def _read_known_red() -> set[str]:
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text(encoding="utf-8").splitlines()
    prefix = "test: "
    return {
        line.removeprefix(prefix) for line in lines if line.startswith(prefix)
    }


if __name__ == "__main__":
    main()
