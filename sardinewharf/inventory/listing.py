"""Reads the platform's list of live and leaving VMs.

The list lags behind the truth, so that a VM it still calls live may be gone.
"""

import abc
import enum

import aiohttp
import msgspec

from sardinewharf import clients
from sardinewharf import clocks
from sardinewharf import ids

_NOT_MODIFIED = 304
_RESPONSE_ERRORS = (aiohttp.ClientError, OSError, msgspec.MsgspecError)


class EndpointKind(enum.Enum):
    """Tells what an endpoint runs."""

    MODEL_ENGINE = "model_engine"
    APPLICATION = "application"


class VmState(enum.Enum):
    """Tells whether a VM is to stay."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """An endpoint VM as listed by the platform.

    Attributes:
        vm: The platform's name of the VM.
        address: ``HOST:PORT`` of its endpoint.
        kind: What the endpoint runs.
        failure_domain: Where the VM stands.
        state: Whether the VM is to stay.
        service: For application servers, the application they run.
    """

    vm: ids.VmId
    address: str
    kind: EndpointKind
    failure_domain: ids.FailureDomainId
    state: VmState = VmState.LIVE
    service: str = ""


class VmListUnavailableError(Exception):
    """The platform gave no VM list; keep the last one and ask again."""


class VmList(abc.ABC):
    """The platform's VM list."""

    @abc.abstractmethod
    async def list_vms(self, deadline: clocks.Deadline) -> tuple[Vm, ...]:
        """Returns the endpoint VMs.

        Raises:
            VmListUnavailableError: If there was no usable answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


class _Listing(msgspec.Struct):
    vms: tuple[Vm, ...]


class HttpVmList(VmList):
    """A VM list behind an HTTP address.

    Args:
        address: ``HOST:PORT`` of the list.
        source_address: Local IP of its connections; empty for any.
    """

    def __init__(self, address: str, source_address: str = ""):
        self._source_address = source_address
        self._address = address
        self._session: aiohttp.ClientSession | None = None
        self._decoder = msgspec.json.Decoder(_Listing)
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
                    body = await response.read()
                    self._last_vms = self._decoder.decode(body).vms
                    self._etag = response.headers.get("ETag", "")
                return self._last_vms
        except _RESPONSE_ERRORS as error:
            raise VmListUnavailableError(str(error)) from error

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()
