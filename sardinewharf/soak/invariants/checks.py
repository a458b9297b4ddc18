"""The invariants, their violations and the base class of their checks."""

import abc
import dataclasses
import enum

from sardinewharf.soak.invariants import records


class Invariant(enum.Enum):
    """Invariants of a deployment; findings are printed by member name."""

    ONCE = "a request that may not be repeated ran once at most"
    NOT_RUN = "what was refused has not run"
    ANSWER = "an answer is one server's whole answer to that request"
    ORDER = "events come once, in order, and to the end"
    KNOWN = "servers run what callers sent, for the caller's organisation"
    ROUTE = "a request runs at the service of its route"
    REVOKED = "a revoked key is refused in time"
    APPLIED = "a configuration is in force in time"
    DENIED = "what is allowed is not refused as wrong"
    RETRIES = "retries stay within their budget"
    LOST = "what a gateway has read ends with an answer or a refusal"
    INTERNAL = "no gateway fails because of an error of its own"
    DRAIN = "a server that leaves gets no requests later on"
    BACKOFF = "a server that asks for a pause gets it"
    CRASHES = "a request that crashes servers is stopped"
    SOUND = "what shares parts with it is served"
    CALM = "without a fault, answers are whole and do not fail"
    GONE = "servers stop when the caller has left"
    HOLDER = "one holder for each fencing token"
    CACHE = "no cache is shared by two versions"
    WEIGHTS = "the newest weights are in place"
    RECOVERY = "requests are served once faults are over"
    PROCESS = "processes do not end and stay small"
    HOSTILE = "gateways outlast clients that exceed limits, within bounds"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violation of an invariant.

    Attributes:
        invariant: The violated invariant.
        detail: What was observed.
    """

    invariant: Invariant
    detail: str

    def __str__(self) -> str:
        return f"{self.invariant.name}: {self.detail}"


class Check(abc.ABC):
    """Checks some of the invariants of a soak run.

    Args:
        record: What was recorded so far.

    Attributes:
        record: The same record.
        findings: Violated invariants without duplicates, oldest first.
    """

    def __init__(self, record: records.Record):
        self.record = record
        self.findings: dict[Finding, None] = {}

    @abc.abstractmethod
    def check(self) -> None:
        """Checks what must hold at all times."""

    def sample(self) -> None:
        """Measures processes; called more often than ``check``."""
        return

    def check_final(self, now: float) -> None:
        """Checks what must hold long after the last fault.

        Args:
            now: Monotonic time in seconds.
        """
        return

    def add_finding(self, invariant: Invariant, detail: str) -> None:
        """Records that an invariant was violated."""
        self.findings[Finding(invariant, detail)] = None
