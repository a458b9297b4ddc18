"""Defines the faults that test doubles of servers inject into responses.

See Also:
    ``platform_servers.PlatformServer``, which injects them.
"""

import dataclasses
import enum

from sardinewharf.standins import endless


class RefusalPlace(enum.Enum):
    """Where an earlier refusal is sent once more on a connection in use."""

    INSTEAD = "instead"
    BEFORE = "before"
    BEHIND = "behind"
    LATER = "later"
    INTERIM = "interim"
    PIECES = "pieces"


@dataclasses.dataclass
class StaleRefusal:
    """Refuses now and then, and repeats the refusal to requests that it runs.

    Attributes:
        status: Status of the refusals.
        place: Whether the repeated refusal comes instead of the true response
            to a later request, before it, right behind it in the same segment,
            a little later, before it behind an interim response, or in two
            pieces, of which the second comes with the next request.
        is_named: Whether it bears the id of the earlier request.
    """

    status: int = 503
    place: RefusalPlace = RefusalPlace.BEFORE
    is_named: bool = True


@dataclasses.dataclass
class FailedRun:
    """Responds with an error to some of the requests that are executed.

    Attributes:
        status: Status of the response, without a header that says that the
            request was not executed.
        every: Fails one in so many requests of each connection.
    """

    status: int = 503
    every: int = 1

    def find_status(self, handled: int) -> int:
        """Returns the status for a request, or 0 if it does not fail.

        Args:
            handled: Number of earlier requests on its connection.

        Examples:
            >>> [FailedRun(429, every=2).find_status(n) for n in range(4)]
            [0, 429, 0, 429]
        """
        return self.status if (handled + 1) % self.every == 0 else 0


@dataclasses.dataclass
class Backoff:
    """Refuses some requests, and asks for a pause.

    Attributes:
        retry_after: Value of the header ``Retry-After``.
        every: Refuses one in so many requests.
    """

    retry_after: str = "1"
    every: int = 1


class Framing(enum.Enum):
    """How an error response ends."""

    LENGTH = "length"
    CLOSE = "close"
    CHUNK_SIZE = "chunk_size"
    STATUS_LINE = "status_line"


@dataclasses.dataclass
class ResumeError:
    """Responds to the resumption of a stream with something else.

    Attributes:
        status: Status of the response; 200 is not an event stream.
        framing: Whether the body has a length, ends with the connection, is
            cut within the size of a chunk, or the response within its head
            after the status line.
    """

    status: int = 500
    framing: Framing = Framing.LENGTH


class HeadEnd(enum.Enum):
    """How a response ends that has no body or not even a whole head."""

    FIN = "fin"
    RESET = "reset"
    NO_BODY = "no_body"


@dataclasses.dataclass
class Faults:
    """Faults to inject into a server.

    Attributes:
        refuse: Responds with 503 and a header that says that the request was
            not executed.
        backoff: Refuses some requests, and asks for a pause.
        leaving: Says in all responses that the server leaves.
        moved: Responds with 421, as if another server had the address.
        status: Executes the request and responds with this status; 0 for 200.
        failed_run: The same for some requests.
        reset: Executes the request and resets the connection.
        hang: Executes the request and never responds.
        cut_after: Aborts a stream within the event after this one; 0 for
            never.
        trickle: Begins a stream, then sends a byte now and then for ever.
        short_body: Closes the connection before the end of the body.
        extra: Sends a second response after the first one.
        garbage: Executes the request and sends bytes that are not HTTP.
        wrong_id: Responds with the id of another request.
        no_id: Responds without the id of the request.
        is_unsigned: Responds without the header that identifies the server.
        unframed: Sends no content length and closes the connection at the
            end of the body.
        stale_refusal: Repeats earlier refusals on connections in use.
        cut_head: Executes the request and ends the connection after a random
            byte of the head, or after a head that announces a body.
        resume_error: Responds to requests that resume a stream with an error.
        endless_part: Part of its responses that does not end; None for none.
    """

    refuse: bool = False
    backoff: Backoff | None = None
    leaving: bool = False
    moved: bool = False
    status: int = 0
    failed_run: FailedRun | None = None
    reset: bool = False
    hang: bool = False
    cut_after: int = 0
    trickle: bool = False
    short_body: bool = False
    extra: bool = False
    garbage: bool = False
    wrong_id: bool = False
    no_id: bool = False
    is_unsigned: bool = False
    unframed: bool = False
    stale_refusal: StaleRefusal | None = None
    cut_head: HeadEnd | None = None
    resume_error: ResumeError | None = None
    endless_part: endless.EndlessPart | None = None
