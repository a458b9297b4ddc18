"""Client for the platform's key-value store."""

import base64
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
from typing import TypeVar
import urllib.parse

import msgspec

from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf import keyvalue
from sardinewharf import memory
from sardinewharf.platform import calls
from sardinewharf.platform import items
from sardinewharf.platform import wire

_MAX_CONNECTIONS = 8
# The response to a watch may arrive this long after the requested wait.
_RESPONSE_GRACE_S = 0.6
_MAX_WAIT_MS = 30_000
_MIN_LEASE_MS = 1_000
_Result = TypeVar("_Result")


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    """A page of keys, decoded; the fields are those of ``wire.Range``."""

    items: list[wire.Item]
    store_revision: int
    more_pages: bool


class StoreClient(keyvalue.PrefixStore):
    """Client for the platform's store.

    Args:
        address: ``IP:PORT`` of the store.
        account: Account of the memory that responses take; None for no limit
            on all of them together.

    Attributes:
        calls: Number of calls made so far; each call has a price.
    """

    def __init__(
        self, address: str, account: memory.MemoryAccount | None = None
    ):
        self._pool = http1.Pool(
            address, _MAX_CONNECTIONS, account, memory.Use.CONTROL
        )
        self.calls = 0
        # The store's newest revision in a response. Calls that are sent later
        # read that one or a later one.
        self._revision = 0

    async def read(
        self, key: str, deadline: clocks.Deadline
    ) -> keyvalue.ReadResult:
        """Returns the record of a key."""
        query = urllib.parse.urlencode({"key": key})
        revision = self._revision

        def read_item(reply: calls.Reply) -> keyvalue.ReadResult:
            if reply.status == 404:
                return keyvalue.Absent()
            item = _decode_success(reply, wire.StoredItem)
            _check_keys([item.key], key, is_prefix=False)
            self._check_revision(item.store_revision, revision)
            return keyvalue.Record(_decode_value(item), item.rev)

        try:
            return await self._get(f"/-/kv-key?{query}", read_item, deadline)
        except calls.CallError as error:
            return keyvalue.Unavailable(str(error))

    async def watch(
        self, key: str, revision: int, deadline: clocks.Deadline
    ) -> keyvalue.ReadResult:
        """Returns the record once its revision is above ``revision``.

        At the deadline, the record is returned as it is.
        """
        changes = await self.watch_prefix(key, revision, deadline)
        if isinstance(changes, keyvalue.Unavailable):
            return changes
        return await self.read(key, clocks.Deadline.after(_RESPONSE_GRACE_S))

    async def write(
        self,
        key: str,
        value: bytes,
        revision: int,
        deadline: clocks.Deadline,
        lease: str | None = None,
    ) -> keyvalue.WriteResult:
        """Stores ``value`` if the key is still at ``revision``."""
        put = wire.Put(
            key, base64.b64encode(value).decode(), int(lease) if lease else 0
        )
        return await self._commit(
            wire.Txn([wire.Condition(key, revision)], [put], []), deadline
        )

    async def delete(
        self, key: str, revision: int, deadline: clocks.Deadline
    ) -> keyvalue.WriteResult:
        """Deletes a key if it is still at ``revision``."""
        return await self._commit(
            wire.Txn([wire.Condition(key, revision)], [], [key]), deadline
        )

    async def list_prefix(
        self, prefix: str, deadline: clocks.Deadline
    ) -> keyvalue.Listing | keyvalue.Unavailable:
        """Returns all keys with the prefix."""
        found: list[wire.Item] = []
        revision: int | None = None
        after = ""
        while True:
            try:
                page = await self._read_page(prefix, after, deadline)
            except calls.CallError as error:
                return keyvalue.Unavailable(str(error))
            found += page.items
            # Later pages may contain later changes. A watch that continues
            # from the first page's revision returns those changes again.
            if revision is None:
                revision = page.store_revision
            if not page.more_pages or not page.items:
                return keyvalue.Listing(items.make_entries(found), revision)
            after = page.items[-1].key

    async def _read_page(
        self, prefix: str, after: str, deadline: clocks.Deadline
    ) -> _Page:
        """Returns the page of keys that begins after a key.

        Raises:
            CallError: If there is no such response.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix} | ({"after": after} if after else {})
        )
        revision = self._revision

        def read_page(reply: calls.Reply) -> _Page:
            page = _decode_success(reply, wire.Range)
            found = items.decode_items(page.items)
            if page.items and not found:
                raise calls.CallError("no item can be decoded", was_sent=True)
            _check_keys([item.key for item in found], prefix, after=after)
            self._check_revision(page.store_revision, revision)
            return _Page(found, page.store_revision, page.more_pages)

        return await self._get(f"/-/kv-range?{query}", read_page, deadline)

    async def watch_prefix(
        self, prefix: str, revision: int, until: clocks.Deadline
    ) -> keyvalue.Changes | keyvalue.HistoryLost | keyvalue.Unavailable:
        """Waits for changes after a revision and returns them."""
        # A watch that ends before `until` confirms nothing up to it.
        wait_ms = min(_MAX_WAIT_MS, max(1, math.ceil(until.remaining() * 1000)))
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": revision, "wait_ms": wait_ms}
        )

        def read_changes(
            reply: calls.Reply,
        ) -> keyvalue.Changes | keyvalue.HistoryLost:
            if reply.status == 410:
                return keyvalue.HistoryLost()
            found = _decode_success(reply, wire.Watch)
            events = items.decode_items(found.events)
            _check_keys([event.key for event in events], prefix)
            # It need not be the store's newest revision.
            self._check_revision(found.store_revision, revision)
            if any(event.rev <= revision for event in events):
                raise _make_mismatch("older changes")
            return keyvalue.Changes(
                items.make_entries(events), found.store_revision
            )

        try:
            return await self._get(
                f"/-/kv-watch?{query}",
                read_changes,
                clocks.Deadline(until.at + _RESPONSE_GRACE_S),
            )
        except calls.TooLargeError:
            # The next watch would return the same changes and more.
            return keyvalue.HistoryLost()
        except calls.CallError as error:
            return keyvalue.Unavailable(str(error))

    async def grant_lease(
        self, seconds: float, deadline: clocks.Deadline
    ) -> keyvalue.Lease | keyvalue.Unavailable:
        """Returns a new lease that ends after ``seconds``.

        The store is asked for at least one second, even if the returned lease
        ends earlier.
        """
        expires = clocks.Deadline.after(seconds)
        ttl_ms = max(_MIN_LEASE_MS, int(seconds * 1000))
        try:
            reply = await self._post(
                "/-/kv-lease", wire.LeaseRequest(ttl_ms), deadline
            )
            granted = _decode_success(reply, wire.GrantResponse)
        except calls.CallError as error:
            return keyvalue.Unavailable(str(error))
        return keyvalue.Lease(str(granted.lease), expires)

    async def renew_lease(
        self, lease: str, seconds: float, deadline: clocks.Deadline
    ) -> keyvalue.Lease | keyvalue.Unavailable:
        """Returns the renewed lease."""
        expires = clocks.Deadline.after(seconds)
        try:
            reply = await self._post(f"/-/kv-keep/{lease}", None, deadline)
            _decode_success(reply, wire.RenewalResponse)
        except calls.CallError as error:
            return keyvalue.Unavailable(str(error))
        return keyvalue.Lease(lease, expires)

    async def close(self) -> None:
        """Closes all connections."""
        self._pool.close()

    async def _commit(
        self, txn: wire.Txn, deadline: clocks.Deadline
    ) -> keyvalue.WriteResult:
        """Sends a transaction and returns whether it took effect."""
        try:
            reply = await self._post("/-/kv-txn", txn, deadline)
            if reply.status == 200:
                committed = calls.decode(reply.body, wire.TxnResponse)
                self._revision = max(self._revision, committed.rev)
                return keyvalue.Written(committed.rev)
        except calls.CallError as error:
            if error.was_sent:
                return keyvalue.WriteUnknown(str(error))
            return keyvalue.Rejected(str(error))
        if reply.status == 412:
            return keyvalue.Conflict(0)
        if reply.status in (400, 403, 404, 429, 503):
            return keyvalue.Rejected(f"status {reply.status}")
        return keyvalue.WriteUnknown(f"status {reply.status}")

    def _check_revision(self, found: int, oldest: int) -> None:
        """Records the store's revision in a response.

        Raises:
            CallError: If the store had a newer one when the call was sent.
        """
        if found < oldest:
            raise _make_mismatch(f"revision {found} is older than {oldest}")
        self._revision = max(self._revision, found)

    async def _get(
        self,
        path: str,
        read: Callable[[calls.Reply], _Result],
        deadline: clocks.Deadline,
    ) -> _Result:
        """Sends a call whose response shows what it is about."""
        self.calls += 1
        return await calls.call(
            self._pool, b"GET", path, b"", deadline, read=read
        )

    async def _post(
        self,
        path: str,
        message: msgspec.Struct | None,
        deadline: clocks.Deadline,
    ) -> calls.Reply:
        """Sends a call whose response does not show what it is about.

        The call has a connection of its own.
        """
        self.calls += 1
        body = b"" if message is None else msgspec.json.encode(message)
        return await calls.call(
            self._pool, b"POST", path, body, deadline, is_alone=True
        )


def _make_mismatch(detail: str) -> calls.CallError:
    """Returns the error that a response is not the one to its call."""
    return calls.CallError(f"the response to another call: {detail}", True)


def _check_keys(
    keys: Iterable[str], asked: str, after: str = "", is_prefix: bool = True
) -> None:
    """Checks that a response is about the keys that were asked for.

    Args:
        keys: The keys in the response.
        asked: The key, or the prefix of the keys.
        after: The keys begin after this one.
        is_prefix: Whether ``asked`` is a prefix.

    Raises:
        CallError: If it is about others.
    """
    for key in keys:
        is_asked = key.startswith(asked) if is_prefix else key == asked
        if not is_asked or key <= after:
            raise _make_mismatch(f"key {key}")


def _decode_success(reply: calls.Reply, kind: type[_Result]) -> _Result:
    """Returns the message in a response with status 200.

    Raises:
        CallError: If the response has another status or holds no such message.
    """
    if reply.status != 200:
        raise calls.CallError(f"status {reply.status}", was_sent=False)
    return calls.decode(reply.body, kind)


def _decode_value(item: wire.Item) -> bytes:
    """Returns an item's value.

    Raises:
        CallError: If it is no base64.
    """
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise calls.CallError(
            f"cannot decode the value of {item.key}: {error}", was_sent=True
        ) from error
