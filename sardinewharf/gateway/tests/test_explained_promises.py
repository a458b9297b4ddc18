"""Runs ``sardinewharf explain`` on a gateway's log of promised refusals."""

import os

from cleo.testers import command_tester
import pytest

from sardinewharf.cli import program
from sardinewharf.gateway.tests import scripts


@pytest.fixture
def explain(harness, tmp_path):
    """Returns a function that prints the command's output on a request."""
    path = tmp_path / "log"
    with path.open("wb") as file:
        os.dup2(file.fileno(), harness._null)

    def run(request_id):
        tester = command_tester.CommandTester(program.ExplainCommand())
        assert tester.execute(f"{request_id} {path}") == 0
        output = tester.io.fetch_output()
        print(output)
        return output.rpartition("Cause: ")[2]

    return run


async def test_a_disbelieved_refusal_is_explained(harness, explain):
    """Logs did not tell whose response had been taken for the request's."""
    answer = scripts.Answer(503, request_id="earlier", states_not_run=True)
    scripts.play(harness.servers, answer)
    response = await harness.send_request(
        "/book/1", body=b"x", x_sardinewharf_request_id="r-a"
    )
    assert response.status == 502
    cause = explain("r-a")
    assert "the response to another request (earlier; status 503" in cause


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_a_status_of_a_run_is_explained(harness, explain, status):
    """Logs did not tell a status of a run from a true refusal."""
    scripts.play(harness.servers, scripts.Answer(status))
    await harness.send_request(
        "/book/1", body=b"x", x_sardinewharf_request_id="r-b"
    )
    cause = explain("r-b")
    assert "did not state that" in cause


async def test_a_true_refusal_is_explained(harness, explain):
    """Logs did not tell a refusal that each endpoint stated from others."""
    for server in harness.servers:
        server.faults.refuse = True
    response = await harness.send_request(
        "/book/1", body=b"x", x_sardinewharf_request_id="r-c"
    )
    assert response.status == 503
    cause = explain("r-c")
    assert "Each endpoint that it was sent to stated" in cause
    assert cause.count("was not run, as s") == 3
