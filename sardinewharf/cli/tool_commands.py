"""Base classes of the commands."""

import json
import os
import pathlib

from cleo import exceptions
from cleo.commands import command
from cleo.helpers import option
from cleo.io import io as io_lib
from cleo.io.outputs import output

from sardinewharf.cli import client

DAEMON_OPTIONS = [
    option(
        "daemon",
        "d",
        "HOST:PORT of a daemon's operator API (SARDINEWHARF_ADMIN)",
        flag=False,
    ),
    option(
        "token-file",
        None,
        "file with the operator token (or SARDINEWHARF_TOKEN)",
        flag=False,
    ),
]


class ToolCommand(command.Command):
    """A command that reports failures as a message and an exit code."""

    def run(self, io: io_lib.IO) -> int:
        """Reads the arguments and runs the command.

        Wrong arguments have the exit code of wrong use; cleo has none of its
        own for them and would return 1.
        """
        try:
            return super().run(io)
        except exceptions.CleoError as error:
            io.write_error_line(str(error), type=output.Type.RAW)
            return client.EXIT_USAGE

    def handle(self) -> int:
        """Runs the command and returns its exit code."""
        try:
            return self.run_command()
        except client.ToolError as error:
            self.print_error(error)
            return error.exit_code

    def run_command(self) -> int:
        """Runs the command and returns its exit code.

        Raises:
            ToolError: If the command failed.
        """
        raise NotImplementedError

    def print_error(self, error: client.ToolError) -> None:
        """Prints the message of a failure to standard error."""
        self.line_error(str(error), "error")

    def print_json(self, result: object) -> bool:
        """Prints the result if ``--json`` is set; returns whether it is."""
        if self.option("json"):
            # Text such as <info> would be taken for a tag, and left out.
            text = json.dumps(result, indent=2)
            self.io.write_line(text, type=output.Type.RAW)
            return True
        return False

    def read_file(self, name: str) -> bytes:
        """Returns the content of a file.

        Raises:
            ToolError: If it cannot be read.
        """
        try:
            return pathlib.Path(name).read_bytes()
        except OSError as error:
            raise client.ToolError(
                f"Cannot read {name}: {error.strerror}. Pass another file.",
                client.EXIT_USAGE,
            ) from error

    def make_client(self) -> client.OperatorClient:
        """Returns a client for the daemon in options or environment.

        Raises:
            ToolError: If the daemon's address or the token is not set.
        """
        address = self.option("daemon") or os.environ.get("SARDINEWHARF_ADMIN")
        if not address:
            raise client.ToolError(
                "No daemon address is set. Use --daemon or SARDINEWHARF_ADMIN.",
                client.EXIT_USAGE,
            )
        token = os.environ.get("SARDINEWHARF_TOKEN", "")
        if self.option("token-file"):
            token = self.read_file(self.option("token-file")).decode().strip()
        if not token:
            raise client.ToolError(
                "No operator token. Use --token-file or SARDINEWHARF_TOKEN.",
                client.EXIT_USAGE,
            )
        return client.OperatorClient(address, token)


class OperatorCommand(ToolCommand):
    """A command that calls a daemon's operator API."""

    options = [
        *DAEMON_OPTIONS,
        option("json", None, "print the response as JSON"),
    ]

    def run_command(self) -> int:
        """Runs the command with a client of the daemon."""
        return self.run_with(self.make_client())

    def run_with(self, api_client: client.OperatorClient) -> int:
        """Runs the command against a daemon and returns its exit code."""
        raise NotImplementedError
