"""Reads the platform's list of live and leaving VMs.

The list lags behind the actual state: a VM that is listed as live may already
be gone.
"""

import abc
import enum

import aiohttp
import msgspec

from sardinewharf import clients
from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import ids

_NOT_MODIFIED = 304
_RESPONSE_ERRORS = (aiohttp.ClientError, OSError, decoding.DecodeError)


class EndpointKind(enum.Enum):
    """Kind of software that an endpoint runs."""

    MODEL_ENGINE = "model_engine"
    APPLICATION = "application"


class VmState(enum.Enum):
    """Whether a VM stays in service."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """An endpoint VM as listed by the platform.

    Attributes:
        vm: Id of the VM at the platform.
        address: ``HOST:PORT`` of its endpoint.
        kind: What the endpoint runs.
        failure_domain: Failure domain of the VM.
        state: Whether the VM stays in service.
        service: Application that an application server runs; empty for model
            engines.
    """

    vm: ids.VmId
    address: str
    kind: EndpointKind
    failure_domain: ids.FailureDomainId
    state: VmState = VmState.LIVE
    service: str = ""


class VmListUnavailableError(Exception):
    """No usable VM list was received; keep the last one and retry later."""


class VmList(abc.ABC):
    """The platform's VM list."""

    @abc.abstractmethod
    async def list_vms(self, deadline: clocks.Deadline) -> tuple[Vm, ...]:
        """Returns the endpoint VMs.

        Raises:
            VmListUnavailableError: If there was no usable response.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


class _Listing(msgspec.Struct):
    vms: tuple[Vm, ...]


class HttpVmList(VmList):
    """A VM list that is read over HTTP.

    Args:
        address: ``HOST:PORT`` of the service that has the list.
        source_address: Local IP address to connect from; empty for any.
    """

    def __init__(self, address: str, source_address: str = ""):
        self._source_address = source_address
        self._address = address
        self._session: aiohttp.ClientSession | None = None
        self._etag = ""
        self._last_vms: tuple[Vm, ...] = ()

    async def list_vms(self, deadline: clocks.Deadline) -> tuple[Vm, ...]:
        """Returns the endpoint VMs."""
        if self._session is None:
            self._session = clients.make_session(self._source_address)
        timeout = aiohttp.ClientTimeout(total=max(0.001, deadline.remaining()))
        url = f"http://{self._address}/v1/vms"
        try:
            async with self._session.get(
                url, timeout=timeout, headers={"If-None-Match": self._etag}
            ) as response:
                response.raise_for_status()
                if response.status != _NOT_MODIFIED:
                    body = await clients.read_body(response)
                    self._last_vms = decoding.decode_json(body, _Listing).vms
                    self._etag = response.headers.get("ETag", "")
                return self._last_vms
        except _RESPONSE_ERRORS as error:
            raise VmListUnavailableError(str(error)) from error

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
