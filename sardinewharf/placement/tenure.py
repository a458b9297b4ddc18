"""Holds the office of placer of a failure domain under a lease."""

import dataclasses

from sardinewharf import clocks
from sardinewharf import keyvalue

_KEY_PREFIX = "sardinewharf/placement/"
_LEASE_S = 6.0
# A holder acts only this long before its lease ends, which covers a call in
# flight.
_MARGIN_S = 2.5
_RENEW_S = 4.0
_CALL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    lease: keyvalue.Lease
    epoch: int


class Tenure:
    """One daemon's hold on the office.

    Args:
        kv: The platform's key-value service.
        failure_domain: Which office.
        holder: This daemon's name.
    """

    def __init__(
        self, kv: keyvalue.KeyValueStore, failure_domain: str, holder: str
    ):
        self._kv = kv
        self._key = _KEY_PREFIX + failure_domain
        self._holder = holder.encode()
        self._held: _Held | None = None

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
        deadline = clocks.Deadline(self._held.lease.expires.at - _MARGIN_S)
        return None if deadline.is_past() else deadline

    async def keep(self) -> None:
        """Takes the office if it is free, and renews the lease in time."""
        if self._held is None:
            await self._take()
            return
        if self._held.lease.expires.remaining() > _RENEW_S:
            return
        renewed = await self._kv.renew_lease(
            self._held.lease.lease, _LEASE_S, clocks.Deadline.after(_CALL_S)
        )
        if isinstance(renewed, keyvalue.Lease):
            self._held = dataclasses.replace(self._held, lease=renewed)
        elif self._held.lease.expires.is_past():
            self._held = None

    async def _take(self) -> None:
        deadline = clocks.Deadline.after(_CALL_S)
        read = await self._kv.read(self._key, deadline)
        if not isinstance(read, keyvalue.Absent):
            return
        lease = await self._kv.grant_lease(_LEASE_S, deadline)
        if isinstance(lease, keyvalue.Unavailable):
            return
        written = await self._kv.write(
            self._key, self._holder, read.revision, deadline, lease.lease
        )
        # A lost answer leaves the office empty until the lease ends.
        if isinstance(written, keyvalue.Written):
            self._held = _Held(lease, written.revision)
