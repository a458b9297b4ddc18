"""Checks that a refusal is believed only by the request that it names."""

import pytest
import pytest_asyncio

from sardinewharf import clocks
from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf.testbed import late_answers


class RefusingServer:
    """Refuses its first request, and runs all others.

    The refusal names the request, and comes again before the next answer.
    """

    def __init__(self):
        self.server = late_answers.RepeatingServer(self._answer)
        self.ran = []

    def _answer(self, call):
        names = {
            f"X_{name.title()}_Id": call.headers[f"x-{name}-id"]
            for name in ("request", "attempt")
            if f"x-{name}-id" in call.headers
        }
        if len(self.server.calls) == 1:
            return late_answers.make_answer(503, Not_Run="1", **names)
        self.ran.append(call.headers["x-request-id"])
        return late_answers.make_answer(200, {"receipt": 1}, **names)


@pytest_asyncio.fixture
async def refusing():
    found = RefusingServer()
    await found.server.start()
    yield found
    found.server.stop()


async def fail(call):
    """Awaits a call that fails, and returns how."""
    with pytest.raises(endpoints.EndpointError) as caught:
        await call
    return caught.value.kind


async def test_an_engine_s_earlier_refusal_is_not_believed(refusing):
    """A late refusal was taken for a later attempt's, which had run.

    The attempt was not cancelled at its engine, and ran again at another.
    """
    client = endpoints.HttpModelEngine()

    def open_stream(number):
        request = endpoints.EngineRequest(
            request=ids.RequestId(f"r{number}"),
            attempt=ids.AttemptId(f"a{number}"),
            path="/v1/completions",
            body={},
            cache_salt="s",
            blocks=(),
        )
        return client.open(
            refusing.server.address, request, clocks.Deadline.after(2.0)
        )

    assert await fail(open_stream(1)) is endpoints.FailureKind.NOT_RUN
    assert await fail(open_stream(2)) is endpoints.FailureKind.MISMATCH
    assert refusing.ran == ["r2"]
    assert refusing.server.connections == 1
    await client.close()


def make_call(number, is_repeatable):
    return endpoints.ApplicationCall(
        ids.RequestId(f"r{number}"),
        "book",
        b"b",
        "text/plain",
        "",
        is_repeatable,
    )


async def test_an_application_s_earlier_refusal_is_not_believed(refusing):
    """The same for a call, whose caller was told that it had not run."""
    client = endpoints.HttpApplicationServer()

    def send(number):
        return client.call(
            refusing.server.address,
            make_call(number, is_repeatable=True),
            clocks.Deadline.after(2.0),
        )

    assert await fail(send(1)) is endpoints.FailureKind.NOT_RUN
    assert await fail(send(2)) is endpoints.FailureKind.MISMATCH
    assert refusing.ran == ["r2"]
    await client.close()


async def test_a_call_that_may_run_once_gets_no_earlier_answer(refusing):
    """It has a connection of its own, so that all answers there are its own."""
    client = endpoints.HttpApplicationServer()

    def send(number):
        return client.call(
            refusing.server.address,
            make_call(number, is_repeatable=False),
            clocks.Deadline.after(2.0),
        )

    assert await fail(send(1)) is endpoints.FailureKind.NOT_RUN
    assert (await send(2)).status == 200
    assert refusing.server.connections == 2
    await client.close()
