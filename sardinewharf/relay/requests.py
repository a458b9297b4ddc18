"""Defines model requests and their targets."""

from collections.abc import Mapping
import dataclasses

from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf import routing


@dataclasses.dataclass(frozen=True, slots=True)
class ModelTarget:
    """The model or adapter that a caller requests.

    Attributes:
        name: Name of the model or adapter.
        weights: Its target weights version.
        min_engines: Minimum number of ready engines that the model needs.
    """

    name: str
    weights: ids.WeightsVersion
    min_engines: int


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """A model request that has been admitted.

    Attributes:
        request: Id of the request.
        organisation: The organisation that sends it.
        target: The model or adapter.
        intent: Routing weights and priority from its application.
        path: The URL path that the caller used.
        body: The fields of the caller's body.
        segments: The prompt's messages.
        causes: What may make it crash engines: first the request itself, which
            is the same for all retries, then the messages of its prompt that
            other requests may share.
        deadline: When the caller no longer needs the response.
    """

    request: ids.RequestId
    organisation: ids.OrganisationId
    target: ModelTarget
    intent: configuration.RoutingIntent
    path: str
    body: Mapping[str, object]
    segments: tuple[bytes, ...]
    causes: tuple[limits.Cause, ...]
    deadline: clocks.Deadline

    def make_salt(self, weights: str) -> str:
        """Returns the salt of the prefix cache for a weights version."""
        return routing.make_salt(self.organisation, self.target.name, weights)

    def build_block_chain(self, weights: str) -> routing.BlockChain:
        """Returns the block chain of the prompt for a weights version."""
        return routing.build_block_chain(self.make_salt(weights), self.segments)
