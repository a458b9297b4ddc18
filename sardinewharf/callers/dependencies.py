"""Collaborators of the caller API."""

from collections.abc import Callable
import dataclasses

from sardinewharf import configuration
from sardinewharf import limits
from sardinewharf import relay


@dataclasses.dataclass(slots=True)
class CallerDependencies:
    """Collaborators of the caller API.

    Attributes:
        holder: Holds the active configuration.
        admission: Limits the rate and the concurrency of requests.
        models: Relays model requests to engines.
        calls: Relays application calls to application servers.
        suspects: Requests that ran on endpoints when these crashed.
        is_draining: Returns whether the daemon is shutting down.
        is_ready: Returns whether the daemon can serve requests.
    """

    holder: configuration.ConfigurationHolder
    admission: limits.Admission
    models: relay.ModelRelay
    calls: relay.CallRelay
    suspects: limits.SuspectTable
    is_draining: Callable[[], bool]
    is_ready: Callable[[], bool]
