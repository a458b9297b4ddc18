"""Describes a model request on its way."""

from collections.abc import Mapping
import dataclasses

from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import ids
from sardinewharf import routing


@dataclasses.dataclass(frozen=True, slots=True)
class ModelTarget:
    """What a caller named as the model.

    Attributes:
        name: The model or adapter.
        weights: The weights version in force.
        quorum: Least number of engines that the model needs.
    """

    name: str
    weights: ids.WeightsVersion
    quorum: int


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """A model request that has been admitted.

    Attributes:
        request: Its id.
        organisation: Whose it is.
        target: The model or adapter.
        intent: What its application weighs.
        path: The path that the caller used.
        body: The caller's body.
        segments: The prompt's messages.
        fingerprint: What repeats of this request have in common.
        deadline: When the caller no longer needs the answer.
    """

    request: ids.RequestId
    organisation: ids.OrganisationId
    target: ModelTarget
    intent: configuration.RoutingIntent
    path: str
    body: Mapping[str, object]
    segments: tuple[bytes, ...]
    fingerprint: bytes
    deadline: clocks.Deadline

    def make_salt(self, weights: str) -> str:
        """Returns the cache salt under a weights version."""
        return routing.make_salt(self.organisation, self.target.name, weights)

    def build_chain(self, weights: str) -> routing.BlockChain:
        """Returns the prompt's pieces under a weights version."""
        return routing.build_block_chain(self.make_salt(weights), self.segments)
