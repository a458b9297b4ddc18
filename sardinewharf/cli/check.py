"""The command that checks a document without changing anything."""

from collections.abc import Sequence
import os

from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.outputs import output
import msgspec

from sardinewharf import configuration
from sardinewharf.cli import client
from sardinewharf.cli import tool_commands

_STYLES = {
    configuration.Severity.ERROR: "error",
    configuration.Severity.WARNING: "comment",
    configuration.Severity.INFO: "info",
}


class CheckCommand(tool_commands.ToolCommand):
    """Checks a document, and compares it with the version in force."""

    name = "check"
    description = "Checks a document; needs no daemon, and nothing takes effect"
    arguments = [argument("document", "TOML file with the new configuration")]
    options = [
        option(
            "against",
            None,
            "document or output of show --json to compare with, in place of"
            " the daemon's version in force",
            flag=False,
        ),
        option("strict", None, "fail on warnings, too"),
        option("json", None, "print the findings as JSON"),
        *tool_commands.DAEMON_OPTIONS,
    ]

    def run_command(self) -> int:
        """Prints the findings; returns 1 if the document fails the check.

        If the version to compare with cannot be read, the findings on the
        document alone are printed, and the exit code is that of wrong use.
        """
        checked = configuration.check_text(
            self._read_text(self.argument("document"))
        )
        findings = list(checked.findings)
        failure = None
        try:
            in_force = self._load_version()
        except client.ToolError as error:
            failure, in_force = error, None
        differences = ()
        if in_force is not None and checked.document is not None:
            differences = configuration.list_differences(
                in_force, checked.document
            )
            findings += differences
        self._print(findings)
        if in_force is not None and not differences:
            self._print_comparison(checked.document)
        if failure is not None:
            self.print_error(failure)
            return client.EXIT_USAGE
        if configuration.has_failed(findings, self.option("strict")):
            return client.EXIT_FAILED
        return 0

    def _load_version(self) -> configuration.Document | None:
        """Returns the document to compare with; None if none is named.

        A daemon is named by an option, or by the environment if that has an
        operator's token, too.

        Raises:
            ToolError: If it cannot be read.
        """
        name = self.option("against")
        if name is not None:
            try:
                return configuration.parse_version(self._read_text(name))
            except configuration.DocumentError as error:
                raise client.ToolError(
                    f"Cannot read {name}: {error}", client.EXIT_USAGE
                ) from error
        has_option = self.option("daemon") or self.option("token-file")
        has_environment = os.environ.get(
            "SARDINEWHARF_ADMIN"
        ) and os.environ.get("SARDINEWHARF_TOKEN")
        if not has_option and not has_environment:
            return None
        api_client = self.make_client()
        # The daemon's response is what 'show --json' prints.
        shown = msgspec.json.encode(api_client.get("configuration"))
        try:
            return configuration.parse_version(shown.decode())
        except configuration.DocumentError as error:
            raise client.ToolError(
                f"Cannot read the response of {api_client.address}: {error}",
                client.EXIT_USAGE,
            ) from error

    def _read_text(self, name: str) -> str:
        """Returns the text of a file.

        Raises:
            ToolError: If it cannot be read, or is not encoded in UTF-8.
        """
        try:
            return self.read_file(name).decode()
        except UnicodeDecodeError as error:
            raise client.ToolError(
                f"Cannot read {name}: {error}. Encode it in UTF-8.",
                client.EXIT_USAGE,
            ) from error

    def _print(self, findings: Sequence[configuration.Finding]) -> None:
        """Prints findings; their text may hold what cleo reads as a tag."""
        if self.option("json"):
            encoded = msgspec.json.format(msgspec.json.encode(findings))
            self.io.write_line(encoded.decode(), type=output.Type.RAW)
            return
        for finding in findings:
            severity = finding.severity
            self.io.write(f"<{_STYLES[severity]}>{severity.value}</>")
            text = str(finding).removeprefix(severity.value)
            self.io.write_line(text, type=output.Type.RAW)
        if not findings:
            self.line("No findings.")

    def _print_comparison(
        self, document: configuration.Document | None
    ) -> None:
        """Prints why no difference is listed, unless for a program."""
        if self.option("json"):
            return
        if document is None:
            self.line("Differences are listed once there are no errors.")
        else:
            self.line("No differences from the version in force.")
