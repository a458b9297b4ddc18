"""Decides which requests a gateway that shuts down still takes and sends.

A request is sent to an endpoint only if it can end in the time that is left:
its own deadline comes before, or requests of its route usually take no longer.
A refused request has not run, and another gateway serves it at once. One that
is ended may have run, so that its caller may not be able to repeat it.

Three points in time divide the grace period. Connections that the load balancer
still makes are served until ``reject_from``. Requests that still run at
``answer_by`` are answered by the gateway itself. The rest of the time, until
``exit_by``, is for delivering what was written.
"""

from collections.abc import Callable
import dataclasses
import random

from sardinewharf import clocks
from sardinewharf.gateway import durations as durations_lib
from sardinewharf.gateway import refusals
from sardinewharf.gateway import requests

# A gateway whose readiness probe fails gets no new connections from the
# platform's load balancer after this time, in seconds.
_READINESS_PROPAGATION_S = 2.4
# The process ends this long before the platform would kill it, in seconds; at
# most this share of the grace period.
_KILL_MARGIN_S = 0.3
_MAX_KILL_MARGIN_SHARE = 0.06
# Time to deliver the last responses, in seconds; at most this share of the
# grace period.
_DELIVERY_S = 0.4
_MAX_DELIVERY_SHARE = 0.08
# Retry-After of refusals, in seconds, beyond the time until there is a gateway:
# drawn from a range, so that callers do not come back together.
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 0.3
# A time that has always passed.
_NEVER = clocks.Deadline(0.0)
_CUT_DETAIL = (
    "this gateway shuts down, and no endpoint answered before; the request may"
    " have run"
)


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When a gateway that was told to stop does what.

    Attributes:
        reject_from: From then on, new requests are refused.
        answer_by: When requests that still run are answered and ended.
        exit_by: When the process ends.

    Examples:
        >>> schedule = ShutdownSchedule.plan(10.0, now=100.0)
        >>> schedule.reject_from.at, schedule.answer_by.at, schedule.exit_by.at
        (102.4, 109.3, 109.7)
    """

    reject_from: clocks.Deadline
    answer_by: clocks.Deadline
    exit_by: clocks.Deadline

    @classmethod
    def plan(
        cls, grace_s: float, now: float | None = None
    ) -> "ShutdownSchedule":
        """Returns the schedule of a gateway that is told to stop now.

        Args:
            grace_s: Seconds until the platform kills the process.
            now: The time of the signal, on the monotonic clock.
        """
        signalled = clocks.read_monotonic() if now is None else now
        kill_margin_s = min(_KILL_MARGIN_S, grace_s * _MAX_KILL_MARGIN_SHARE)
        delivery_s = min(_DELIVERY_S, grace_s * _MAX_DELIVERY_SHARE)
        exit_by = clocks.Deadline(signalled + grace_s - kill_margin_s)
        answer_by = clocks.Deadline(exit_by.at - delivery_s)
        reject_from = clocks.Deadline(signalled + _READINESS_PROPAGATION_S)
        return cls(reject_from.earlier(answer_by), answer_by, exit_by)


class Shutdown:
    """Knows whether this gateway shuts down, and what can still be finished.

    Args:
        has_other_gateway: Returns whether another gateway takes requests.

    Attributes:
        schedule: The schedule; None until the gateway is told to stop.
        durations: How long requests take.
    """

    def __init__(self, has_other_gateway: Callable[[], bool]):
        self._has_other_gateway = has_other_gateway
        self.schedule: ShutdownSchedule | None = None
        self.durations = durations_lib.DurationTable()

    @property
    def has_begun(self) -> bool:
        """Whether the gateway was told to stop."""
        return self.schedule is not None

    def begin(self, grace_s: float) -> None:
        """Plans the shutdown; a further signal gives no further time."""
        if self.schedule is None:
            self.schedule = ShutdownSchedule.plan(grace_s)

    def find_latest_start(self, call: requests.Call) -> clocks.Deadline:
        """Returns until when a request may be sent, so that it ends in time.

        A request whose own deadline comes before the end may be sent until
        then. Any other is expected to take as long as others of its route, and
        if that is not known it may not be sent.
        """
        schedule = self.schedule
        if schedule is None or call.deadline <= schedule.answer_by:
            return call.deadline
        expected_s = self.durations.estimate(call.admitted.route.name)
        if expected_s is None:
            return _NEVER
        if call.first_byte_at is not None:
            # Of a stream that is resumed, a part has been forwarded.
            expected_s -= clocks.read_monotonic() - call.first_byte_at
        return clocks.Deadline(schedule.answer_by.at - max(0.0, expected_s))

    def can_finish(self, call: requests.Call) -> bool:
        """Returns whether a request that is sent now can end in time."""
        return not self.has_begun or not self.find_latest_start(call).is_past()

    def refuse(
        self, call: requests.Call | None = None
    ) -> refusals.RefusedError:
        """Returns the exception that refuses a request.

        Args:
            call: The request; None if it was not admitted.
        """
        if call is not None and call.may_have_run:
            return refusals.refuse(refusals.Reason.LOST, _CUT_DETAIL)
        return refusals.refuse(
            refusals.Reason.LEAVING,
            "this gateway shuts down; connect anew",
            self._choose_retry_after(),
        )

    def _choose_retry_after(self) -> float | None:
        """Returns when a refused caller may return, in seconds.

        Another gateway is ready at once. If there is none, requests can be
        served again after this gateway has exited.
        """
        delay_s = random.uniform(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S)
        if self._has_other_gateway() or self.schedule is None:
            return delay_s
        return self.schedule.exit_by.remaining() + delay_s
