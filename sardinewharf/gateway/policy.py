"""Decides whether and when requests may be sent, and makes refusals.

See Also:
    ``dispatcher.Dispatcher``, which sends them.
"""

import asyncio
import random

from sardinewharf import balancing
from sardinewharf import clocks
from sardinewharf.gateway import dependencies as dependencies_lib
from sardinewharf.gateway import refusals
from sardinewharf.gateway import requests
from sardinewharf.gateway import retry_times

# Pause before a lost stream is sent to an endpoint that had no room for it, in
# seconds, drawn from a range: streams that were lost together do not come back
# together. It doubles each time.
_MIN_RETURN_S = 0.15
_MAX_RETURN_S = 0.25


class SendPolicy:
    """Decides whether and when requests may be sent to endpoints.

    Args:
        dependencies: The collaborators of the dispatcher.
    """

    def __init__(self, dependencies: dependencies_lib.DispatcherDependencies):
        self._dependencies = dependencies

    def check_may_send(self, call: requests.Call) -> None:
        """Checks that a request may be sent now.

        Raises:
            RefusedError: If it has no time left, it may have run and must not
                be repeated, its caller has left, it is quarantined, or it is
                not admitted.
        """
        self.check_has_time(call)
        if not call.may_run_again:
            raise self.make_refusal(call, refusals.Reason.LOST)
        if call.is_withdrawn:
            raise self.make_refusal(call, refusals.Reason.HALF_CLOSED)
        self.check_not_quarantined(call)
        if call.may_have_run:
            return
        self._dependencies.admission_controller.admit(
            call.request.headers, call.request.path
        )

    def check_not_quarantined(self, call: requests.Call) -> None:
        """Checks that a request has not crashed too many endpoints.

        Raises:
            RefusedError: If it has.
        """
        self._dependencies.crashes.check_registry()
        if not self._dependencies.quarantine.may_run(call):
            call.last_failure_detail = self._dependencies.quarantine.explain(
                call.request
            )
            raise self.make_refusal(call, refusals.Reason.QUARANTINED)

    def check_has_time(self, call: requests.Call) -> None:
        """Checks that a request that is sent now can end in time.

        Raises:
            RefusedError: If its deadline has passed, or the gateway is going to
                exit before.
        """
        if call.deadline.is_past():
            raise self.make_refusal(call, refusals.Reason.NO_TIME)
        if not self._dependencies.shutdown.can_finish(call):
            raise self._dependencies.shutdown.refuse(call)

    def check_meets_deadline(
        self, call: requests.Call, target: requests.Target
    ) -> None:
        """Checks that a prompt can be prefilled before the deadline.

        Raises:
            RefusedError: If even the chosen endpoint would be too late.
        """
        left = call.deadline.remaining()
        if not balancing.misses_deadline(
            target.prefill_tokens,
            target.prefill_finish_s * 1000,
            left * 1000,
            self._dependencies.estimators.find(call.service).read().split,
        ):
            return
        call.last_failure_detail = (
            f"the shortest queue takes {target.prefill_finish_s:.1f} s,"
            f" {left:.1f} s are left"
        )
        raise self.make_refusal(call, refusals.Reason.BUSY)

    def charge_retry_budget(self, call: requests.Call) -> bool:
        """Returns whether the service's retry budget allows sending.

        A first attempt adds to the budget, and each further one takes from it.
        One that returns to a full endpoint leaves half of it for others.
        """
        now = clocks.read_monotonic()
        budget = self._dependencies.budgets.find(call.service)
        if call.returns and not budget.has_spare(now):
            return False
        if call.sends:
            return budget.take(now)
        budget.count_request(now)
        return True

    async def wait_for_room(
        self, call: requests.Call, limit: clocks.Deadline
    ) -> bool:
        """Waits until a stream that was lost may return to a full endpoint.

        One endpoint is tried again each time, and only while half of the retry
        budget is left for others.

        Args:
            call: The request.
            limit: When the stream must go on.

        Returns:
            Whether it may be sent again. If not, no endpoint could take it in
            time.
        """
        chance = self._dependencies.availability.find_next_chance(call)
        if chance is None or not self._may_return(call):
            return False
        endpoint_id, usable_from = chance
        pause_s = random.uniform(_MIN_RETURN_S, _MAX_RETURN_S) * 2**call.returns
        returns_at = max(clocks.Deadline.after(pause_s), usable_from)
        if returns_at >= limit.earlier(call.deadline):
            return False
        await asyncio.sleep(returns_at.remaining())
        call.returns += 1
        call.excluded |= call.full
        call.excluded.discard(endpoint_id)
        return self._may_return(call)

    def _may_return(self, call: requests.Call) -> bool:
        """Returns whether a lost stream may return to a full endpoint."""
        budget = self._dependencies.budgets.find(call.service)
        return (
            not call.is_withdrawn
            and budget.has_spare(clocks.read_monotonic())
            and self._dependencies.shutdown.can_finish(call)
        )

    def make_refusal(
        self, call: requests.Call, reason: refusals.Reason
    ) -> refusals.RefusedError:
        """Returns the exception that refuses a request.

        If the request may have run, the reason becomes ``LOST`` or
        ``TIMED_OUT``, since ``reason`` would state that it has not run.
        """
        detail = call.last_failure_detail or reason.value
        if not call.may_have_run:
            return refusals.refuse(
                reason, detail, self._choose_retry_after(call, reason)
            )
        is_late = call.deadline.is_past()
        final_reason = (
            refusals.Reason.TIMED_OUT if is_late else refusals.Reason.LOST
        )
        return refusals.refuse(final_reason, detail)

    def _choose_retry_after(
        self, call: requests.Call, reason: refusals.Reason
    ) -> float:
        """Returns the Retry-After of a request that has not run."""
        if reason is refusals.Reason.QUARANTINED:
            return self._dependencies.quarantine.choose_retry_after(
                call.request
            )
        if reason is not refusals.Reason.NO_ENDPOINT:
            return retry_times.choose_soon()
        return retry_times.choose_for_waits(
            self._dependencies.availability.list_waits(call.service)
        )
