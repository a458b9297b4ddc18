"""HTTP client of the key-value service.

The wire format is specified in docs/PROTOCOLS.md.
"""

import asyncio
from collections.abc import Mapping

import aiohttp
import msgspec

from sardinewharf import clients
from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf.keyvalue import store

_REVISION_HEADER = "Revision"
_IF_REVISION_HEADER = "If-Revision"
_LEASE_HEADER = "Lease"
# How long after the requested wait the response to a watch may arrive.
_WATCH_GRACE_S = 2.0
_CONNECT_ERRORS = (aiohttp.ClientConnectorError,)
_RESPONSE_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    decoding.DecodeError,
)


class _LeaseResponse(msgspec.Struct):
    """A lease that was granted or renewed."""

    lease: str


class HttpKeyValueStore(store.KeyValueStore):
    """A key-value service with one HTTP address per replica.

    Args:
        addresses: ``HOST:PORT`` of each replica. After a failed request the
            next one is used.
        source_address: Local IP address to connect from; empty for any.

    Attributes:
        calls: Number of calls made so far.
    """

    def __init__(
        self, addresses: tuple[store.KvAddress, ...], source_address: str = ""
    ):
        self._source_address = source_address
        self._addresses = addresses
        self._session: aiohttp.ClientSession | None = None
        self._address_index = 0
        self.calls = 0

    async def read(
        self, key: str, deadline: clocks.Deadline
    ) -> store.ReadResult:
        """Returns the record of a key."""
        return await self._read(f"/v1/keys/{key}", deadline)

    async def watch(
        self, key: str, revision: int, deadline: clocks.Deadline
    ) -> store.ReadResult:
        """Returns the record once its revision is above ``revision``."""
        wait_ms = int(deadline.remaining() * 1000)
        path = f"/v1/watch/{key}?after={revision}&wait_ms={wait_ms}"
        response_deadline = clocks.Deadline(deadline.at + _WATCH_GRACE_S)
        return await self._read(path, response_deadline)

    async def write(
        self,
        key: str,
        value: bytes,
        revision: int,
        deadline: clocks.Deadline,
        lease: str | None = None,
    ) -> store.WriteResult:
        """Stores ``value`` if the key is still at ``revision``."""
        headers = {_IF_REVISION_HEADER: str(revision)}
        if lease is not None:
            headers[_LEASE_HEADER] = lease
        trace = clients.SendTrace()
        try:
            async with self._request(
                "PUT",
                f"/v1/keys/{key}",
                deadline,
                data=value,
                headers=headers,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                if response.status != 200 and trace.sends > 1:
                    # What is said of the repetition says nothing of the first.
                    return store.WriteUnknown(f"status {response.status}")
                if response.status == 200:
                    return store.Written(_read_revision(response.headers))
                if response.status == 409:
                    return store.Conflict(_read_revision(response.headers))
                if response.status in (413, 429, 503):
                    return store.Rejected(f"status {response.status}")
                return store.WriteUnknown(f"status {response.status}")
        except _CONNECT_ERRORS as error:
            self._address_index += 1
            if trace.sends:
                return store.WriteUnknown(type(error).__name__)
            return store.Rejected(f"not connected: {error.os_error}")
        except _RESPONSE_ERRORS as error:
            self._address_index += 1
            return store.WriteUnknown(type(error).__name__)

    async def grant_lease(
        self, seconds: float, deadline: clocks.Deadline
    ) -> store.Lease | store.Unavailable:
        """Returns a new lease that ends after ``seconds`` unless renewed."""
        return await self._request_lease("/v1/leases", seconds, deadline)

    async def renew_lease(
        self, lease: str, seconds: float, deadline: clocks.Deadline
    ) -> store.Lease | store.Unavailable:
        """Returns the lease, extended to end after ``seconds``."""
        return await self._request_lease(
            f"/v1/leases/{lease}", seconds, deadline
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def _request_lease(
        self, path: str, seconds: float, deadline: clocks.Deadline
    ) -> store.Lease | store.Unavailable:
        """Grants or renews a lease by a request to ``path``."""
        expires = clocks.Deadline.after(seconds)
        body = msgspec.json.encode({"ttl_ms": int(seconds * 1000)})
        try:
            async with self._request(
                "POST", path, deadline, data=body
            ) as response:
                if response.status != 200:
                    return store.Unavailable(f"status {response.status}")
                body = await clients.read_body(response)
                granted = decoding.decode_json(body, _LeaseResponse)
                return store.Lease(granted.lease, expires)
        except _RESPONSE_ERRORS as error:
            self._address_index += 1
            return store.Unavailable(type(error).__name__)

    async def _read(
        self, path: str, deadline: clocks.Deadline
    ) -> store.ReadResult:
        try:
            async with self._request("GET", path, deadline) as response:
                if response.status == 404:
                    return store.Absent()
                if response.status != 200:
                    return store.Unavailable(f"status {response.status}")
                revision = _read_revision(response.headers)
                return store.Record(await clients.read_body(response), revision)
        except _RESPONSE_ERRORS as error:
            self._address_index += 1
            return store.Unavailable(type(error).__name__)

    def _request(
        self, method: str, path: str, deadline: clocks.Deadline, **options
    ):
        """Starts a request to the replica that is used now."""
        if self._session is None:
            self._session = clients.make_session(self._source_address)
        self.calls += 1
        address = self._addresses[self._address_index % len(self._addresses)]
        timeout = aiohttp.ClientTimeout(total=max(0.001, deadline.remaining()))
        return self._session.request(
            method, f"http://{address}{path}", timeout=timeout, **options
        )


def _read_revision(headers: Mapping[str, str]) -> int:
    """Returns the revision in the headers of a response.

    Raises:
        DecodeError: If they state none.
    """
    with decoding.convert_errors():
        return int(headers.get(_REVISION_HEADER, ""))
