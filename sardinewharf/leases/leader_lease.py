"""Holds the office of placer of a failure domain under a lease."""

import dataclasses

import msgspec

from sardinewharf import clocks
from sardinewharf import keyvalue

KEY_PREFIX = "sardinewharf/placement/"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderLeaseSettings:
    """Times of a tenure, in seconds.

    Attributes:
        lease_s: Time that the lease lasts.
        margin_s: A holder acts only until this long before its lease ends,
            which covers a call in flight.
        renew_s: The lease is renewed when this much of it is left.
        call_s: Longest wait for the store.
        pause_s: A new holder waits this long, so that what the former holder
            did last lies well before.
    """

    lease_s: float = 6.0
    expiry_margin_s: float = 2.5
    renew_before_s: float = 4.0
    call_timeout_s: float = 1.0
    handover_pause_s: float = 0.0


class LeaseRecord(msgspec.Struct):
    """An office's record in the store.

    Attributes:
        holder: Name of the holder; empty if it resigned.
        quiet_ms: How long nobody had acted when the last holder resigned,
            by its own steady clock; 0 if that is not known.
    """

    holder: str
    quiet_ms: int = 0


def decode_lease_record(value: bytes | None) -> LeaseRecord:
    """Returns an office's record; one that is missing has no holder.

    Examples:
        >>> decode_lease_record(None).holder
        ''
        >>> decode_lease_record(b"not a record").holder
        'unknown'
    """
    if not value:
        return LeaseRecord("")
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.MsgspecError:
        # Whoever wrote it may act; its lease will end.
        return LeaseRecord("unknown")


@dataclasses.dataclass(frozen=True, slots=True)
class _Leadership:
    lease: keyvalue.Lease
    epoch: int
    acts_from: clocks.Deadline


class LeaderLease:
    """One daemon's hold on the office.

    Args:
        kv: The platform's key-value service.
        failure_domain: Which office.
        holder: This daemon's name.
        settings: Times of the lease.
    """

    def __init__(
        self,
        kv: keyvalue.KeyValueStore,
        failure_domain: str,
        holder: str,
        settings: LeaderLeaseSettings | None = None,
    ):
        self._kv = kv
        self._settings = settings or LeaderLeaseSettings()
        self._key = KEY_PREFIX + failure_domain
        self._holder = holder
        self._leadership: _Leadership | None = None
        self._last_action_at: float | None = None

    @property
    def epoch(self) -> int:
        """Rises with each holder; 0 if the office is not held."""
        return self._leadership.epoch if self._leadership else 0

    def find_deadline(self) -> clocks.Deadline | None:
        """Returns when this daemon must stop acting, or None if it may not.

        The deadline is kept by this process's own clock, so that a holder
        that was frozen sees at once that its time is over.
        """
        if self._leadership is None:
            return None
        if not self._leadership.acts_from.is_past():
            return None
        margin = self._settings.expiry_margin_s
        deadline = clocks.Deadline(self._leadership.lease.expires.at - margin)
        return None if deadline.is_past() else deadline

    async def acquire_or_renew(self) -> None:
        """Takes the office if it is free, and renews the lease in time."""
        if self._leadership is None:
            await self._acquire()
            return
        if (
            self._leadership.lease.expires.remaining()
            > self._settings.renew_before_s
        ):
            return
        renewed = await self._kv.renew_lease(
            self._leadership.lease.lease,
            self._settings.lease_s,
            clocks.Deadline.after(self._settings.call_timeout_s),
        )
        if isinstance(renewed, keyvalue.Lease):
            self._leadership = dataclasses.replace(
                self._leadership, lease=renewed
            )
        elif self._leadership.lease.expires.is_past():
            self._leadership = None

    async def _acquire(self) -> None:
        deadline = clocks.Deadline.after(self._settings.call_timeout_s)
        read = await self._kv.read(self._key, deadline)
        if isinstance(read, keyvalue.Unavailable):
            return
        record = decode_lease_record(getattr(read, "value", None))
        if record.holder:
            return
        lease = await self._kv.grant_lease(self._settings.lease_s, deadline)
        if isinstance(lease, keyvalue.Unavailable):
            return
        written = await self._kv.write(
            self._key,
            msgspec.json.encode(LeaseRecord(self._holder)),
            read.revision,
            deadline,
            lease.lease,
        )
        # A lost answer leaves the office empty until the lease ends.
        if isinstance(written, keyvalue.Written):
            pause = self._settings.handover_pause_s - record.quiet_ms / 1000
            acts_from = clocks.Deadline.after(max(0.0, pause))
            self._leadership = _Leadership(lease, written.revision, acts_from)
            self._last_action_at = None

    def record_action(self) -> None:
        """Notes that the holder acts now."""
        self._last_action_at = clocks.read_monotonic()

    async def resign(self) -> None:
        """Leaves the office at once, so that another may take it."""
        leadership, self._leadership = self._leadership, None
        if leadership is None:
            return
        await self._kv.write(
            self._key,
            msgspec.json.encode(
                LeaseRecord("", self._measure_idle_ms(leadership))
            ),
            leadership.epoch,
            clocks.Deadline.after(self._settings.call_timeout_s),
        )

    def _measure_idle_ms(self, leadership: _Leadership) -> int:
        """Returns for how long nobody has acted, at least."""
        now = clocks.read_monotonic()
        last_action_at = self._last_action_at
        if last_action_at is None:
            # What is left of its own pause is left for the next holder.
            last_action_at = (
                leadership.acts_from.at - self._settings.handover_pause_s
            )
        return max(0, int((now - last_action_at) * 1000))

    def step_down(self) -> None:
        """Stops acting at once; the lease runs out by itself."""
        self._leadership = None
