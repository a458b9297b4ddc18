"""The command-line tool ``sardinewharf`` and its commands."""

import json
import pathlib
import sys

import cleo.application
from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option
import msgspec

from sardinewharf import configuration
from sardinewharf.cli import check
from sardinewharf.cli import client
from sardinewharf.cli import tool_commands
from sardinewharf.records import histories
from sardinewharf.records import lines as lines_lib

_COLOURS = {"+": "info", "-": "error", "~": "comment"}


class PlanCommand(tool_commands.OperatorCommand):
    """Shows what a document would change."""

    name = "plan"
    description = "Shows what a document would change; nothing takes effect"
    arguments = [argument("document", "TOML file with the new configuration")]
    options = [
        *tool_commands.OperatorCommand.options,
        option("out", "o", "file to save the plan to, for confirm", flag=False),
    ]

    def run_with(self, api_client: client.OperatorClient) -> int:
        """Makes a plan and prints its changes."""
        plan = api_client.post(
            "plan", self.read_file(self.argument("document"))
        )
        if self.option("out"):
            out = pathlib.Path(self.option("out"))
            out.write_text(json.dumps(plan), encoding="utf-8")
        if not self.print_json(plan):
            self._print_plan(plan)
        return 0

    def _print_plan(self, plan: dict) -> None:
        parsed = msgspec.convert(plan, configuration.Plan)
        self.line(f"Plan {parsed.plan} on version {parsed.base}:")
        for change in parsed.changes:
            colour = _COLOURS[change.action.value]
            self.line(f"  <{colour}>{change}</>")
        if not parsed.changes:
            self.line("  nothing changes")
        if parsed.cost.weights_loads:
            loads = ", ".join(parsed.cost.weights_loads)
            self.line(f"Engines load weights of: {loads}")
        if parsed.cost.stale_caches:
            stale = ", ".join(parsed.cost.stale_caches)
            self.line(f"Cached prefixes are lost of: {stale}")
        if self.option("out"):
            self.line(
                f"Confirm with: sardinewharf confirm {self.option('out')}"
            )


class ConfirmCommand(tool_commands.OperatorCommand):
    """Applies a plan."""

    name = "confirm"
    description = "Applies a plan; confirming it again has no further effect"
    arguments = [argument("plan", "file written by plan --out")]

    def run_with(self, api_client: client.OperatorClient) -> int:
        """Confirms the plan and prints the new version."""
        body = self.read_file(self.argument("plan"))
        commit = api_client.post("confirm", body)
        if not self.print_json(commit):
            self.line(f"Version {commit['version']} is in force.")
        return 0


class ShowCommand(tool_commands.OperatorCommand):
    """Shows the active configuration."""

    name = "show"
    description = "Shows the active configuration"

    def run_with(self, api_client: client.OperatorClient) -> int:
        """Prints the document."""
        result = api_client.get("configuration")
        if self.print_json(result):
            return 0
        self.line(f"Version {result['version']}")
        for kind, items in result["document"].items():
            self.line(f"{kind}: {len(items)}")
            for item in items:
                self.line(f"  {item['name']}: {json.dumps(item)}")
        return 0


class HistoryCommand(tool_commands.OperatorCommand):
    """Lists the last confirmed plans."""

    name = "history"
    description = "Lists the last confirmed plans"

    def run_with(self, api_client: client.OperatorClient) -> int:
        """Prints the history."""
        commits = api_client.get("history")
        if self.print_json(commits):
            return 0
        for commit in commits:
            self.line(
                f"{commit['version']} {commit['plan']} by"
                f" {commit['operator']}: {'; '.join(commit['changes'])}"
            )
        return 0


class StatusCommand(tool_commands.OperatorCommand):
    """Shows the status of a daemon, its peers and the endpoints."""

    name = "status"
    description = "Shows the status of a daemon, its peers and the endpoints"

    def run_with(self, api_client: client.OperatorClient) -> int:
        """Prints the status."""
        status = api_client.get("status")
        if self.print_json(status):
            return 0
        self.line(
            f"{status['daemon']} in {status['failure_domain']},"
            f" version {status['version']}"
        )
        for member in status["daemons"]:
            self.line(
                f"  daemon {member['daemon']} in {member['failure_domain']},"
                f" version {member['version']}"
            )
        for endpoint in status["endpoints"]:
            self.line(
                f"  endpoint {endpoint['endpoint']} {endpoint['kind']}"
                f" {endpoint['state']} {json.dumps(endpoint['weights'])}"
            )
        return 0


class HashKeyCommand(command.Command):
    """Prints the hash of an API key or operator token."""

    name = "hash-key"
    description = "Reads a key from standard input and prints its hash"

    def handle(self) -> int:
        """Prints the hash."""
        key = sys.stdin.readline().strip()
        if not key:
            self.line_error("Write the key to standard input.", "error")
            return client.EXIT_USAGE
        self.line(configuration.hash_api_key(key))
        return 0


class ExplainCommand(command.Command):
    """Finds out from logs how and why a request ended."""

    name = "explain"
    description = (
        "Finds in the logs of one or more VMs why a request ended as it did"
    )
    arguments = [
        argument("request", "id of the request"),
        argument("files", "log files", multiple=True),
    ]

    def handle(self) -> int:
        """Prints the log lines of the request and the cause of its end."""
        lines: list[lines_lib.Line] = []
        for name in self.argument("files"):
            try:
                with pathlib.Path(name).open(
                    encoding="utf-8", errors="replace"
                ) as file:
                    lines += histories.parse_lines(file)
            except OSError as error:
                self.line_error(f"{name}: {error.strerror}; pass a log file")
                return client.EXIT_USAGE
        history = histories.find_history(self.argument("request"), lines)
        ordered = sorted(
            {id(x): x for x in (*history.lines, *history.context)}.values(),
            key=lambda line: line.time,
        )
        for line in ordered:
            self.line(histories.format_line(line))
        self.line(f"Cause: {histories.describe_cause(history)}")
        return 0 if history.lines else 1


def main() -> None:
    """Runs the command-line tool."""
    application = cleo.application.Application("sardinewharf", "0.1.0")
    for command_class in (
        check.CheckCommand,
        PlanCommand,
        ConfirmCommand,
        ShowCommand,
        HistoryCommand,
        StatusCommand,
        HashKeyCommand,
        ExplainCommand,
    ):
        application.add(command_class())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
