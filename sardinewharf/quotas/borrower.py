"""Gets the tokens for a gateway's requests from the owners of quotas.

A request that is not covered by tokens granted before waits for the owner, for
a few tens of milliseconds. Then the next gateway in rank is asked, and at last
the request is admitted or refused by a share of the slack.

See Also:
    ``docs/design/0017-quotas.md``
"""

import collections
from collections.abc import Callable
import dataclasses
import math

from sardinewharf import catalog
from sardinewharf.quotas import accounts
from sardinewharf.quotas import candidates
from sardinewharf.quotas import charges
from sardinewharf.quotas import directory as directory_lib
from sardinewharf.quotas import messages
from sardinewharf.quotas import presence as presence_lib
from sardinewharf.quotas import round_trips
from sardinewharf.quotas import settings as settings_lib

# Shortest time after which an ask is repeated, and after which the next gateway
# is asked, in seconds. Later ones first probe those before them.
_REPEAT_S = 0.03
_FIRST_WAIT_S = 0.09
_NEXT_WAIT_S = 0.15
# Most times that an ask is sent to one gateway.
_SENDS_PER_WAIT = 3
# Requests of an organisation that ask at the same time; others wait for their
# responses, which may cover them.
_MAX_ASKING = 4
# A response counts for this long after its ask, in seconds: tokens granted long
# ago belong to a window that has passed.
_RESPONSE_S = 1.0
# Tokens that were granted longer ago are not returned, for the same reason.
_RETURN_S = 1.0
# Repeated asks for tokens in advance and returns.
_MAX_REPEATS = 3
# While gateways respond but none keeps quotas yet, as just after the start of
# the fleet, requests wait for so long and ask again in between, in seconds.
_ACTIVATION_S = 0.4
_ASK_AGAIN_S = 0.06
# A request that is denied and would be admitted within this time waits and asks
# again, so that the last ones within a quota are not refused, in seconds.
_MAX_HOLD_S = 0.15
_MAX_HOLDS = 2
# Stands for the owner of tokens that were granted in advance.
_IN_ADVANCE = "in advance"
_TOKEN_VERDICTS = (messages.Verdict.GRANTED, messages.Verdict.UNLIMITED)


@dataclasses.dataclass(slots=True)
class _Sent:
    """An ask that awaits its response.

    Attributes:
        ask: The ask.
        to: The gateway that was asked.
        at: When it was first sent.
        charge: The request that waits for it; None for tokens in advance.
        repeats: How often it was repeated.
    """

    ask: messages.Ask
    to: str
    at: float
    charge: charges.Charge | None
    repeats: int = 0


class Borrower:
    """Gets tokens from the owners of quotas.

    Args:
        name: Name of this gateway.
        bounds: By how much quotas may be exceeded.
        directory: The configuration and the registered gateways.
        peers: Watches the other gateways.
        send: Sends a message to a gateway by its name. It also takes messages
            to this gateway itself, and may respond to them at once.
        first_number: A number that former processes of this gateway did not
            begin with.

    Attributes:
        candidates: Chooses the gateways that are asked.
        counts: Numbers of messages by kind, for the metrics.
    """

    def __init__(
        self,
        name: str,
        bounds: settings_lib.Bounds,
        directory: directory_lib.Directory,
        peers: presence_lib.PeerWatch,
        send: Callable[[str, messages.Message], None],
        first_number: int,
    ):
        self._name = name
        self._bounds = bounds
        self._directory = directory
        self._peers = peers
        self.candidates = candidates.Candidates(directory, peers)
        self._send = send
        self._number = first_number
        self._accounts: dict[str, accounts.Account] = {}
        # Organisations whose account has to be looked at: a gateway may have
        # thousands of others.
        self._in_use: set[str] = set()
        self._sent: dict[int, _Sent] = {}
        self._round_trips = round_trips.RoundTripEstimator()
        # Organisations with an ask in advance that awaits its response.
        self._asked_in_advance: set[str] = set()
        self.counts = collections.Counter[str]()

    def begin(
        self, organisation: str, quota: catalog.Quota, cost: int, now: float
    ) -> charges.Charge:
        """Begins to charge a request; most are settled at once."""
        charge = charges.Charge(organisation, quota, cost, now)
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = accounts.Account()
        self._in_use.add(organisation)
        account.count_demand(cost, now)
        if account.take(cost, now):
            charge.owner = _IN_ADVANCE
            is_low = account.tokens < account.find_target() // 2
            if is_low and now >= account.blocked_until:
                self._ask_in_advance(organisation, account, now)
            return charge
        if now < account.blocked_until:
            charge.state = charges.State.OVER_QUOTA
            charge.wait_s = account.refuse(cost, quota.rate, now)
            return charge
        charge.state = charges.State.PENDING
        if account.asking >= self._count_askers(account, now):
            self._queue(charge, account, now)
        else:
            charge.candidates = self.candidates.list_usable(organisation, now)
            self._ask_next(charge, now)
        return charge

    def advance(self, charge: charges.Charge, now: float) -> None:
        """Repeats the ask of a pending charge, or asks the next gateway."""
        if charge.state is not charges.State.PENDING or now < charge.next_at:
            return
        if now < charge.give_up_at:
            self._repeat(charge, now)
            return
        if charge.is_held:
            charge.is_held = False
            if not charge.candidates:
                charge.candidates = self.candidates.list_usable(
                    charge.organisation, now
                )
        else:
            asked = charge.candidates.pop(0)
            heard_at = self._peers.find_last_heard(asked)
            if asked != self._name and heard_at < charge.asked_at:
                self.candidates.record_silence(asked, now)
        self._ask_next(charge, now)

    def cancel(self, charge: charges.Charge) -> None:
        """Ends the charge of a request whose caller has left."""
        if charge.state is charges.State.PENDING:
            self._settle(charge, charges.State.UNOWNED, "")

    def give_back(self, charge: charges.Charge, now: float) -> None:
        """Returns the tokens of a request that has not run and will not."""
        if charge.state is not charges.State.ADMITTED or not charge.cost:
            return
        charge.state = charges.State.UNOWNED
        account = self._accounts[charge.organisation]
        account.used -= charge.cost
        if charge.owner and now - charge.begun_at <= _RETURN_S:
            account.returned += charge.cost
            self._in_use.add(charge.organisation)

    def handle_grant(self, grant: messages.Grant, now: float) -> None:
        """Handles the response to an ask."""
        self.counts[grant.verdict.name.lower()] += 1
        sent = self._sent.pop(grant.number, None)
        if sent is None or sent.to != grant.sender:
            return
        if sent.charge is None:
            self._asked_in_advance.discard(sent.ask.organisation)
        self._round_trips.record(now - sent.at)
        if now - sent.at > _RESPONSE_S:
            return
        self._in_use.add(sent.ask.organisation)
        if grant.verdict in _TOKEN_VERDICTS:
            self._handle_tokens(sent, grant, now)
        elif grant.verdict is messages.Verdict.DENIED:
            self._handle_denial(sent, grant, now)
        else:
            self._handle_wrong_owner(sent, grant, now)
        self._serve_queue(sent.ask.organisation, now)

    def _count_askers(self, account: accounts.Account, now: float) -> int:
        """Returns how many requests may ask at the same time."""
        is_denied = now < account.wait_until
        if is_denied and account.find_pause(len(self._directory.members)):
            return 1
        return _MAX_ASKING

    def _queue(
        self, charge: charges.Charge, account: accounts.Account, now: float
    ) -> None:
        """Makes a request wait for the responses to earlier ones."""
        account.queued.append(charge)
        self._hold(charge, [], _REPEAT_S, now)

    def _serve_queue(self, organisation: str, now: float) -> None:
        """Decides on the requests that waited for a response."""
        account = self._accounts[organisation]
        queued, account.queued = account.queued, []
        for charge in queued:
            if charge.state is not charges.State.PENDING or not charge.is_held:
                continue
            if account.take(charge.cost, now):
                self._settle(charge, charges.State.ADMITTED, _IN_ADVANCE)
            elif now < account.blocked_until:
                charge.wait_s = account.refuse(
                    charge.cost, charge.quota.rate, now
                )
                self._settle(charge, charges.State.OVER_QUOTA, "")
            elif account.asking < self._count_askers(account, now):
                charge.is_held = False
                charge.candidates = self.candidates.list_usable(
                    organisation, now
                )
                self._ask_next(charge, now)
            else:
                account.queued.append(charge)

    def _handle_tokens(
        self, sent: _Sent, grant: messages.Grant, now: float
    ) -> None:
        account = self._accounts[sent.ask.organisation]
        tokens = grant.tokens
        charge = sent.charge
        if _is_pending(charge):
            tokens -= charge.cost
            account.used += charge.cost
            self._settle(charge, charges.State.ADMITTED, grant.sender)
        if tokens > 0:
            account.add(tokens, now)
        if grant.wait_ms and grant.tokens < sent.ask.tokens + sent.ask.extra:
            pause_s = account.find_pause(len(self._directory.members))
            account.record_denial(grant.wait_ms / 1000, 0.0, pause_s, now)

    def _handle_denial(
        self, sent: _Sent, grant: messages.Grant, now: float
    ) -> None:
        wait_s = grant.wait_ms / 1000
        charge = sent.charge
        is_waiting = _is_pending(charge)
        account = self._accounts[sent.ask.organisation]
        pause_s = account.find_pause(len(self._directory.members))
        may_hold = wait_s <= _MAX_HOLD_S and not pause_s
        if is_waiting and may_hold and charge.holds < _MAX_HOLDS:
            charge.holds += 1
            self._hold(charge, [grant.sender], wait_s, now)
            return
        account.record_denial(wait_s, grant.blocked_ms / 1000, pause_s, now)
        if is_waiting:
            charge.wait_s = wait_s
            self._settle(charge, charges.State.OVER_QUOTA, grant.sender)

    def _handle_wrong_owner(
        self, sent: _Sent, grant: messages.Grant, now: float
    ) -> None:
        """Asks another gateway, as one does not keep a quota."""
        account = self._accounts[sent.ask.organisation]
        account.returned += sent.ask.returned
        account.refused += sent.ask.refused
        charge = sent.charge
        is_waiting = _is_pending(charge)
        if grant.verdict is messages.Verdict.INACTIVE:
            self.candidates.record_inactive(grant.sender, now)
            if is_waiting and charge.candidates[:1] == [grant.sender]:
                charge.candidates.pop(0)
                self._ask_next(charge, now)
            return
        # A gateway of a better rank keeps the quota.
        self.candidates.restore_before(sent.ask.organisation, grant.sender)
        if is_waiting and charge.has_restarted:
            self._decide_unowned(charge, now)
        elif is_waiting:
            charge.has_restarted = True
            charge.candidates = self.candidates.list_usable(
                charge.organisation, now
            )
            self._ask_next(charge, now)

    def tick(self, now: float) -> None:
        """Reports what was returned, several times a second."""
        for organisation in list(self._in_use):
            account = self._accounts[organisation]
            account.drop_expired(now)
            account.queued = [c for c in account.queued if _is_pending(c)]
            if account.returned:
                self._ask_in_advance(organisation, account, now)
            if account.is_settled:
                self._in_use.discard(organisation)
        self._drop_old_asks(now)
        self.candidates.probe_silent(now)

    def list_use(self) -> dict[str, int]:
        """Returns the cost of the admitted requests, by organisation."""
        used = {
            organisation: self._accounts[organisation].used
            for organisation in self._in_use
            if self._accounts[organisation].used > 0
        }
        for organisation in used:
            self._accounts[organisation].used = 0
        return used

    def _drop_old_asks(self, now: float) -> None:
        """Repeats asks in advance, and forgets those without a response."""
        for number, sent in list(self._sent.items()):
            if now - sent.at > _RESPONSE_S:
                del self._sent[number]
                if sent.charge is None:
                    self._asked_in_advance.discard(sent.ask.organisation)
            elif sent.charge is None and sent.repeats < _MAX_REPEATS:
                sent.repeats += 1
                self._send(sent.to, sent.ask)

    def _ask_next(self, charge: charges.Charge, now: float) -> None:
        """Asks the next gateway, or decides without an owner."""
        if not charge.candidates:
            self._wait_or_decide(charge, now)
            return
        account = self._accounts[charge.organisation]
        is_first = charge.ask is None
        charge.ask = self._make_ask(
            charge.organisation, account, tokens=charge.cost
        )
        wait_s = self._round_trips.find_timeout(
            _FIRST_WAIT_S if is_first else _NEXT_WAIT_S
        )
        self._set_asking(charge, True)
        charge.asked_at = now
        charge.give_up_at = now + wait_s
        charge.next_at = now + max(_REPEAT_S, wait_s / _SENDS_PER_WAIT)
        self._dispatch(charge.ask, charge.candidates[0], charge, now)

    def _wait_or_decide(self, charge: charges.Charge, now: float) -> None:
        """Waits for a gateway to keep quotas, or decides without an owner."""
        has_time = now + _ASK_AGAIN_S < charge.begun_at + _ACTIVATION_S
        responsive = self.candidates.list_responsive(charge.organisation)
        if has_time and responsive:
            self._hold(charge, responsive, _ASK_AGAIN_S, now)
        else:
            self._decide_unowned(charge, now)

    def _hold(
        self,
        charge: charges.Charge,
        gateways: list[str],
        wait_s: float,
        now: float,
    ) -> None:
        """Makes a request wait before it asks."""
        charge.is_held = True
        self._set_asking(charge, False)
        charge.candidates = gateways
        charge.next_at = charge.give_up_at = now + wait_s

    def _repeat(self, charge: charges.Charge, now: float) -> None:
        interval_s = (charge.give_up_at - charge.asked_at) / _SENDS_PER_WAIT
        interval_s = max(_REPEAT_S, interval_s)
        charge.next_at = min(now + interval_s, charge.give_up_at)
        self.counts["repeated"] += 1
        self._send(charge.candidates[0], charge.ask)

    def _decide_unowned(self, charge: charges.Charge, now: float) -> None:
        """Admits a request by this gateway's share of the slack, or not."""
        share = self._bounds.find_unowned_share(
            charge.quota, len(self._directory.members)
        )
        is_admitted = self._accounts[charge.organisation].take_unowned(
            charge.cost, share, self._bounds.window_s, now
        )
        self.counts["unowned"] += 1
        self._settle(
            charge,
            charges.State.ADMITTED if is_admitted else charges.State.UNOWNED,
            "",
        )

    def _settle(
        self, charge: charges.Charge, state: charges.State, owner: str
    ) -> None:
        charge.state = state
        self._set_asking(charge, False)
        charge.owner = owner
        charge.next_at = math.inf
        if charge.on_settled is not None:
            charge.on_settled()

    def _set_asking(self, charge: charges.Charge, is_asking: bool) -> None:
        if charge.is_asking is not is_asking:
            charge.is_asking = is_asking
            account = self._accounts[charge.organisation]
            account.asking += 1 if is_asking else -1

    def _ask_in_advance(
        self, organisation: str, account: accounts.Account, now: float
    ) -> None:
        """Asks for tokens of later requests, and reports what is returned."""
        if organisation in self._asked_in_advance:
            return
        gateways = self.candidates.list_usable(organisation, now)
        if not gateways:
            account.returned = 0
            return
        ask = self._make_ask(organisation, account)
        ask.returned, account.returned = account.returned, 0
        self._asked_in_advance.add(organisation)
        self._dispatch(ask, gateways[0], None, now)

    def _make_ask(
        self, organisation: str, account: accounts.Account, tokens: int = 0
    ) -> messages.Ask:
        self._number += 1
        extra = max(0, account.find_target() - account.tokens)
        refused, account.refused = account.refused, 0
        return messages.Ask(
            self._name,
            self._number,
            organisation,
            tokens,
            extra,
            refused=refused,
        )

    def _dispatch(
        self,
        ask: messages.Ask,
        to: str,
        charge: charges.Charge | None,
        now: float,
    ) -> None:
        self.counts["asked"] += 1
        self._sent[ask.number] = _Sent(ask, to, now, charge)
        self._send(to, ask)


def _is_pending(charge: charges.Charge | None) -> bool:
    return charge is not None and charge.state is charges.State.PENDING
