"""Tests the command ``check`` as operators run it.

They guard against wrong exit codes, by which scripts decide whether to plan a
document, and against output that such scripts cannot read.
"""

import http.server
import json
import shlex
import threading

import cleo.application
from cleo.testers import application_tester
import msgspec
import pytest

from sardinewharf import configuration
from sardinewharf import testbed
from sardinewharf.cli import check
from sardinewharf.cli import program

_WARNING = """
[[models]]
name = "chat"
weights = "<info>w1"
"""
_ERROR = "[[models]]\nname = 'chat'\nengines = 0"
_TOKEN = "operator-token"


class Tool:
    """Runs commands on files in a folder.

    Attributes:
        folder: The folder; ``{folder}`` in arguments stands for it.
        output: Standard output of the last command.
        errors: Standard error of the last command.
    """

    def __init__(self, folder):
        self.folder = folder
        self.output = ""
        self.errors = ""
        application = cleo.application.Application()
        application.add(check.CheckCommand())
        application.add(program.ShowCommand())
        application.add(program.PlanCommand())
        self._tester = application_tester.ApplicationTester(application)

    def write(self, name, text):
        path = self.folder / name
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return path

    def run(self, *arguments):
        """Returns the exit code."""
        code = self._tester.execute(shlex.join(map(str, arguments)))
        self.output = self._tester.io.fetch_output()
        self.errors = self._tester.io.fetch_error()
        return code


class StandInDaemon(http.server.BaseHTTPRequestHandler):
    """Serves the active configuration to an operator with the token."""

    body = b""

    def do_GET(self):  # noqa: N802
        is_known = self.headers["Authorization"] == f"Bearer {_TOKEN}"
        body = b'{"error": {"code": "not_an_operator", "message": "no"}}'
        if is_known and self.path == "/admin/v1/configuration":
            body = self.body
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


@pytest.fixture
def tool(tmp_path, monkeypatch):
    monkeypatch.delenv("SARDINEWHARF_ADMIN", raising=False)
    monkeypatch.delenv("SARDINEWHARF_TOKEN", raising=False)
    return Tool(tmp_path)


@pytest.fixture
def daemon():
    """Returns the address of a daemon with the sample in force."""
    document = configuration.parse_document(testbed.write_sample())
    StandInDaemon.body = msgspec.json.encode(
        {"version": 3, "document": document}
    )
    with http.server.HTTPServer(("127.0.0.1", 0), StandInDaemon) as server:
        thread = threading.Thread(
            target=server.serve_forever, kwargs={"poll_interval": 0.01}
        )
        thread.start()
        yield f"127.0.0.1:{server.server_port}"
        server.shutdown()
        thread.join()


def test_a_sound_document_passes(tool):
    path = tool.write("sound.toml", testbed.write_sample())
    assert tool.run("check", path) == 0
    assert tool.output == "No findings.\n"
    assert tool.run("check", path, "--strict") == 0
    assert tool.run("check", path, "--json") == 0
    assert json.loads(tool.output) == []


def test_errors_fail_the_check(tool):
    path = tool.write("wrong.toml", _ERROR)
    assert tool.run("check", path) == 1
    assert tool.output.splitlines() == [
        "error models[0].weights: is missing. Add it.",
        "error models[0].engines: must be 1 or more. Raise it.",
        "warning organisations: no organisation has a key, so no request is"
        " admitted. Add key_hashes to one.",
    ]


def test_warnings_fail_a_strict_check_only(tool):
    path = tool.write("warning.toml", _WARNING)
    assert tool.run("check", path) == 0
    assert tool.output.startswith("warning organisations: ")
    assert tool.run("check", path, "--strict") == 1
    assert tool.output.startswith("warning organisations: ")


def test_json_is_a_list_of_objects(tool):
    path = tool.write("wrong.toml", _ERROR)
    assert tool.run("check", path, "--json") == 1
    findings = json.loads(tool.output)
    assert findings[0] == {
        "severity": "error",
        "field": "models[0].weights",
        "message": "is missing. Add it.",
    }
    assert [f["severity"] for f in findings] == ["error", "error", "warning"]


def test_text_in_angle_brackets_is_printed(tool):
    """cleo took it for a tag and left it out."""
    path = tool.write("new.toml", _WARNING)
    old = tool.write("old.toml", _WARNING.replace("<info>", "<b>"))
    for flag in (), ("--json",):
        assert tool.run("check", path, "--against", old, *flag) == 0
        assert "weights: '<b>w1' -> '<info>w1'" in tool.output


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("check",), "missing"),
        (("check", "{sound}", "--unknown"), "--unknown"),
        (("check", "{sound}", "{sound}"), "Too many arguments"),
        (("check", "{folder}/none"), "Cannot read"),
        (("check", "{folder}"), "Cannot read"),
        (("check", "{latin}"), "Encode it in UTF-8"),
        (("check", "{sound}", "--against"), "requires a value"),
        (("check", "{sound}", "--against", "{folder}/none"), "Cannot read"),
        (("check", "{sound}", "--against", "{wrong}"), "models[0].weights"),
        (("check", "{sound}", "--against", "{json}"), "show --json"),
        (("check", "{sound}", "--daemon", "127.0.0.1:1"), "No operator token"),
        (("check", "{sound}", "--token-file", "{json}"), "No daemon address"),
        (("plan",), "missing"),
    ],
)
def test_wrong_use_has_its_own_exit_code(tool, arguments, message):
    """A script could not tell a wrong file name from a wrong document."""
    names = {
        "folder": tool.folder,
        "sound": tool.write("sound.toml", testbed.write_sample()),
        "wrong": tool.write("wrong.toml", _ERROR),
        "json": tool.write("plan.json", '{"plan": "p"}'),
        "latin": tool.write("latin.toml", "# café".encode("latin-1")),
    }
    assert tool.run(*(a.format(**names) for a in arguments)) == 2
    assert message in tool.errors


def test_differences_from_a_document_are_no_failure(tool):
    old = tool.write("old.toml", testbed.write_sample())
    new = tool.write("new.toml", testbed.write_sample("w2"))
    assert tool.run("check", new, "--against", old, "--strict") == 0
    assert tool.output == (
        "info models/proof: changed: weights: 'w1' -> 'w2'\n"
    )
    assert tool.run("check", old, "--against", old) == 0
    assert "No differences from the version in force." in tool.output


def test_a_document_with_errors_is_not_compared(tool):
    """Fields that could not be read would be listed as changed."""
    old = tool.write("old.toml", testbed.write_sample())
    new = tool.write("new.toml", _ERROR)
    assert tool.run("check", new, "--against", old) == 1
    assert "info" not in tool.output
    assert "Differences are listed once there are no errors." in tool.output
    assert tool.run("check", new, "--against", old, "--json") == 1
    assert len(json.loads(tool.output)) == 3


def test_the_output_of_show_is_compared(tool, daemon, monkeypatch):
    monkeypatch.setenv("SARDINEWHARF_TOKEN", _TOKEN)
    assert tool.run("show", "--json", "--daemon", daemon) == 0
    shown = tool.write("shown.json", tool.output)
    monkeypatch.delenv("SARDINEWHARF_TOKEN")
    new = tool.write("new.toml", testbed.write_sample("w2"))
    assert tool.run("check", new, "--against", shown, "--json") == 0
    assert json.loads(tool.output) == [
        {
            "severity": "info",
            "field": "models/proof",
            "message": "changed: weights: 'w1' -> 'w2'",
        }
    ]


def test_show_prints_text_in_angle_brackets(tool, daemon, monkeypatch):
    """Output of show without it was compared as another document."""
    monkeypatch.setenv("SARDINEWHARF_TOKEN", _TOKEN)
    document = configuration.parse_document(_WARNING)
    monkeypatch.setattr(
        StandInDaemon, "body", msgspec.json.encode({"document": document})
    )
    assert tool.run("show", "--json", "--daemon", daemon) == 0
    assert configuration.parse_version(tool.output) == document


@pytest.mark.parametrize("uses_environment", [True, False])
def test_a_daemon_is_asked_for_its_version(
    tool, daemon, monkeypatch, uses_environment
):
    new = tool.write("new.toml", testbed.write_sample("w2"))
    options = ("--daemon", daemon, "--token-file", tool.write("token", _TOKEN))
    if uses_environment:
        monkeypatch.setenv("SARDINEWHARF_ADMIN", daemon)
        monkeypatch.setenv("SARDINEWHARF_TOKEN", _TOKEN)
        options = ()
    assert tool.run("check", new, *options) == 0
    assert tool.output == (
        "info models/proof: changed: weights: 'w1' -> 'w2'\n"
    )


def test_a_file_is_compared_in_place_of_the_daemon(tool, daemon, monkeypatch):
    monkeypatch.setenv("SARDINEWHARF_ADMIN", daemon)
    monkeypatch.setenv("SARDINEWHARF_TOKEN", _TOKEN)
    new = tool.write("new.toml", testbed.write_sample("w2"))
    assert tool.run("check", new, "--against", new) == 0
    assert "No differences" in tool.output


def test_an_address_without_a_token_in_the_environment_is_no_daemon(
    tool, monkeypatch
):
    """The check must work where only the address is set for all users."""
    monkeypatch.setenv("SARDINEWHARF_ADMIN", "127.0.0.1:1")
    path = tool.write("sound.toml", testbed.write_sample())
    assert tool.run("check", path) == 0
    assert (tool.output, tool.errors) == ("No findings.\n", "")


@pytest.mark.parametrize("is_wrong_token", [True, False])
def test_findings_are_printed_if_the_daemon_does_not_answer(
    tool, daemon, is_wrong_token
):
    """The daemon's failure must not hide what is known without it."""
    token = tool.write("token", "other" if is_wrong_token else _TOKEN)
    # Nothing listens on port 1.
    address = daemon if is_wrong_token else "127.0.0.1:1"
    path = tool.write("wrong.toml", _ERROR)
    options = ("--daemon", address, "--token-file", token)
    assert tool.run("check", path, "--json", *options) == 2
    assert len(json.loads(tool.output)) == 3
    assert tool.errors


def test_a_response_without_a_document_is_no_version(tool, daemon, monkeypatch):
    monkeypatch.setattr(StandInDaemon, "body", b"[1]")
    path = tool.write("sound.toml", testbed.write_sample())
    token = tool.write("token", _TOKEN)
    options = ("--daemon", daemon, "--token-file", token)
    assert tool.run("check", path, *options) == 2
    assert "Cannot read the response" in tool.errors
