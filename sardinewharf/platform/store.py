"""Client for the platform's key-value store."""

import base64
import binascii
from typing import TypeVar
import urllib.parse

import msgspec

from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf import keyvalue
from sardinewharf.platform import calls
from sardinewharf.platform import wire

_MAX_CONNECTIONS = 8
# The response to a watch may arrive this long after the requested wait.
_RESPONSE_GRACE_S = 0.6
_MAX_WAIT_MS = 30_000
_MIN_LEASE_MS = 1_000
_Body = TypeVar("_Body")


class StoreClient(keyvalue.PrefixStore):
    """Client for the platform's store.

    Args:
        address: ``IP:PORT`` of the store.

    Attributes:
        calls: Number of calls made so far; each call has a price.
    """

    def __init__(self, address: str):
        self._pool = http1.Pool(address, _MAX_CONNECTIONS)
        self.calls = 0

    async def read(
        self, key: str, deadline: clocks.Deadline
    ) -> keyvalue.ReadResult:
        """Returns the record of a key."""
        query = urllib.parse.urlencode({"key": key})
        try:
            status, body = await self._call(
                b"GET", f"/-/kv-key?{query}", None, deadline
            )
            if status == 404:
                return keyvalue.Absent()
            if status != 200:
                return keyvalue.Unavailable(f"status {status}")
            item = calls.decode(body, wire.Item)
            return keyvalue.Record(base64.b64decode(item.value), item.rev)
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
        items: list[wire.Item] = []
        revision: int | None = None
        after = ""
        while True:
            query = urllib.parse.urlencode(
                {"prefix": prefix} | ({"after": after} if after else {})
            )
            try:
                page = await self._get(
                    f"/-/kv-range?{query}", wire.Range, deadline
                )
            except calls.CallError as error:
                return keyvalue.Unavailable(str(error))
            items += page.items
            # Later pages may contain later changes. A watch that continues
            # from the first page's revision returns those changes again.
            if revision is None:
                revision = page.store_revision
            if not page.more_pages or not page.items:
                return keyvalue.Listing(_decode_entries(items), revision)
            after = page.items[-1].key

    async def watch_prefix(
        self, prefix: str, revision: int, until: clocks.Deadline
    ) -> keyvalue.Changes | keyvalue.HistoryLost | keyvalue.Unavailable:
        """Waits for changes after a revision and returns them."""
        wait_ms = min(_MAX_WAIT_MS, max(1, int(until.remaining() * 1000)))
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": revision, "wait_ms": wait_ms}
        )
        response_deadline = clocks.Deadline(until.at + _RESPONSE_GRACE_S)
        try:
            status, body = await self._call(
                b"GET", f"/-/kv-watch?{query}", None, response_deadline
            )
            if status == 410:
                return keyvalue.HistoryLost()
            if status != 200:
                return keyvalue.Unavailable(f"status {status}")
            found = calls.decode(body, wire.Watch)
        except calls.CallError as error:
            return keyvalue.Unavailable(str(error))
        return keyvalue.Changes(
            _decode_entries(found.events), found.store_revision
        )

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
            lease_response = await self._post(
                "/-/kv-lease",
                wire.LeaseRequest(ttl_ms),
                wire.LeaseResponse,
                deadline,
            )
        except calls.CallError as error:
            return keyvalue.Unavailable(str(error))
        return keyvalue.Lease(str(lease_response.lease), expires)

    async def renew_lease(
        self, lease: str, seconds: float, deadline: clocks.Deadline
    ) -> keyvalue.Lease | keyvalue.Unavailable:
        """Returns the renewed lease."""
        expires = clocks.Deadline.after(seconds)
        try:
            await self._post(
                f"/-/kv-keep/{lease}", None, wire.LeaseResponse, deadline
            )
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
            status, body = await self._call(
                b"POST", "/-/kv-txn", msgspec.json.encode(txn), deadline
            )
            if status == 200:
                return keyvalue.Written(
                    calls.decode(body, wire.TxnResponse).rev
                )
        except calls.CallError as error:
            if error.was_sent:
                return keyvalue.WriteUnknown(str(error))
            return keyvalue.Rejected(str(error))
        if status == 412:
            return keyvalue.Conflict(0)
        if status in (400, 403, 404, 429, 503):
            return keyvalue.Rejected(f"status {status}")
        return keyvalue.WriteUnknown(f"status {status}")

    async def _get(
        self, path: str, kind: type[_Body], deadline: clocks.Deadline
    ) -> _Body:
        return await self._exchange(b"GET", path, None, kind, deadline)

    async def _post(
        self,
        path: str,
        message: msgspec.Struct | None,
        kind: type[_Body],
        deadline: clocks.Deadline,
    ) -> _Body:
        request_body = None if message is None else msgspec.json.encode(message)
        return await self._exchange(b"POST", path, request_body, kind, deadline)

    async def _exchange(
        self,
        method: bytes,
        path: str,
        request_body: bytes | None,
        kind: type[_Body],
        deadline: clocks.Deadline,
    ) -> _Body:
        """Returns the decoded body of a response with status 200.

        Raises:
            CallError: If there is no such response.
        """
        status, body = await self._call(method, path, request_body, deadline)
        if status != 200:
            raise calls.CallError(f"status {status}", was_sent=False)
        return calls.decode(body, kind)

    async def _call(
        self,
        method: bytes,
        path: str,
        body: bytes | None,
        deadline: clocks.Deadline,
    ) -> tuple[int, bytes]:
        """Sends a call; returns the status and the body of its response."""
        self.calls += 1
        reply = await calls.call(
            self._pool, method, path, body or b"", deadline
        )
        return reply.status, reply.body


def _decode_entries(items: list[wire.Item]) -> tuple[keyvalue.Entry, ...]:
    return tuple(_decode_entry(item) for item in items)


def _decode_entry(item: wire.Item) -> keyvalue.Entry:
    if item.deleted:
        return keyvalue.Entry(item.key, None, item.rev)
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # An empty value is rejected and logged where the entry is decoded.
        value = b""
    return keyvalue.Entry(item.key, value, item.rev)
