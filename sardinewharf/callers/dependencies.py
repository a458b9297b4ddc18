"""Names what the caller API works with."""

from collections.abc import Callable
import dataclasses

from sardinewharf import configuration
from sardinewharf import limits
from sardinewharf import relay


@dataclasses.dataclass(slots=True)
class CallerDependencies:
    """What the caller API works with.

    Attributes:
        holder: The configuration.
        admission: Admits requests.
        models: Carries model requests.
        calls: Carries application calls.
        suspects: Requests that endpoints died of.
        is_draining: Whether the daemon is shutting down.
        is_ready: Whether the daemon can serve.
    """

    holder: configuration.ConfigurationHolder
    admission: limits.Admission
    models: relay.ModelRelay
    calls: relay.CallRelay
    suspects: limits.SuspectTable
    is_draining: Callable[[], bool]
    is_ready: Callable[[], bool]
