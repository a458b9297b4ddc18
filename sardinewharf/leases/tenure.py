"""Holds the office of placer of a failure domain under a lease."""

import dataclasses

import msgspec

from sardinewharf import clocks
from sardinewharf import keyvalue

KEY_PREFIX = "sardinewharf/placement/"


@dataclasses.dataclass(frozen=True, slots=True)
class TenureSettings:
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
    margin_s: float = 2.5
    renew_s: float = 4.0
    call_s: float = 1.0
    pause_s: float = 0.0


class Office(msgspec.Struct):
    """An office's record in the store.

    Attributes:
        holder: Name of the holder; empty if it resigned.
        quiet_ms: How long nobody had acted when the last holder resigned,
            by its own steady clock; 0 if that is not known.
    """

    holder: str
    quiet_ms: int = 0


def decode_office(value: bytes | None) -> Office:
    """Returns an office's record; one that is missing has no holder.

    Examples:
        >>> decode_office(None).holder
        ''
        >>> decode_office(b"not a record").holder
        'unknown'
    """
    if not value:
        return Office("")
    try:
        return msgspec.json.decode(value, type=Office)
    except msgspec.MsgspecError:
        # Whoever wrote it may act; its lease will end.
        return Office("unknown")


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    lease: keyvalue.Lease
    epoch: int
    acts_from: clocks.Deadline


class Tenure:
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
        settings: TenureSettings | None = None,
    ):
        self._kv = kv
        self._settings = settings or TenureSettings()
        self._key = KEY_PREFIX + failure_domain
        self._holder = holder
        self._held: _Held | None = None
        self._last_act_at: float | None = None

    @property
    def epoch(self) -> int:
        """Rises with each holder; 0 if the office is not held."""
        return self._held.epoch if self._held else 0

    def find_deadline(self) -> clocks.Deadline | None:
        """Returns when this daemon must stop acting, or None if it may not.

        The deadline is kept by this process's own clock, so that a holder
        that was frozen sees at once that its time is over.
        """
        if self._held is None:
            return None
        if not self._held.acts_from.is_past():
            return None
        margin = self._settings.margin_s
        deadline = clocks.Deadline(self._held.lease.expires.at - margin)
        return None if deadline.is_past() else deadline

    async def keep(self) -> None:
        """Takes the office if it is free, and renews the lease in time."""
        if self._held is None:
            await self._take()
            return
        if self._held.lease.expires.remaining() > self._settings.renew_s:
            return
        renewed = await self._kv.renew_lease(
            self._held.lease.lease,
            self._settings.lease_s,
            clocks.Deadline.after(self._settings.call_s),
        )
        if isinstance(renewed, keyvalue.Lease):
            self._held = dataclasses.replace(self._held, lease=renewed)
        elif self._held.lease.expires.is_past():
            self._held = None

    async def _take(self) -> None:
        deadline = clocks.Deadline.after(self._settings.call_s)
        read = await self._kv.read(self._key, deadline)
        if isinstance(read, keyvalue.Unavailable):
            return
        office = decode_office(getattr(read, "value", None))
        if office.holder:
            return
        lease = await self._kv.grant_lease(self._settings.lease_s, deadline)
        if isinstance(lease, keyvalue.Unavailable):
            return
        written = await self._kv.write(
            self._key,
            msgspec.json.encode(Office(self._holder)),
            read.revision,
            deadline,
            lease.lease,
        )
        # A lost answer leaves the office empty until the lease ends.
        if isinstance(written, keyvalue.Written):
            pause = self._settings.pause_s - office.quiet_ms / 1000
            acts_from = clocks.Deadline.after(max(0.0, pause))
            self._held = _Held(lease, written.revision, acts_from)
            self._last_act_at = None

    def note_act(self) -> None:
        """Notes that the holder acts now."""
        self._last_act_at = clocks.read_monotonic()

    async def resign(self) -> None:
        """Leaves the office at once, so that another may take it."""
        held, self._held = self._held, None
        if held is None:
            return
        await self._kv.write(
            self._key,
            msgspec.json.encode(Office("", self._count_quiet_ms(held))),
            held.epoch,
            clocks.Deadline.after(self._settings.call_s),
        )

    def _count_quiet_ms(self, held: _Held) -> int:
        """Returns for how long nobody has acted, at least."""
        now = clocks.read_monotonic()
        last = self._last_act_at
        if last is None:
            # What is left of its own pause is left for the next holder.
            last = held.acts_from.at - self._settings.pause_s
        return max(0, int((now - last) * 1000))

    def abandon(self) -> None:
        """Stops acting at once; the lease runs out by itself."""
        self._held = None
