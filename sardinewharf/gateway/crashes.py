"""Detects endpoints that crashed while they ran requests.

A lost connection alone proves no crash: endpoints that live reset connections
too, and so do links. What it takes beside it is that the incarnation

- accepts no connection right afterwards, for which a probe is made;
- is no longer registered, though it did not announce that it leaves;
- has been replaced, under its id or at its address;
- was found to have crashed by another gateway.

Whichever comes first counts, and all requests that were lost there are suspect.
None of it needs any other request, and it holds however soon the endpoint is
back. An endpoint that announces after the loss that it leaves has not crashed.

See Also:
    ``crash_probes.CrashProber``, which makes the probe.
    ``limits.SuspectTable``, which decides what the crashes mean.
"""

import collections
import dataclasses
import enum

from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf import logs
from sardinewharf import records
from sardinewharf.gateway import settings as settings_lib

# Time after a loss within which a failure to connect proves a crash, and within
# which a crash ends all connections, in seconds.
_CRASH_WINDOW_S = 1.5
# Share of the time that a leaving endpoint serves on after its registration was
# removed. A loss sooner than that is no planned exit.
_EXIT_SHARE = 0.5
# Time for which a crash is remembered, for requests whose loss is noticed late,
# in seconds.
_CRASH_TTL_S = 30.0
# Lost connections that are kept until it shows whether the endpoint crashed.
_MAX_LOSSES = 10_000
_log = logs.get_logger("crashes")


class Proof(enum.Enum):
    """What proves a crash, beside the lost connection."""

    UNREACHABLE = "unreachable"
    REMOVED = "removed"
    REPLACED = "replaced"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A connection that ended before, or with, the response to a request.

    Attributes:
        request: Id of the request.
        causes: What of the request may have crashed the endpoint.
        endpoint: The endpoint that ran it.
        sent_at: When the request was sent, on the monotonic clock.
        at: When the connection ended, on the monotonic clock.
        is_complete: Whether that may be the end of a complete response, which
            had neither a length nor chunks.
    """

    request: ids.RequestId
    causes: tuple[limits.Cause, ...]
    endpoint: fleet.Endpoint
    sent_at: float
    at: float
    is_complete: bool = False

    @property
    def fingerprint(self) -> bytes:
        """Fingerprint of the request."""
        return self.causes[0].fingerprint

    @property
    def incarnation(self) -> str:
        """The incarnation that ran the request."""
        return self.endpoint.incarnation


class CrashDetector:
    """Lost connections, and the crashes that they turn out to be.

    Args:
        settings: Settings of the gateway.
        registry: The registered endpoints.
        notices: What endpoints stated about further requests.
        suspects: Receives the crashes.
        log: Receives a record of each crash.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        registry: fleet.Registry,
        notices: fleet.NoticeTable,
        suspects: limits.SuspectTable,
        log: records.RecordSink,
    ):
        self._registry = registry
        self._notices = notices
        self._suspects = suspects
        self._log = log
        # A crashed endpoint's registration has gone by then.
        self._proof_window_s = (
            settings.registration_ttl_ms + settings.guarantees.recovery_ms
        ) / 1000
        self._exit_s = (
            settings.guarantees.endpoint_drain_ms / 1000 * _EXIT_SHARE
        )
        self._losses: dict[str, list[Loss]] = {}
        self._unreachable_at: dict[str, float] = {}
        # Time of the crash and its proof, by incarnation.
        self._crashed: dict[str, tuple[float, Proof]] = {}
        # The registry's count of changes when it was last checked.
        self._checked_changes = -1

    def record_loss(self, loss: Loss) -> bool:
        """Records a connection that may have ended by a crash.

        Returns:
            Whether it is open if the endpoint crashed.
        """
        incarnation = loss.incarnation
        if incarnation in self._crashed:
            crashed_at, proof = self._crashed[incarnation]
            # A request that was sent later cannot have caused the crash.
            if loss.sent_at <= crashed_at:
                self._record_crash(loss, proof, runs=1)
            return False
        if self._was_leaving(loss) or self._is_full(loss.at):
            return False
        self._losses.setdefault(incarnation, []).append(loss)
        unreachable_at = self._unreachable_at.get(incarnation, float("-inf"))
        if loss.sent_at <= unreachable_at <= loss.at:
            self._confirm(incarnation, Proof.UNREACHABLE)
            return False
        self._check(incarnation)
        return incarnation in self._losses

    def record_unreachable(self, incarnation: str, now: float) -> None:
        """Records a failure to connect to an endpoint."""
        self._unreachable_at[incarnation] = now
        losses = self._losses.get(incarnation, ())
        if any(now - loss.at <= _CRASH_WINDOW_S for loss in losses):
            self._confirm(incarnation, Proof.UNREACHABLE)

    def record_peer_crash(self, incarnation: str) -> None:
        """Records that another gateway found a crash."""
        if incarnation in self._losses:
            self._confirm(incarnation, Proof.PEER)

    def check_registry(self) -> None:
        """Checks whether endpoints whose connections were lost have gone."""
        if self._registry.changes == self._checked_changes:
            return
        self._checked_changes = self._registry.changes
        for incarnation in list(self._losses):
            self._check(incarnation)

    def forget_old(self, now: float) -> None:
        """Drops losses that were not confirmed as crashes in time."""
        for incarnation, losses in list(self._losses.items()):
            kept = [
                loss for loss in losses if now - loss.at <= self._proof_window_s
            ]
            self._clear_complete(losses[: len(losses) - len(kept)])
            if kept:
                self._losses[incarnation] = kept
            else:
                del self._losses[incarnation]
        self._unreachable_at = {
            incarnation: at
            for incarnation, at in self._unreachable_at.items()
            if now - at <= _CRASH_WINDOW_S
        }
        self._crashed = {
            incarnation: (at, proof)
            for incarnation, (at, proof) in self._crashed.items()
            if now - at <= _CRASH_TTL_S
        }

    def _clear_complete(self, losses: list[Loss]) -> None:
        """Records the completions among losses that proved to be no crash."""
        for loss in losses:
            if not loss.is_complete:
                continue
            for cause in loss.causes:
                self._suspects.clear(cause.fingerprint, loss.at)

    def _is_full(self, now: float) -> bool:
        """Returns whether no further loss is kept, and logs that."""
        if self._count_losses() < _MAX_LOSSES:
            return False
        self.forget_old(now)
        if self._count_losses() < _MAX_LOSSES:
            return False
        _log.warning("{} connections were lost at once.", _MAX_LOSSES)
        return True

    def _count_losses(self) -> int:
        return sum(len(losses) for losses in self._losses.values())

    def _was_leaving(self, loss: Loss) -> bool:
        """Returns whether the connection may have ended by a planned exit."""
        incarnation = loss.incarnation
        if self._notices.departures.is_leaving(incarnation):
            return True
        current = self._registry.find(loss.endpoint.id)
        if current is not None and current.incarnation == incarnation:
            return current.state is fleet.EndpointState.LEAVING
        departure = self._registry.find_departure(incarnation)
        if departure is None or departure.was_leaving:
            return True
        return loss.at - departure.at > self._exit_s

    def _check(self, incarnation: str) -> None:
        """Confirms or drops an incarnation's losses by its registration."""
        loss = self._losses[incarnation][0]
        current = self._registry.find(loss.endpoint.id)
        if current is not None and current.incarnation == incarnation:
            if current.state is fleet.EndpointState.LEAVING:
                del self._losses[incarnation]
            elif self._has_successor(loss.endpoint):
                self._confirm(incarnation, Proof.REPLACED)
            return
        departure = self._registry.find_departure(incarnation)
        if departure is not None and departure.was_leaving:
            del self._losses[incarnation]
            return
        proof = Proof.REMOVED if current is None else Proof.REPLACED
        self._confirm(incarnation, proof)

    def _has_successor(self, endpoint: fleet.Endpoint) -> bool:
        """Returns whether another endpoint has started at an address since."""
        return any(
            other.address == endpoint.address
            and other.started_ms > endpoint.started_ms
            for other in self._registry.list_all()
        )

    def _confirm(self, incarnation: str, proof: Proof) -> None:
        """Records the last losses of an incarnation as caused by its crash.

        Before them it was alive, whatever it lost.
        """
        losses = self._losses.pop(incarnation)
        since = max(loss.at for loss in losses) - _CRASH_WINDOW_S
        last = [loss for loss in losses if loss.at >= since]
        self._crashed[incarnation] = (min(loss.at for loss in last), proof)
        runs = collections.Counter(loss.fingerprint for loss in last)
        for loss in last:
            self._record_crash(loss, proof, runs[loss.fingerprint])

    def _record_crash(self, loss: Loss, proof: Proof, runs: int) -> None:
        """Records a crash for each of its possible causes.

        Args:
            loss: The request that was lost.
            proof: What proves the crash.
            runs: How often the same request ran there.
        """
        is_new = [
            self._suspects.record_crash(
                limits.Crash(
                    cause.fingerprint,
                    loss.incarnation,
                    loss.at,
                    runs=1 if cause.part else runs,
                ),
                loss.at,
            )
            for cause in loss.causes
        ]
        if any(is_new):
            self._log_crash(loss, proof)

    def _log_crash(self, loss: Loss, proof: Proof) -> None:
        crashes, *part_crashes = [
            self._suspects.count_crashes(cause.fingerprint, loss.at)
            for cause in loss.causes
        ]
        self._log.write(
            records.events.EndpointCrashed(
                request=loss.request,
                endpoint=loss.endpoint.id,
                fingerprint=loss.fingerprint.hex(),
                proof=proof.value,
                crashes=crashes,
                parts=[cause.part for cause in loss.causes[1:]],
                part_crashes=part_crashes,
            )
        )
