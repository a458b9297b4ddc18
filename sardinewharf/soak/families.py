"""Draws faults of endpoints that go on for a whole soak run, or in series.

Each family of faults has a random generator of its own, so that the other
faults of a seed stay the same.
"""

import abc
import random

from sardinewharf.soak import crashes
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults
from sardinewharf.soak import hostile_clients
from sardinewharf.soak import hostile_faults
from sardinewharf.soak import odd_entries
from sardinewharf.standins import server_faults
from sardinewharf.testbed import gateway_harness

_REFUSAL_STATUSES = (421, 429, 503)
# With these, callers read an error of a request that ran as a refusal.
_ERROR_STATUSES = (408, 429, 503)
_MAX_ERROR_INTERVAL = 4
_SERVICES = (gateway_harness.ENGINES, gateway_harness.ORDERS)
_MAX_ODD_ENTRIES = 5
_MIN_ENTRY_S = 3.0
_CHANGE_DELAY_S = 0.5
# Callers use their connections for some time before the stop signal.
_MIN_LATE_S = 3.0
_MIN_LEAVE_AT_S = 1.0
_LEAVE_RANGE_S = (1.5, 5.0)
_MIN_BACKOFF_S = 1.0
_BACKOFF_RANGE_S = (1.0, 6.0)
_MAX_BACKOFF_INTERVAL = 4
_MAX_CRASHING_REQUESTS = 3
# Parts have other numbers than requests.
_FIRST_PART_NUMBER = 100
_CRASH_SPREAD_S = 1.5
_CRASH_RANGE_S = (0.0, 2.0)
# Seconds and fractions, twice each, and values that ask for no pause.
_SOUND_RETRY_AFTER = ("1", "1.5", "2", "2.75", "3", "4")
_ODD_RETRY_AFTER = ("Wed, 21 Oct 2026 07:28:00 GMT", "-3", "0", "soon", "")
_RETRY_AFTER = (*_SOUND_RETRY_AFTER, *_SOUND_RETRY_AFTER, *_ODD_RETRY_AFTER)
_MAX_HOSTILE_CLIENTS = 8
_MIN_HOSTILE_AT_S = 1.0
_CUT_RANGE_S = (0.5, 2.0)


class Family(abc.ABC):
    """A kind of faults that is drawn on its own.

    Attributes:
        name: Name of the family.
        share: Share of seeds that have it.
        is_planned: Whether seeds without unplanned faults may have it.
    """

    name: str
    share: float
    is_planned: bool

    @abc.abstractmethod
    def draw(
        self,
        rng: random.Random,
        deployment: deployment_lib.Deployment,
        seconds: float,
    ) -> list[faults.Fault]:
        """Returns the faults of a soak run.

        Args:
            rng: Source of the random choice.
            deployment: Deployment whose processes are the targets.
            seconds: Time by which all faults have ended.
        """


class FalseRefusals(Family):
    """Endpoints that refuse all the time what they run or have run."""

    name = "refusals"
    share = 0.4
    is_planned = False

    def draw(self, rng, deployment, seconds):
        """Returns lasting faults of one to all endpoints of a service."""
        names = _draw_endpoints(rng, deployment)
        return [
            faults.LastingServerFault(
                0.0, seconds, *self._draw_harm(rng), name=name
            )
            for name in names
        ]

    def _draw_harm(self, rng: random.Random) -> tuple[str, object]:
        if rng.random() < 0.5:
            return "failed_run", {
                "status": rng.choice(_ERROR_STATUSES),
                "every": rng.randint(1, _MAX_ERROR_INTERVAL),
            }
        return "stale_refusal", {
            "status": rng.choice(_REFUSAL_STATUSES),
            "place": rng.choice(list(server_faults.RefusalPlace)).value,
            "is_named": rng.random() < 0.5,
        }


class OddEntries(Family):
    """Odd entries in the store while servers, gateways and keys change."""

    name = "entries"
    share = 0.4
    is_planned = True

    def draw(self, rng, deployment, seconds):
        """Returns odd entries, and changes that gateways must follow."""
        drawn: list[faults.Fault] = []
        for number in range(rng.randint(2, _MAX_ODD_ENTRIES)):
            at = rng.uniform(0.0, seconds / 2)
            until = rng.uniform(at + _MIN_ENTRY_S, seconds)
            drawn.append(
                faults.OddEntry(
                    at,
                    min(until, seconds),
                    rng.choice(odd_entries.PREFIXES),
                    f"odd-{number}",
                    rng.choice(list(odd_entries.Oddity)),
                    rng.choice(_SERVICES),
                )
            )
        return drawn + self._draw_changes(rng, deployment, seconds, drawn[0].at)

    def _draw_changes(self, rng, deployment, seconds, since):
        """Returns changes after the first odd entry."""
        changed = rng.sample([*deployment.engines, *deployment.servers], 2)
        at = rng.uniform(since, seconds / 2)
        later = at + _CHANGE_DELAY_S
        return [
            faults.AddRoute(at, at),
            faults.RevokeKey(at, at),
            *(faults.Drain(later, seconds, name) for name in changed),
            faults.Restart(later, later, rng.choice(deployment.gateways)),
        ]


class LateRequests(Family):
    """Gateways that restart while they get requests which outlast them."""

    name = "late"
    share = 0.4
    is_planned = True

    def draw(self, rng, deployment, seconds):
        """Returns restarts of one or two gateways."""
        names = rng.sample(deployment.gateways, rng.randint(1, 2))
        drawn: list[faults.Fault] = []
        for name in names:
            at = rng.uniform(_MIN_LATE_S, max(_MIN_LATE_S, seconds / 2))
            drawn.append(faults.BusyRestart(at, at, name))
        return drawn


class LeavingServers(Family):
    """Servers that say in all responses that they leave."""

    name = "leaving"
    share = 0.4
    is_planned = True

    def draw(self, rng, deployment, seconds):
        """Returns departures of one to all endpoints of a service."""
        at = rng.uniform(_MIN_LEAVE_AT_S, seconds / 3)
        return [
            faults.Leave(
                at + rng.uniform(0.0, _CHANGE_DELAY_S),
                at + rng.uniform(*_LEAVE_RANGE_S),
                name,
                drains=rng.random() < 0.3,
                keeps_id=rng.random() < 0.5,
            )
            for name in _draw_endpoints(rng, deployment)
        ]


class Backoffs(Family):
    """Servers that refuse requests and ask for pauses."""

    name = "backoff"
    share = 0.4
    is_planned = True

    def draw(self, rng, deployment, seconds):
        """Returns refusals of one to all endpoints of a service, in series."""
        drawn: list[faults.Fault] = []
        for name in _draw_endpoints(rng, deployment):
            at = rng.uniform(0.0, seconds / 3)
            while at < seconds - _MIN_BACKOFF_S:
                until = min(at + rng.uniform(*_BACKOFF_RANGE_S), seconds)
                value = {
                    "retry_after": rng.choice(_RETRY_AFTER),
                    "every": rng.randint(1, _MAX_BACKOFF_INTERVAL),
                }
                drawn.append(faults.Backoff(at, until, "backoff", value, name))
                at = until + rng.uniform(*_BACKOFF_RANGE_S)
        return drawn


class CrashingRequests(Family):
    """Requests that crash the servers that run them, several at once."""

    name = "crashes"
    share = 0.4
    is_planned = False

    def draw(self, rng, deployment, seconds):
        """Returns requests to one service, whose servers may all crash."""
        is_engine = rng.random() < 0.5
        paths = ("/chat/", "/ask/") if is_engine else ("/book/", "/look/")
        names = deployment.engines if is_engine else deployment.servers
        at = rng.uniform(0.0, seconds / 4)
        drawn: list[faults.Fault] = [
            faults.CrashRisk(at, seconds, name) for name in names
        ]
        for number in range(rng.randint(1, _MAX_CRASHING_REQUESTS)):
            order = crashes.CrashOrder(
                number,
                rng.choice(paths),
                rng.uniform(*_CRASH_RANGE_S),
                removes_entry=rng.random() < 0.5,
                keeps_id=rng.random() < 0.3,
            )
            drawn.append(
                faults.CrashingRequest(
                    at + rng.uniform(0.0, _CRASH_SPREAD_S), seconds, order
                )
            )
        return drawn


class CrashingParts(Family):
    """Prompt parts that crash the engines that respond to them, several."""

    name = "parts"
    share = 0.4
    is_planned = False

    def draw(self, rng, deployment, seconds):
        """Returns parts of requests to the engines, which may all crash."""
        # Sound requests are counted before.
        at = rng.uniform(seconds / 8, seconds / 4)
        drawn: list[faults.Fault] = [
            faults.CrashRisk(at, seconds, name) for name in deployment.engines
        ]
        for number in range(rng.randint(1, _MAX_CRASHING_REQUESTS)):
            order = crashes.CrashOrder(
                _FIRST_PART_NUMBER + number,
                rng.choice(("/chat/", "/ask/")),
                rng.uniform(*_CRASH_RANGE_S),
                removes_entry=rng.random() < 0.5,
                keeps_id=rng.random() < 0.3,
                is_part=True,
                events=rng.randint(0, 2),
            )
            drawn.append(
                faults.CrashingRequest(
                    at + rng.uniform(0.0, _CRASH_SPREAD_S), seconds, order
                )
            )
        return drawn


class HostileClients(Family):
    """Clients that exceed limits, while gateways restart and links are cut."""

    name = hostile_faults.FAMILY_NAME
    share = 0.3
    is_planned = False

    def draw(self, rng, deployment, seconds):
        """Returns clients of some gateways, a restart and a cut.

        All clients leave at the end, so that each gateway that they met has to
        answer a request after them.
        """
        names = rng.sample(
            deployment.gateways, rng.randint(1, len(deployment.gateways))
        )
        drawn: list[faults.Fault] = [
            hostile_faults.HostileClients(
                rng.uniform(_MIN_HOSTILE_AT_S, seconds / 8),
                seconds,
                name,
                self._draw_clients(rng),
            )
            for name in names
        ]
        # A shutdown may take 8 s, and clients meet the new process after it.
        restart_at = rng.uniform(seconds / 8, seconds / 4)
        cut_at = rng.uniform(seconds / 4, seconds / 2)
        cut_until = cut_at + rng.uniform(*_CUT_RANGE_S)
        link = f"{rng.choice(('store', 'front'))}-{rng.choice(names)}"
        return [
            *drawn,
            faults.Restart(restart_at, restart_at, rng.choice(names)),
            faults.LinkFault(cut_at, cut_until, "cut", True, link),
        ]

    def _draw_clients(
        self, rng: random.Random
    ) -> tuple[hostile_clients.Client, ...]:
        """Returns clients of which at least one is on each port."""
        ports = list(hostile_clients.Port)
        count = rng.randint(len(ports), _MAX_HOSTILE_CLIENTS)
        ports += rng.choices(ports, k=count - len(ports))
        behaviours = list(hostile_clients.Behaviour)
        return tuple(
            hostile_clients.Client(rng.choice(behaviours), port)
            for port in ports
        )


def _draw_endpoints(
    rng: random.Random, deployment: deployment_lib.Deployment
) -> list[str]:
    """Returns one to all endpoints of a service."""
    names = rng.choice((deployment.engines, deployment.servers))
    return rng.sample(names, rng.randint(1, len(names)))


FAMILIES: tuple[Family, ...] = (
    FalseRefusals(),
    OddEntries(),
    LateRequests(),
    LeavingServers(),
    Backoffs(),
    CrashingRequests(),
    CrashingParts(),
    HostileClients(),
)
