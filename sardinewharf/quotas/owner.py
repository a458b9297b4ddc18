"""Keeps the quotas that a gateway owns, and responds to asks for tokens.

The owner of a quota is the first of its rank that is active. A gateway of a
lower rank acts while all before it are absent. It starts with an empty bucket:
the former owner may have granted what it does not know of.

See Also:
    ``docs/design/0017-quotas.md``
"""

import collections
from collections.abc import Callable
import math

from sardinewharf import catalog
from sardinewharf.quotas import buckets
from sardinewharf.quotas import directory as directory_lib
from sardinewharf.quotas import messages
from sardinewharf.quotas import presence as presence_lib
from sardinewharf.quotas import quorum as quorum_lib
from sardinewharf.quotas import settings as settings_lib
from sardinewharf.quotas import tenures

# A gap of the clock by which a process was frozen, in seconds. Another gateway
# has begun to act in its place.
_FROZEN_S = 0.5
# A gateway is active this long after its start or registration, in seconds: the
# others then know its registration.
_JOIN_S = 3.0
# Time for which the other gateways need not be heard yet if the whole fleet has
# just started, in seconds.
_NEW_FLEET_S = 5.0
# When the whole fleet has just started, a quota begins with a full bucket once
# no gateway was registered for this time, in seconds.
_SETTLED_S = 0.5
# Share of the capacity below which the majority has to confirm that this
# gateway is not cut off: more is not worth messages, as it is not exceeded.
_BUSY_SHARE = 0.5
# Time between two checks whether the gateway is active, in seconds.
_CHECK_S = 0.05
# In this time since others are absent, most gateways have to respond to probes.
# Later, digests would show that this gateway is cut off instead, in seconds.
_RECENT_S = 3.0
# Time in which a gateway that is cut off notices it, and share of the rate at
# which another one fills its bucket meanwhile.
_NOTICE_S = 0.6
_NOTICE_SHARE = 0.75
# Share of the capacity that is left for requests when tokens are granted in
# advance.
_RESERVE_SHARE = 0.25
# Responses that are remembered for repeated asks, by time in seconds.
_MEMORY_S = 5.0


class Owner:
    """Keeps the quotas that this gateway owns.

    Args:
        name: Name of this gateway.
        bounds: By how much quotas may be exceeded.
        directory: The configuration and the registered gateways.
        peers: Watches the other gateways.
        send: Sends a message to a gateway by its name.
        now: When this process started.

    Attributes:
        on_takeover: Called with an organisation when this gateway begins to
            keep its quota in the place of another.
        counts: Numbers of responses by verdict, for the metrics.
    """

    def __init__(
        self,
        name: str,
        bounds: settings_lib.Bounds,
        directory: directory_lib.Directory,
        peers: presence_lib.PeerWatch,
        send: Callable[[str, messages.Message], None],
        now: float,
    ):
        self._name = name
        self._bounds = bounds
        self._directory = directory
        self._peers = peers
        self._send = send
        self._quorum = quorum_lib.Quorum(name, directory, peers)
        self._started_at = now
        self._member_since: float | None = None
        self._has_resigned = False
        # When a gateway was last registered or removed.
        self._members_changed_at = now
        self._checked_at = now
        self._active_since: float | None = None
        self._tenures: dict[str, tenures.Tenure] = {}
        # Credits that were given, with their time, by organisation.
        self._credits: dict[str, list[tuple[float, float]]] = {}
        self._responses: collections.OrderedDict[
            tuple[str, int], tuple[float, messages.Grant]
        ] = collections.OrderedDict()
        self.counts = collections.Counter[str]()
        self.on_takeover: Callable[[str], None] = lambda organisation: None

    def is_active(self, now: float) -> bool:
        """Returns whether this gateway keeps the quotas that it owns."""
        self.check(now)
        return self._active_since is not None

    def check(self, now: float) -> None:
        """Notices that the process was frozen, was cut off, or is registered.

        It has to be called several times a second.
        """
        self._quorum.advance(now)
        elapsed = now - self._checked_at
        if elapsed < _CHECK_S:
            return
        self._checked_at = now
        if elapsed > _FROZEN_S:
            self._active_since = None
        self.check_membership(now)
        if self._member_since is None or not self._may_be_active(now):
            self._active_since = None
            self._tenures.clear()
        elif self._active_since is None:
            self._active_since = now

    def check_membership(self, now: float) -> None:
        """Notices that this gateway is registered; cheaper than ``check``."""
        if self._name not in self._directory.members:
            self._member_since = None
        elif self._member_since is None:
            self._member_since = now

    def resign(self) -> None:
        """Keeps no quotas any more, since the process will exit."""
        self._has_resigned = True
        self._active_since = None
        self._tenures.clear()

    def _may_be_active(self, now: float) -> bool:
        if self._has_resigned:
            return False
        if self._is_fleet_new(now):
            return True
        has_joined = now - self._member_since >= _JOIN_S
        return has_joined and self._peers.hears_majority(now)

    def _is_fleet_new(self, now: float) -> bool:
        """Returns whether the whole fleet has just started."""
        is_new = now - self._started_at < _NEW_FLEET_S
        return is_new and self._peers.is_fleet_new()

    def handle_members_change(self, now: float) -> None:
        """Ends the tenures that a registration or removal affects."""
        self._members_changed_at = now
        for organisation, tenure in list(self._tenures.items()):
            before = self._list_before(organisation)
            if before is None or not set(tenure.before) <= set(before):
                del self._tenures[organisation]
            elif before != tenure.before and tenure.doubted_at == -math.inf:
                tenure.doubted_at = now

    def handle_ask(
        self, ask: messages.Ask, now: float
    ) -> messages.Grant | None:
        """Returns the response to an ask.

        It is None until the gateways of a better rank were probed. The sender
        repeats the ask.
        """
        known = self._responses.get((ask.sender, ask.number))
        if known is not None:
            return known[1]
        grant = self._decide(ask, now)
        if grant is not None:
            self.counts[grant.verdict.name.lower()] += 1
        return grant

    def _decide(self, ask: messages.Ask, now: float) -> messages.Grant | None:
        quota = self._directory.find_quota(ask.organisation)
        if quota is None:
            return self._respond(
                ask, messages.Verdict.UNLIMITED, ask.tokens + ask.extra
            )
        tenure = self._find_tenure(ask.organisation, quota, now)
        if tenure is None:
            return None
        if isinstance(tenure, messages.Verdict):
            return self._respond(ask, tenure)
        grant = self._grant(ask, tenure.bucket, now)
        self._remember(ask, grant, now)
        return grant

    def _respond(
        self, ask: messages.Ask, verdict: messages.Verdict, tokens: int = 0
    ) -> messages.Grant:
        return messages.Grant(self._name, ask.number, verdict, tokens)

    def _grant(
        self, ask: messages.Ask, bucket: buckets.DebtBucket, now: float
    ) -> messages.Grant:
        if ask.returned:
            bucket.put(ask.returned, now)
        if ask.refused:
            bucket.promise(ask.refused, now)
        if ask.tokens and not bucket.take(ask.tokens, now):
            return messages.Grant(
                self._name,
                ask.number,
                messages.Verdict.DENIED,
                wait_ms=int(bucket.promise(ask.tokens, now) * 1000) + 1,
                blocked_ms=int(bucket.count_wait(1, now) * 1000),
            )
        reserve = bucket.capacity * _RESERVE_SHARE
        promised_s = bucket.count_promised(now)
        if promised_s:
            # Requests are refused anyway, and fewer asks are needed so.
            reserve = 0.0
        extra = bucket.take_extra(ask.extra, reserve, now) if ask.extra else 0
        return messages.Grant(
            self._name,
            ask.number,
            messages.Verdict.GRANTED,
            ask.tokens + extra,
            wait_ms=int(promised_s * 1000),
        )

    def _remember(
        self, ask: messages.Ask, grant: messages.Grant, now: float
    ) -> None:
        """Remembers a response, so that a repeated ask is granted once."""
        self._responses[ask.sender, ask.number] = (now, grant)
        while self._responses:
            at, _ = next(iter(self._responses.values()))
            if now - at <= _MEMORY_S:
                break
            self._responses.popitem(last=False)

    def _list_before(self, organisation: str) -> tuple[str, ...] | None:
        """Returns the gateways of a better rank; None if this one has none."""
        rank = list(self._directory.rank(organisation))
        if self._name not in rank:
            return None
        return tuple(rank[: rank.index(self._name)])

    def _find_tenure(
        self, organisation: str, quota: catalog.Quota, now: float
    ) -> tenures.Tenure | messages.Verdict | None:
        """Returns the quota's bucket, or why this gateway does not keep it.

        None means that gateways of a better rank are being probed.
        """
        if not self.is_active(now):
            return messages.Verdict.INACTIVE
        before = self._list_before(organisation)
        if before is None:
            return messages.Verdict.INACTIVE
        found = [self._peers.check(name, now) for name in before]
        if presence_lib.Presence.ACTIVE in found:
            self._hand_over(organisation, before, found, now)
            return messages.Verdict.REDIRECTED
        if presence_lib.Presence.UNKNOWN in found:
            # The answer to both questions is needed soon.
            self._quorum.require(now)
            return None
        is_recent = any(
            now - self._peers.find_absence(name)[0] < _RECENT_S
            for name in before
        )
        if is_recent and not self._quorum.is_reached(now):
            if not self._quorum.has_lost(now):
                return None
            # Another gateway may keep the quota.
            self._tenures.pop(organisation, None)
            return messages.Verdict.INACTIVE
        return self._keep_tenure(organisation, quota, before, now)

    def _keep_tenure(
        self,
        organisation: str,
        quota: catalog.Quota,
        before: tuple[str, ...],
        now: float,
    ) -> tenures.Tenure:
        """Returns the current tenure, with its bucket filled until now."""
        absences = [self._peers.find_absence(name) for name in before]
        tenure = self._tenures.get(organisation)
        if tenure is None or not tenure.go_on(
            before, absences, self._active_since, now
        ):
            if before:
                self.on_takeover(organisation)
            tenure = self._begin_tenure(
                organisation, quota, before, absences, now
            )
            self._tenures[organisation] = tenure
        elif tenure.bucket.quota != quota:
            tenure.bucket.set_quota(
                quota,
                self._bounds.find_capacity(quota),
                self._bounds.find_debt_limit(quota),
                now,
            )
        if now < tenure.slow_until:
            tenure.bucket.fill(now, _NOTICE_SHARE)
        if not tenure.is_settled and self._is_settled(now):
            tenure.is_settled = True
            if self._is_fleet_new(now):
                tenure.bucket.put(quota.capacity - tenure.credit, now)
        self._require_quorum(tenure.bucket, now)
        return tenure

    def _hand_over(
        self,
        organisation: str,
        before: tuple[str, ...],
        found: list[presence_lib.Presence],
        now: float,
    ) -> None:
        """Leaves a quota, with the tokens that are left, to its owner."""
        tenure = self._tenures.pop(organisation, None)
        if tenure is None:
            return
        owner = before[found.index(presence_lib.Presence.ACTIVE)]
        left = int(tenure.bucket.fill(now))
        if left > 0:
            number = int(now * 1e6)
            self._send(
                owner,
                messages.Ask(self._name, number, organisation, returned=left),
            )

    def _require_quorum(self, bucket: buckets.DebtBucket, now: float) -> None:
        """Lets a busy bucket fill only while most gateways are in reach.

        If they are not, another gateway is about to keep the quota.
        """
        if self._quorum.has_lost(now):
            bucket.skip(now)
        if bucket.fill(now) < bucket.capacity * _BUSY_SHARE:
            self._quorum.require(now)

    def _is_settled(self, now: float) -> bool:
        return now - self._members_changed_at >= _SETTLED_S

    def _begin_tenure(
        self,
        organisation: str,
        quota: catalog.Quota,
        before: tuple[str, ...],
        absences: list[tuple[float, bool]],
        now: float,
    ) -> tenures.Tenure:
        """Begins to keep a quota.

        Nobody else has kept it since all gateways before this one are absent,
        and this one is active and registered as now. The tokens of that time
        were not granted.
        """
        since = max(
            self._active_since,
            self._members_changed_at,
            self._quorum.lost_at,
            *(at for at, _ in absences),
        )
        slow_until = max(
            (at + _NOTICE_S for at, is_silent in absences if is_silent),
            default=since,
        )
        level = self._take_credit(organisation, quota, now)
        is_settled = self._is_settled(now)
        if is_settled and self._is_fleet_new(now):
            level = quota.capacity
        bucket = buckets.DebtBucket(
            quota,
            self._bounds.find_capacity(quota),
            self._bounds.find_debt_limit(quota),
            level,
            since,
        )
        slow_end = min(now, slow_until)
        if slow_end > since:
            bucket.fill(slow_end, _NOTICE_SHARE)
        bucket.fill(now)
        return tenures.Tenure(
            before,
            tuple(at for at, _ in absences),
            self._active_since,
            bucket,
            slow_until,
            level,
            is_settled,
        )

    def _take_credit(
        self,
        organisation: str,
        quota: catalog.Quota,
        now: float,
    ) -> float:
        """Returns the tokens with which a new tenure begins.

        Requests within the quota are not refused then, as they would be with
        an empty bucket. The credit is given once in a window.
        """
        given = [
            (at, tokens)
            for at, tokens in self._credits.get(organisation, ())
            if now - at < self._bounds.window_s
        ]
        used = sum(tokens for _, tokens in given)
        credit = max(0.0, self._bounds.find_credit(quota) - used)
        credit = min(credit, quota.capacity)
        self._credits[organisation] = [*given, (now, credit)]
        return credit
