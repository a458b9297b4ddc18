"""Checks that a refusal is believed only by the request that it names."""

import pytest
import pytest_asyncio

from sardinewharf import clocks
from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf.testbed import late_answers
from sardinewharf.testbed import ports


class RefusingServer:
    """Refuses its first request, and runs all others.

    The refusal names the request if it is to, and comes again before the next
    answer.
    """

    def __init__(self):
        self.server = late_answers.RepeatingServer(self._answer)
        self.ran = []
        self.is_named = True

    def _answer(self, call):
        names = {
            f"X_{name.title()}_Id": call.headers[f"x-{name}-id"]
            for name in ("request", "attempt")
            if self.is_named and f"x-{name}-id" in call.headers
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


@pytest.mark.parametrize("is_named", [True, False])
async def test_an_engine_s_earlier_refusal_is_not_believed(refusing, is_named):
    """A late refusal was taken for a later attempt's, which had run.

    The attempt was not cancelled at its engine, and ran again at another. One
    without an id was believed on a connection that another attempt had used.
    """
    refusing.is_named = is_named
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


@pytest.mark.parametrize("is_named", [True, False])
async def test_an_application_s_earlier_refusal_is_not_believed(
    refusing, is_named
):
    """The same for a call, whose caller was told that it had not run."""
    refusing.is_named = is_named
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


class RedirectingServer:
    """Runs each call and redirects it to an address.

    Args:
        target: Where it redirects to; None for itself.
        status: Status of the redirects.
    """

    def __init__(self, status, target=None):
        self.server = late_answers.RepeatingServer(self._answer)
        self.server.repeats = False
        self._status = status
        self._target = target

    def _answer(self, call):
        address = self._target or self.server.address
        return late_answers.make_answer(
            self._status,
            Location=f"http://{address}/calls/other",
            X_Request_Id=call.headers["x-request-id"],
        )


@pytest.mark.parametrize("status", [301, 302, 303, 307, 308])
@pytest.mark.parametrize("leads_nowhere", [True, False])
async def test_a_redirect_of_a_call_is_not_followed(status, leads_nowhere):
    """A call that had run was sent on to where its server redirected it.

    If nothing listened there, the caller was told that it had not run.
    """
    target = f"127.0.0.1:{ports.find_free_port()}" if leads_nowhere else None
    redirecting = RedirectingServer(status, target)
    await redirecting.server.start()
    client = endpoints.HttpApplicationServer()
    response = await client.call(
        redirecting.server.address,
        make_call(1, is_repeatable=False),
        clocks.Deadline.after(2.0),
    )
    assert response.status == status
    assert len(redirecting.server.calls) == 1
    await client.close()
    redirecting.server.stop()


@pytest.mark.parametrize("status", [429, 503, 408])
async def test_a_status_without_the_statement_is_an_answer_of_a_run(status):
    """Guards against a status that is taken for the statement itself."""
    server = late_answers.RepeatingServer(
        lambda call: late_answers.make_answer(
            status, X_Request_Id=call.headers["x-request-id"]
        )
    )
    await server.start()
    client = endpoints.HttpApplicationServer()
    response = await client.call(
        server.address,
        make_call(1, is_repeatable=False),
        clocks.Deadline.after(2.0),
    )
    assert response.status == status
    await client.close()
    server.stop()
