"""Elects a leader by a leased record in the key-value service.

At most one process at a time holds the record of a lease name. Only that
process may act as the leader, and only while its lease lasts.
"""

import asyncio
import dataclasses

import msgspec

from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import keyvalue
from sardinewharf.leases import tenures

# Prefix of the keys of lease records in the key-value service.
KEY_PREFIX = "sardinewharf/placement/"
# Holder of a lease whose record cannot be decoded.
UNKNOWN_HOLDER = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderLeaseSettings:
    """Durations of a leader lease, in seconds.

    Attributes:
        lease_s: Time until the lease expires unless it is renewed.
        expiry_margin_s: The holder stops acting this long before its lease
            expires, so that calls in flight end in time.
        renew_before_s: The lease is renewed once this much of it or less is
            left.
        call_timeout_s: Timeout of each renewal, acquisition and resignation.
        handover_pause_s: A new holder starts to act at least this long after
            the last action of the former one.
    """

    lease_s: float = 6.0
    expiry_margin_s: float = 2.5
    renew_before_s: float = 4.0
    call_timeout_s: float = 1.0
    handover_pause_s: float = 0.0


class LeaseRecord(msgspec.Struct):
    """The record of a leader lease in the store.

    Attributes:
        holder: Name of the holder; empty if it resigned.
        quiet_ms: Time since the last action of any holder, at the time when
            the last one resigned, by its monotonic clock; 0 if not known.
        has_acted: Whether the holder may have acted. Earlier versions do not
            say so.
    """

    holder: str
    quiet_ms: decoding.Integer = 0
    has_acted: bool = True


def decode_lease_record(value: bytes | None) -> LeaseRecord:
    """Returns a decoded lease record; a missing one has no holder.

    Examples:
        >>> decode_lease_record(None).holder
        ''
        >>> decode_lease_record(b"not a record").holder
        'unknown'
    """
    if not value:
        return LeaseRecord("")
    try:
        return decoding.decode_json(value, LeaseRecord)
    except decoding.DecodeError:
        # The process that wrote it may be acting until its lease expires.
        return LeaseRecord(UNKNOWN_HOLDER)


@dataclasses.dataclass(frozen=True, slots=True)
class _Leadership:
    """A lease that this process holds.

    Attributes:
        lease: The lease that the record is attached to.
        epoch: Revision at which the record was acquired, which is the fencing
            token.
        acts_from: When the pause after the former holder ends at the latest.
        revision: Revision of the record now.
        is_marked: Whether the record says that this process may have acted.
    """

    lease: keyvalue.Lease
    epoch: int
    acts_from: clocks.Deadline
    revision: int
    is_marked: bool = False


class LeaderLease:
    """Acquires, renews and gives up one leader lease.

    Args:
        kv: The platform's key-value service.
        lease_name: Name of the lease, such as a failure domain; completes the
            key of its record.
        holder: Name of this process.
        settings: Durations of the lease.

    Attributes:
        tenures: When other holders can have acted last; whoever observes the
            record feeds it.
    """

    def __init__(
        self,
        kv: keyvalue.KeyValueStore,
        lease_name: str,
        holder: str,
        settings: LeaderLeaseSettings | None = None,
    ):
        self._kv = kv
        self._settings = settings or LeaderLeaseSettings()
        self._key = KEY_PREFIX + lease_name
        self._holder = holder
        self._leadership: _Leadership | None = None
        self._last_action_at: float | None = None
        self.tenures = tenures.TenureLog(holder, self._settings.expiry_margin_s)
        # Whether a record under this name is that of a former process.
        self._has_tried = False
        # A resignation waits until no acquisition or renewal is in progress,
        # whose response would come after it.
        self._calls = asyncio.Lock()

    @property
    def epoch(self) -> int:
        """Fencing token: higher for each new holder; 0 while not held."""
        return self._leadership.epoch if self._leadership else 0

    def find_deadline(self) -> clocks.Deadline | None:
        """Returns when this process must stop acting; None if it may not act.

        The deadline is on this process's own monotonic clock, so a holder
        that was suspended finds at once that its lease has expired.
        """
        if self._leadership is None:
            return None
        if not self._find_acts_from(self._leadership).is_past():
            return None
        margin = self._settings.expiry_margin_s
        deadline = clocks.Deadline(self._leadership.lease.expires.at - margin)
        return None if deadline.is_past() else deadline

    def _find_acts_from(self, leadership: _Leadership) -> clocks.Deadline:
        """Returns when the pause after the last action of others ends.

        What was observed counts once it includes this tenure's record, and so
        all states before it.
        """
        if self.tenures.revision < leadership.epoch:
            return leadership.acts_from
        last_action_at = self.tenures.find_last_action(clocks.read_monotonic())
        return leadership.acts_from.earlier(
            clocks.Deadline(last_action_at + self._settings.handover_pause_s)
        )

    def may_take_over(self, holder: str) -> bool:
        """Returns whether a lease that is held may be acquired all the same.

        It may if a former process of this name holds it, which has ended: both
        are the same holder to those that get orders.
        """
        return holder == self._holder and not self._has_tried

    def may_act_soon(self) -> bool:
        """Returns whether the pause would not begin anew with this holder."""
        now = clocks.read_monotonic()
        last_action_at = self.tenures.find_last_action(now)
        return now - last_action_at >= self._settings.expiry_margin_s

    async def acquire_or_renew(self) -> None:
        """Acquires the lease if nobody holds it, or renews it when due."""
        async with self._calls:
            if self._leadership is None:
                await self._acquire()
            else:
                await self._renew(self._leadership)

    async def _renew(self, leadership: _Leadership) -> None:
        """Renews the lease of a tenure, unless the tenure ends meanwhile."""
        expires = leadership.lease.expires
        if expires.remaining() > self._settings.renew_before_s:
            return
        renewed = await self._kv.renew_lease(
            leadership.lease.lease,
            self._settings.lease_s,
            clocks.Deadline.after(self._settings.call_timeout_s),
        )
        if self._leadership is not leadership:
            return
        if isinstance(renewed, keyvalue.Lease):
            self._leadership = dataclasses.replace(leadership, lease=renewed)
        elif expires.is_past():
            self._leadership = None

    async def _acquire(self) -> None:
        """Writes this process into the lease record if nobody holds it."""
        deadline = clocks.Deadline.after(self._settings.call_timeout_s)
        read = await self._kv.read(self._key, deadline)
        if isinstance(read, keyvalue.Unavailable):
            return
        record = decode_lease_record(getattr(read, "value", None))
        if record.holder and not self.may_take_over(record.holder):
            return
        is_own = bool(record.holder)
        lease = await self._kv.grant_lease(self._settings.lease_s, deadline)
        if isinstance(lease, keyvalue.Unavailable):
            return
        self._has_tried = True
        written = await self._kv.write(
            self._key,
            msgspec.json.encode(LeaseRecord(self._holder, has_acted=False)),
            read.revision,
            deadline,
            lease.lease,
        )
        # If the response is lost, the record stays under this holder's name,
        # but nobody acts as the leader until the lease expires.
        if isinstance(written, keyvalue.Written):
            pause = self._settings.handover_pause_s - record.quiet_ms / 1000
            if is_own and record.has_acted:
                # No other holder has acted since.
                pause = 0.0
            acts_from = clocks.Deadline.after(max(0.0, pause))
            self._leadership = _Leadership(
                lease, written.revision, acts_from, written.revision
            )
            self._last_action_at = None

    async def prepare_action(self) -> bool:
        """Marks the record before the first action of a tenure.

        Returns:
            Whether this process may act. If not, it may try again.
        """
        if self._leadership is not None and self._leadership.is_marked:
            # It need not wait for a renewal in progress.
            return True
        async with self._calls:
            leadership = self._leadership
            if leadership is None or leadership.is_marked:
                return leadership is not None
            written = await self._kv.write(
                self._key,
                msgspec.json.encode(LeaseRecord(self._holder)),
                leadership.revision,
                clocks.Deadline.after(self._settings.call_timeout_s),
                leadership.lease.lease,
            )
            if self._leadership is not leadership:
                return False
            if isinstance(written, keyvalue.Written):
                self._leadership = dataclasses.replace(
                    leadership, revision=written.revision, is_marked=True
                )
                return True
            if isinstance(written, keyvalue.Rejected):
                return False
            return await self._read_mark(leadership)

    async def _read_mark(self, leadership: _Leadership) -> bool:
        """Reads whether a mark took effect whose response was none.

        If the record is another holder's, the tenure ends.
        """
        read = await self._kv.read(
            self._key, clocks.Deadline.after(self._settings.call_timeout_s)
        )
        if isinstance(read, keyvalue.Unavailable):
            return False
        if self._leadership is not leadership:
            return False
        record = decode_lease_record(getattr(read, "value", None))
        if record.holder != self._holder:
            self._leadership = None
            return False
        self._leadership = dataclasses.replace(
            leadership, revision=read.revision, is_marked=record.has_acted
        )
        return record.has_acted

    def record_action(self) -> None:
        """Records that this process acts as the leader now."""
        self._last_action_at = clocks.read_monotonic()

    async def resign(self) -> None:
        """Gives up the lease, so that another process can take it at once."""
        async with self._calls:
            leadership, self._leadership = self._leadership, None
            if leadership is None:
                return
            idle_ms = self._measure_idle_ms(leadership)
            await self._kv.write(
                self._key,
                msgspec.json.encode(LeaseRecord("", idle_ms)),
                leadership.revision,
                clocks.Deadline.after(self._settings.call_timeout_s),
            )

    def _measure_idle_ms(self, leadership: _Leadership) -> int:
        """Returns a lower bound of the time since any holder last acted."""
        now = clocks.read_monotonic()
        last_action_at = self._last_action_at
        if last_action_at is None:
            # A holder that never acted hands the rest of its own pause on to
            # the next one.
            last_action_at = (
                self._find_acts_from(leadership).at
                - self._settings.handover_pause_s
            )
        return max(0, int((now - last_action_at) * 1000))

    def step_down(self) -> None:
        """Stops acting at once and lets the lease expire."""
        self._leadership = None
