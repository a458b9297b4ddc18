"""Turns a gateway's state into messages for its peers, and merges theirs.

A digest holds all that a gateway has to share, so that the next one makes up
for one that was lost. An urgent update is small and holds only what other
gateways need at once. Receivers ignore a message that is older than the latest
one of the same sender, as long as that one's process is heard.
"""

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import leases
from sardinewharf.gateway import digests
from sardinewharf.gateway import drains as drains_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib

# A peer without a message for this long counts as stopped, and versions that
# engines reported longer ago are no longer sent, in seconds.
_PEER_TIMEOUT_S = 3.0
# Peers to which a gateway sends a digest in each round.
_PEERS_PER_ROUND = 8
# Share of the other gateways that a gateway has to hear, or it is cut off.
_MIN_HEARD_SHARE = 0.5
# The same for versions in urgent updates, in seconds.
_URGENT_WEIGHTS_S = 0.8
# Time for which a drain counts that a digest reports, in seconds.
_DIGEST_DRAIN_S = 1.5


class StateExchange:
    """Makes and merges the messages that carry the state of gateways.

    Args:
        settings: Settings of the gateway.
        replica: The gateway's replica of the store.
        loads: Estimated load of each endpoint.
        drains: Engines that are drained.
        prompts: Where shared prompts are cached.

    Attributes:
        is_leaving: Whether this gateway is shutting down.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
        loads: fleet.LoadTable,
        drains: drains_lib.DrainTable,
        prompts: prompts_lib.PromptTable,
    ):
        self._settings = settings
        self._replica = replica
        self._loads = loads
        self._drains = drains
        self._prompts = prompts
        self._started = int(clocks.read_wall() * 1000)
        self._number = 0
        # Start time of the process and number of the latest message, by sender.
        self._latest_received: dict[str, tuple[int, int]] = {}
        # Version and time of the latest report, by engine and model.
        self._observed_weights: dict[tuple[str, str], tuple[int, float]] = {}
        # The last sender that reported drains; empty before.
        self._drain_reporter = ""
        # Time of the last message, start time of the process and whether it is
        # leaving, by sender.
        self._last_received: dict[str, tuple[float, int, bool]] = {}
        self.is_leaving = False

    def count_started_later(self) -> int:
        """Returns how many live gateways started after this one.

        In a rolling restart, those have been restarted already, and the one
        that started last is the last to be stopped again.
        """
        now = clocks.read_monotonic()
        return sum(
            now - at < _PEER_TIMEOUT_S
            and started > self._started
            and not is_leaving
            for at, started, is_leaving in self._last_received.values()
        )

    def has_other_gateway(self) -> bool:
        """Returns whether another gateway is registered and not leaving."""
        leaving = {
            sender
            for sender, (_, _, is_leaving) in self._last_received.items()
            if is_leaving
        }
        others = self._replica.members.keys() - leaving - {self._settings.name}
        return bool(others)

    def hears_most_peers(self) -> bool:
        """Returns whether most other gateways were heard lately.

        If not, this gateway is cut off, or has just started.
        """
        others = self._replica.members.keys() - {self._settings.name}
        rounds = max(1.0, len(others) / _PEERS_PER_ROUND)
        since = clocks.read_monotonic() - _PEER_TIMEOUT_S * rounds
        heard = sum(
            at >= since
            for sender, (at, _, _) in self._last_received.items()
            if sender in others
        )
        return heard >= len(others) * _MIN_HEARD_SHARE

    def record_weights(
        self, endpoint_id: ids.EndpointId, model: str, version: int
    ) -> None:
        """Records a version that an engine reported, for the next digests."""
        self._replica.registry.record_weights(endpoint_id, model, version)
        now = clocks.read_monotonic()
        self._observed_weights[endpoint_id, model] = (version, now)

    @property
    def is_draining(self) -> bool:
        """Whether this gateway drains an engine."""
        return bool(self._drains.list_own())

    def handle(self, message: digests.Digest | digests.UrgentUpdate) -> None:
        """Merges a message unless it is older than the sender's latest one."""
        now = clocks.read_monotonic()
        if not self._is_newer(message, now):
            return
        sequence = (message.started, message.number)
        self._latest_received[message.sender] = sequence
        self._last_received[message.sender] = (
            now,
            message.started,
            message.is_leaving,
        )
        self._merge_weights(message.weights)
        self._merge_prompts(message, now)
        if isinstance(message, digests.UrgentUpdate):
            self._merge_drains(
                message.sender,
                {
                    drain.endpoint: clocks.Deadline(now + drain.left_ms / 1000)
                    for drain in message.draining
                },
            )
        else:
            until = clocks.Deadline(now + _DIGEST_DRAIN_S)
            self._merge_drains(
                message.sender, dict.fromkeys(message.draining, until)
            )
            self._merge_digest(message, now)

    def _is_newer(
        self, message: digests.Digest | digests.UrgentUpdate, now: float
    ) -> bool:
        """Returns whether a message is newer than its sender's latest one.

        A process that started earlier than the known one is believed only once
        that one is silent: its clock may have been set back before it started.
        """
        latest = self._latest_received.get(message.sender)
        if latest is None or (message.started, message.number) > latest:
            return True
        heard_at, started, _ = self._last_received[message.sender]
        is_silent = now - heard_at >= _PEER_TIMEOUT_S
        return message.started != started and is_silent

    def make_digest(self) -> digests.Digest:
        """Returns the next digest of this gateway's state."""
        self._number += 1
        now = clocks.read_monotonic()
        return digests.Digest(
            sender=self._settings.name,
            started=self._started,
            number=self._number,
            revision=self._replica.revision,
            loads=[
                digests.LoadUpdate(
                    endpoint_id,
                    load.running,
                    load.prompt_tokens,
                    load.held_tokens,
                )
                for endpoint_id, load in self._loads.list_own().items()
            ],
            draining=self._drains.list_own(),
            weights=self._list_weights(_PEER_TIMEOUT_S),
            target_versions=[
                digests.TargetVersionUpdate(
                    target.model,
                    target.version,
                    int((now - target.at) * 1000),
                    int(target.slack * 1000),
                )
                for target in self._replica.target_versions.list_known()
            ],
            is_leaving=self.is_leaving,
            prefills=self._list_prefills(now),
            cache_uses=self._list_cache_uses(now),
            **self._make_cache_store_ages(),
            **self._make_leader_ages(now),
        )

    def _make_leader_ages(self, now: float) -> dict[str, object]:
        """Returns the fields that tell when leaders can have acted last."""
        ages = self._replica.rollout_tenures.make_ages(now)
        if ages is None:
            return {}
        return {
            "unknown_leader_age_ms": int(ages.unknown_age_s * 1000),
            "leader_ages": [
                digests.LeaderAge(leader, int(age_s * 1000))
                for leader, age_s in ages.ages_s.items()
            ],
        }

    def make_urgent_update(self) -> digests.UrgentUpdate:
        """Returns the next urgent update of this gateway's state."""
        self._number += 1
        now = clocks.read_monotonic()
        return digests.UrgentUpdate(
            sender=self._settings.name,
            started=self._started,
            number=self._number,
            draining=[
                digests.DrainUpdate(endpoint_id, int(until.remaining() * 1000))
                for endpoint_id, until in self._drains.list_deadlines().items()
            ],
            weights=self._list_weights(_URGENT_WEIGHTS_S),
            prefills=self._list_prefills(now),
            cache_uses=self._list_cache_uses(now),
            is_leaving=self.is_leaving,
        )

    def _list_weights(self, max_age_s: float) -> list[digests.WeightsUpdate]:
        """Returns the versions that engines reported at most so long ago."""
        now = clocks.read_monotonic()
        self._observed_weights = {
            key: observed
            for key, observed in self._observed_weights.items()
            if now - observed[1] < _PEER_TIMEOUT_S
        }
        return [
            digests.WeightsUpdate(endpoint_id, model, version)
            for (endpoint_id, model), (
                version,
                observed_at,
            ) in self._observed_weights.items()
            if now - observed_at < max_age_s
        ]

    def _list_prefills(self, now: float) -> list[digests.PrefillUpdate]:
        return [
            digests.PrefillUpdate(key, incarnation, int((now - began) * 1000))
            for key, incarnation, began in self._prompts.list_prefills()
        ]

    def _list_cache_uses(self, now: float) -> list[digests.CacheUseUpdate]:
        return [
            digests.CacheUseUpdate(
                use.key,
                use.incarnation,
                use.tokens,
                int((now - use.at) * 1000),
            )
            for use in self._prompts.list_cache_uses()
        ]

    def _make_cache_store_ages(self) -> dict[str, object]:
        """Returns the fields that tell which watched cache stores respond."""
        ages = [
            digests.CacheStoreAge(store.address, int(age_s * 1000))
            for store in self._prompts.stores.list_all()
            if store.is_watched and (age_s := store.count_age()) is not None
        ]
        if not ages:
            return {}
        first, *others = ages
        return {
            "cache_store_age_ms": first.age_ms,
            "cache_store": first.address,
            "more_cache_stores": others,
        }

    def _merge_weights(self, updates: list[digests.WeightsUpdate]) -> None:
        for update in updates:
            endpoint_id = ids.EndpointId(update.endpoint)
            if self._replica.registry.find(endpoint_id) is not None:
                self._replica.registry.record_weights(
                    endpoint_id, update.model, update.version
                )

    def _merge_prompts(
        self, message: digests.Digest | digests.UrgentUpdate, now: float
    ) -> None:
        self._prompts.merge_peer(
            message.sender,
            [
                (prefill.key, prefill.incarnation, now - prefill.age_ms / 1000)
                for prefill in message.prefills
            ],
            [
                prompts_lib.CacheUse(
                    use.key,
                    use.incarnation,
                    use.tokens,
                    now - use.age_ms / 1000,
                )
                for use in message.cache_uses
            ],
        )

    def _merge_drains(
        self, sender: str, drains: dict[str, clocks.Deadline]
    ) -> None:
        """Merges a peer's drains.

        An empty list ends the drains that the same sender reported before.
        """
        if drains or sender == self._drain_reporter:
            self._drain_reporter = sender
            self._drains.record_reported(drains)

    def _merge_digest(self, digest: digests.Digest, now: float) -> None:
        """Merges what only a digest holds."""
        self._loads.merge_peer(
            digest.sender,
            {
                ids.EndpointId(update.endpoint): fleet.EndpointLoad(
                    update.running, update.prompt_tokens, update.held_tokens
                )
                for update in digest.loads
            },
            now,
        )
        for target in digest.target_versions:
            self._replica.target_versions.record_peer_time(
                target.model,
                target.version,
                now - target.age_ms / 1000,
                target.slack_ms / 1000,
            )
        self._merge_leader_ages(digest, now)
        self._merge_cache_stores(digest)

    def _merge_leader_ages(self, digest: digests.Digest, now: float) -> None:
        if digest.unknown_leader_age_ms is None:
            return
        ages = leases.ActionAges(
            digest.unknown_leader_age_ms / 1000,
            {row.leader: row.age_ms / 1000 for row in digest.leader_ages},
        )
        self._replica.rollout_tenures.merge(ages, digest.revision, now)

    def _merge_cache_stores(self, digest: digests.Digest) -> None:
        """Merges when cache stores responded to a peer that watches them.

        A peer with another configuration may watch other stores.
        """
        ages = list(digest.more_cache_stores)
        if digest.cache_store_age_ms is not None:
            ages.append(
                digests.CacheStoreAge(
                    digest.cache_store, digest.cache_store_age_ms
                )
            )
        for age in ages:
            store = self._prompts.stores.find(age.address)
            if store is not None and not store.is_watched:
                store.record_response(age.age_ms / 1000)
