"""What a server tells an application of a caller's side of a connection."""

import dataclasses


@dataclasses.dataclass(slots=True)
class CallerSide:
    """What is known of the caller's side of a connection.

    It is in the state of each request's scope, as ``caller``.

    Attributes:
        is_half_closed: Whether the caller has closed its sending side. The
            application is woken up to see it.
        queued_requests: Number of requests that were parsed behind the one
            that is being answered; a response that closes the connection would
            leave them unanswered.
    """

    is_half_closed: bool = False
    queued_requests: int = 0
