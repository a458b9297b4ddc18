"""Ranks requests by the configured priorities, as the policy asks for."""

from sardinewharf import balancing
from sardinewharf import overload
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import settings as settings_lib


class RequestRanker:
    """Ranks requests by the configuration in force.

    Args:
        replica: This gateway's replica of the store.
        policy: What to do while engines have too little capacity.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        policy: settings_lib.OverloadPolicy,
    ):
        self._replica = replica
        self._policy = policy
        self._table = overload.RankTable()

    @property
    def is_active(self) -> bool:
        """Whether requests are ranked."""
        return self._policy is settings_lib.OverloadPolicy.RANK

    def find_rank(self, call: requests.Call) -> int:
        """Returns the rank of a request; 0 is the most urgent."""
        ranks = self._table.find(self._replica.configuration, call.service)
        return ranks.find_rank(call.admitted.priority_pair)

    def choose_priority(
        self,
        call: requests.Call,
        prefill_tokens: int,
        split: balancing.LengthSplit,
    ) -> int:
        """Returns the priority of a request in an engine's queue."""
        if not self.is_active:
            return balancing.choose_priority(
                call.admitted.priority, prefill_tokens, split
            )
        ranks = self._table.find(self._replica.configuration, call.service)
        return ranks.choose_priority(
            call.admitted.priority_pair, prefill_tokens, split
        )
