"""Collects what servers, callers and the operator recorded in a soak run."""

import collections
import math

from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import journals
from sardinewharf.soak import operators
from sardinewharf.soak.invariants import timelines


class Record:
    """What was observed in a soak run so far.

    Args:
        deployment: Deployment whose servers keep journals.
        pool: Callers with their attempts.
        operator: Records which changes were made, and when.
        timeline: Records which faults were injected, and when.

    Attributes:
        deployment: The deployment.
        pool: The callers.
        operator: The operator.
        timeline: The faults.
        arrived: Arrivals of requests at servers.
        refused: Refusals of requests by servers.
        leaving: Responses which say that their server leaves.
        states: Starts and changed entries of each server, oldest first.
        began: Runs of each request.
        crashed: Crashes of servers by the requests that caused them.
        ended: Ends of runs, by request and server.
        ordered: Orders to load weights.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        pool: callers.CallerPool,
        operator: operators.Operator,
        timeline: timelines.Timeline,
    ):
        self.deployment = deployment
        self.pool = pool
        self.operator = operator
        self.timeline = timeline
        self.arrived: list[journals.Arrived] = []
        self.refused: list[journals.Refused] = []
        self.leaving: list[journals.Leaving] = []
        self.states: dict[str, list[journals.Started | journals.Registered]] = (
            collections.defaultdict(list)
        )
        self.began: dict[str, list[journals.Began]] = collections.defaultdict(
            list
        )
        self.ended: dict[tuple[str, str], journals.Ended] = {}
        self.crashed: list[journals.Crashed] = []
        self.ordered: list[journals.Ordered] = []
        self._readers = [
            journals.JournalReader(deployment.find_journal(name))
            for name in [*deployment.engines, *deployment.servers]
        ]

    def read_journals(self) -> None:
        """Reads the new entries of all journals."""
        for reader in self._readers:
            for note in reader.read():
                self._add_note(note)

    def list_attempts(self) -> dict[str, callers.Attempt]:
        """Returns all attempts by the id of their request."""
        return {attempt.request: attempt for attempt in self.pool.attempts}

    def find_restart(self, server: str, since: float) -> float:
        """Returns when a server id started anew after a time, or infinity."""
        return min(
            (
                note.at
                for note in self.states.get(server, [])
                if isinstance(note, journals.Started) and note.at > since
            ),
            default=math.inf,
        )

    def list_runs(self, request: str) -> list[journals.Began]:
        """Returns the runs of a request."""
        return self.began.get(request, [])

    def is_out_of_time(self, attempt: callers.Attempt) -> bool:
        """Returns whether an attempt may have ended at its time limit."""
        timeouts_ms = self.operator.list_overrides(
            operators.Override.TIMEOUT_MS, attempt.sent_at, attempt.ended_at
        )
        limit_ms = min([attempt.deadline_ms, *timeouts_ms])
        return attempt.ended_at - attempt.sent_at >= limit_ms / 1000

    def _add_note(self, note: journals.AnyNote) -> None:
        match note:
            case journals.Arrived():
                self.arrived.append(note)
            case journals.Refused():
                self.refused.append(note)
            case journals.Leaving():
                self.leaving.append(note)
            case journals.Started() | journals.Registered():
                self.states[note.server].append(note)
            case journals.Began():
                self.began[note.request].append(note)
            case journals.Ended():
                self.ended[note.request, note.server] = note
            case journals.Crashed():
                self.crashed.append(note)
            case journals.Ordered():
                self.ordered.append(note)
