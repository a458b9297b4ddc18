"""Makes servers run requests and respond as a test says."""

import asyncio
import dataclasses

# The response names the request that it answers.
OWN_ID = "own"


@dataclasses.dataclass
class Answer:
    """A response to a request that was run.

    Attributes:
        status: HTTP status.
        request_id: Id that it names; ``OWN_ID`` for its request's, None for
            none.
        is_stamped: Whether the endpoint marks it as its own.
        states_not_run: Whether it states that the request has not run.
        interim: Bytes that are sent before it.
        delay_s: Time before it, in seconds.
    """

    status: int
    request_id: str | None = OWN_ID
    is_stamped: bool = True
    states_not_run: bool = False
    interim: bytes = b""
    delay_s: float = 0.0

    def make_headers(self, server, request):
        """Returns the headers of the response to a request."""
        headers = [("keep-alive", "timeout=10")]
        if self.request_id is not None:
            named = (
                request.request_id
                if self.request_id is OWN_ID
                else self.request_id
            )
            headers.append(("x-sardinewharf-request-id", named))
        if self.is_stamped:
            stamp = ("x-sardinewharf-server-stamp", f"{server.id}.stamp")
            headers.append(stamp)
        if self.states_not_run:
            headers.append(("x-sardinewharf-not-run", "1"))
        return headers


def play(servers, *answers):
    """Makes each server give the answers in turn, the last one for ever.

    None stands for the server's usual response.
    """
    for server in servers:
        _play_at(server, list(answers))


def _play_at(server, answers):
    respond = server.respond

    async def respond_as_told(connection, request):
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer is None:
            await respond(connection, request)
            return
        await asyncio.sleep(answer.delay_s)
        if answer.interim:
            connection.write(answer.interim)
        connection.reply(answer.status, answer.make_headers(server, request))

    server.respond = respond_as_told
