"""Charges requests to the quotas of organisations, with the other gateways.

See Also:
    ``sardinewharf.quotas``, which decides, and
    ``docs/design/0017-quotas.md``.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import contextlib
import random

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import quotas
from sardinewharf import records
from sardinewharf.gateway import digests
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import refusals
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import retry_times
from sardinewharf.gateway import settings as settings_lib

_TICK_S = 0.1
# The same while no organisation has a quota.
_IDLE_TICK_S = 0.5
# Gateways that may keep a quota; more are not out of reach at the same time.
_MAX_RANK = 6
# Size of the random number from which a process numbers its asks.
_FIRST_NUMBER_BITS = 60


class _Directory(quotas.Directory):
    """What the replica of the store tells of quotas and gateways.

    Args:
        replica: This gateway's replica of the store.
    """

    def __init__(self, replica: replica_lib.Replica):
        self._replica = replica
        self._members: frozenset[str] = frozenset()
        self._ranks: dict[str, list[str]] = {}
        self.estimate_interval: Callable[[], float] = lambda: 0.2

    def update(self) -> bool:
        """Returns whether gateways were registered or removed since."""
        if self._replica.members.keys() == self._members:
            return False
        self._members = frozenset(self._replica.members)
        self._ranks.clear()
        return True

    def has_quotas(self) -> bool:
        """Returns whether any organisation has a quota."""
        return self._replica.configuration.has_quotas

    def find_quota(self, organisation: str) -> catalog.Quota | None:
        """Returns an organisation's quota in the configuration in force."""
        return self._replica.configuration.find_quota(organisation)

    @property
    def members(self) -> Collection[str]:
        """Names of the registered gateways; some may be gone for good."""
        return self._members

    def rank(self, organisation: str) -> Sequence[str]:
        """Returns the registered gateways that may keep a quota, in order."""
        rank = self._ranks.get(organisation)
        if rank is None:
            ranked = balancing.rank_preferred(organisation, self._members)
            rank = self._ranks[organisation] = ranked[:_MAX_RANK]
        return rank

    @property
    def digest_interval_s(self) -> float:
        """Mean time between two digests of a gateway to this one."""
        return self.estimate_interval()


class QuotaGate:
    """Charges requests to quotas, and exchanges messages about them.

    Args:
        settings: Settings of the gateway.
        replica: Its replica of the store.
        log: Records when another gateway keeps a quota.
        metrics: Counts messages and the use of quotas.

    Attributes:
        send: Sends a message to a gateway's address; set by ``Peers``.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
        log: records.RecordSink,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._name = settings.name
        self._replica = replica
        self._metrics = metrics
        self.send: Callable[[str, digests.Message], None] = (
            lambda address, message: None
        )
        now = clocks.read_monotonic()
        guarantees = settings.guarantees
        bounds = quotas.Bounds(
            guarantees.quota_window_s,
            guarantees.quota_over,
            guarantees.quota_slack,
        )
        self._directory = _Directory(replica)
        self._peers = quotas.PeerWatch(
            self._name, self._directory, self._send, now, clocks.read_wall()
        )
        self._owner = quotas.Owner(
            self._name,
            bounds,
            self._directory,
            self._peers,
            self._send,
            now,
        )
        self._borrower = quotas.Borrower(
            self._name,
            bounds,
            self._directory,
            self._peers,
            self._send,
            random.getrandbits(_FIRST_NUMBER_BITS),
        )
        self._owner.on_takeover = lambda organisation: log.write(
            records.events.QuotaTakenOver(organisation)
        )
        self._borrower.candidates.on_silence = lambda name: log.write(
            records.events.QuotaOwnerSilent(name)
        )

    def set_digest_interval(self, estimate: Callable[[], float]) -> None:
        """Sets what estimates the mean time between digests of a gateway."""
        self._directory.estimate_interval = estimate

    async def charge(self, call: requests.Call) -> quotas.Charge | None:
        """Charges a request, once for all attempts at endpoints.

        Returns:
            The charge; None if the organisation has no quota.

        Raises:
            RefusedError: If the quota of its organisation is used up.
        """
        organisation = call.admitted.organisation
        if organisation is None or organisation.quota is None:
            return None
        prompt = call.request.headers.prompt
        cost = organisation.quota.compute_cost(
            None if prompt is None else prompt.tokens + prompt.answer_tokens
        )
        if not cost:
            return None
        if not self._directory.members:
            self._update_members()
        charge = self._borrower.begin(
            organisation.name,
            organisation.quota,
            cost,
            clocks.read_monotonic(),
        )
        if charge.state is quotas.State.PENDING:
            await self._wait(charge, call.deadline)
        if charge.state is not quotas.State.ADMITTED:
            raise _refuse(charge)
        return charge

    def give_back(
        self, charge: quotas.Charge | None, call: requests.Call
    ) -> None:
        """Returns the tokens of a request that ended and has not run."""
        if charge is not None and not call.may_have_run:
            self._borrower.give_back(charge, clocks.read_monotonic())

    async def _wait(
        self, charge: quotas.Charge, deadline: clocks.Deadline
    ) -> None:
        """Waits until a charge is settled, or until the deadline."""
        settled = asyncio.Event()
        charge.on_settled = settled.set
        try:
            while charge.state is quotas.State.PENDING:
                if deadline.is_past():
                    break
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(charge.next_at):
                        await settled.wait()
                self._borrower.advance(charge, clocks.read_monotonic())
        except BaseException:
            self._borrower.give_back(charge, clocks.read_monotonic())
            raise
        finally:
            self._borrower.cancel(charge)

    async def run(self) -> None:
        """Reports what was returned, and notices pauses, until cancelled."""
        while True:
            if self._directory.has_quotas():
                self._tick()
                await asyncio.sleep(_TICK_S)
            else:
                self._update_members()
                await asyncio.sleep(_IDLE_TICK_S)

    def resign(self) -> None:
        """Leaves the quotas that this gateway owns to others."""
        self._owner.resign()

    def _tick(self) -> None:
        self._update_members()
        now = clocks.read_monotonic()
        self._owner.check(now)
        self._borrower.tick(now)
        for role, counts in (
            ("owner", self._owner.counts),
            ("borrower", self._borrower.counts),
        ):
            for kind, count in counts.items():
                self._metrics.count_quota_messages(role, kind, count)
            counts.clear()
        for organisation, cost in self._borrower.list_use().items():
            quota = self._directory.find_quota(organisation)
            unit = quota.unit.value if quota else ""
            self._metrics.count_quota_use(organisation, unit, cost)

    def _update_members(self) -> None:
        now = clocks.read_monotonic()
        if self._directory.update():
            self._owner.handle_members_change(now)
        self._owner.check_membership(now)

    def record_digest(self, digest: digests.Digest) -> None:
        """Records that a gateway was heard."""
        self._peers.record_digest(
            digest.sender,
            digest.started / 1000,
            digest.number,
            clocks.read_monotonic(),
        )

    def handle(self, message: quotas.Message, address: str) -> None:
        """Handles another gateway's message about quotas.

        Args:
            message: The message.
            address: ``IP:PORT`` of its sender, which may not be registered.
        """
        now = clocks.read_monotonic()
        if isinstance(message, quotas.ProbeResponse):
            self._peers.record_statement(message.sender, message.is_active, now)
            return
        self._peers.record(message.sender, now)
        if isinstance(message, quotas.Grant):
            self._borrower.handle_grant(message, now)
            return
        if isinstance(message, quotas.Probe):
            is_active = self._owner.is_active(now)
            self.send(address, quotas.ProbeResponse(self._name, is_active))
        else:
            grant = self._owner.handle_ask(message, now)
            if grant is not None:
                self.send(address, grant)

    def _send(self, name: str, message: quotas.Message) -> None:
        """Sends a message to a gateway by its name, or to this one itself."""
        if name != self._name:
            address = self._replica.members.get(name)
            if address is not None:
                self.send(address, message)
            return
        if isinstance(message, quotas.Ask):
            now = clocks.read_monotonic()
            grant = self._owner.handle_ask(message, now)
            if grant is not None:
                self._borrower.handle_grant(grant, now)


def _refuse(charge: quotas.Charge) -> refusals.RefusedError:
    """Returns the exception that refuses a request beyond a quota."""
    quota = charge.quota
    limit = (
        f"its quota of {quota.rate:.0f} {quota.unit.value} a second and"
        f" {quota.burst:.0f} at once"
    )
    if charge.state is quotas.State.OVER_QUOTA:
        by = f" by {charge.owner}" if charge.owner else ""
        return refusals.refuse(
            refusals.Reason.OVER_QUOTA,
            f"{charge.organisation} has used up {limit}, as counted{by}; this"
            f" request costs {charge.cost}",
            retry_times.choose_for_quota(charge.wait_s),
        )
    return refusals.refuse(
        refusals.Reason.OVER_QUOTA,
        f"no gateway that keeps the quota of {charge.organisation} responded,"
        f" and what may be sent without it is used up; this request costs"
        f" {charge.cost}",
        retry_times.choose_soon(),
    )
