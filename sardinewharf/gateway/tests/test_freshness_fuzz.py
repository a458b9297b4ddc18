"""Fuzzes admission while the store is slow, delayed or unreachable.

At times the gateway requests changes from another gateway instead, which may be
behind the store.

The test knows when each configuration was in force. It checks that a key is
admitted only if it was in force at some time within the bound for revoked keys,
that a key is refused as unknown only if a recent configuration lacks it, and
that the version of the configuration never decreases.
"""

import asyncio
import dataclasses
import os

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf import keyvalue
from sardinewharf import records
from sardinewharf.gateway import admission
from sardinewharf.gateway import changes
from sardinewharf.gateway import feeds
from sardinewharf.gateway import messages
from sardinewharf.gateway import refusals
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import sync
from sardinewharf.gateway.tests import stores

_IS_LONG = os.environ.get("SARDINEWHARF_FUZZ") == "long"
_KEYS = ("k0", "k1", "k2")
_REVOKE_S = 5.0
# A key may be refused as unknown if a configuration of this long ago lacks it,
# in seconds: a newer one may take as long to be in force.
_UNKNOWN_S = settings_lib.Guarantees().apply_ms / 1000


@dataclasses.dataclass(frozen=True)
class ActiveConfiguration:
    """A configuration in the store.

    Attributes:
        version: Its version, and the store's revision.
        keys: The API keys that it holds.
        since: When it was written.
    """

    version: int
    keys: frozenset[str]
    since: float


class StoreHistory:
    """The configurations of the store over time, on a simulated clock."""

    def __init__(self):
        self.now = 100.0
        self.history = [ActiveConfiguration(1, frozenset(_KEYS), self.now)]
        # A scheduled change: its time, and the keys.
        self.planned = None

    def change(self, keys):
        newest = self.history[-1]
        found = ActiveConfiguration(
            newest.version + 1, frozenset(keys), self.now
        )
        self.history.append(found)

    def wait(self, seconds, for_change=False):
        """Advances the clock, only to the next change if one is awaited."""
        end = self.now + seconds
        if self.planned is not None and self.planned[0] <= end:
            at, keys = self.planned
            self.planned = None
            self.now = max(self.now, at)
            self.change(keys)
            if for_change:
                return
        self.now = max(self.now, end)

    def list_since(self, seconds):
        """Returns the configurations in force within the last seconds."""
        ends = [h.since for h in self.history[1:]] + [float("inf")]
        limit = self.now - seconds
        return [
            h for h, end in zip(self.history, ends, strict=True) if end > limit
        ]


@dataclasses.dataclass
class CallOutcome:
    """How the next call to the store or to another gateway proceeds.

    Attributes:
        fails: Whether it gets no response.
        loses_history: Whether the store has dropped its history.
        request_delay_s: Seconds until the request is received.
        response_delay_s: Seconds until the response is received.
        repeats_entries: Whether a watch returns all entries again.
        change_delay_s: Seconds from the call until the keys change.
        keys: The keys of that change; None for no change.
        follows_peer: Whether another gateway is called instead of the store.
        peer_lag_s: How long ago that gateway's replica was current; None if it
            does not respond.
    """

    fails: bool
    loses_history: bool
    request_delay_s: float
    response_delay_s: float
    repeats_entries: bool
    change_delay_s: float
    keys: frozenset[str] | None
    follows_peer: bool
    peer_lag_s: float | None


class FakePeers(feeds.Feed):
    """Another gateway, behind the store as far as the outcome says."""

    def __init__(self, store_history, settings, replica):
        super().__init__(settings, replica)
        self._store_history = store_history
        self._replica = replica
        self.outcome = None

    def is_follower(self):
        return self.outcome.follows_peer

    async def query_watchers(self):
        store_history, outcome = self._store_history, self.outcome
        revision = self._replica.revision
        sent = store_history.now
        store_history.wait(outcome.request_delay_s)
        lag = outcome.peer_lag_s
        if lag is None:
            return None
        confirmed_at = store_history.now - lag
        known = [h for h in store_history.history if h.since <= confirmed_at][
            -1:
        ]
        version = known[0].version if known else 0
        entries = tuple(
            _make_entry(h)
            for h in store_history.history
            if revision < h.version <= version
        )
        store_history.wait(outcome.response_delay_s)
        return feeds.FeedUpdate(version, sent - lag, entries)

    async def query_any_peer(self):
        return await self.query_watchers()


class FakeStore(stores.WatchOnlyStore):
    """Responds from the store's history, as the outcome says."""

    def __init__(self, store_history):
        self._store_history = store_history
        self.outcome = None

    async def list_prefix(self, prefix, deadline):
        store_history, outcome = self._store_history, self.outcome
        store_history.wait(outcome.request_delay_s)
        newest = store_history.history[-1]
        store_history.wait(outcome.response_delay_s)
        if outcome.fails:
            return keyvalue.Unavailable("injected failure")
        return keyvalue.Listing((_make_entry(newest),), newest.version)

    async def watch_prefix(self, prefix, revision, until):
        store_history, outcome = self._store_history, self.outcome
        wait = until.remaining()
        store_history.wait(outcome.request_delay_s)
        if store_history.history[-1].version <= revision:
            store_history.wait(wait, for_change=True)
        after = 0 if outcome.repeats_entries else revision
        changed = tuple(
            _make_entry(h) for h in store_history.history if h.version > after
        )
        newest = store_history.history[-1].version
        store_history.wait(outcome.response_delay_s)
        if outcome.fails:
            return keyvalue.Unavailable("injected failure")
        if outcome.loses_history:
            return keyvalue.HistoryLost()
        return keyvalue.Changes(changed, newest)


def _make_entry(found):
    return keyvalue.Entry(
        "config", ",".join(sorted(found.keys)).encode(), found.version
    )


_ROUTE = catalog.Route(
    "r", "h", "/a/", catalog.RouteKind.SAFE, 1000, 100, 0, ()
)


class FakeReader(changes.ChangeReader):
    """Decodes the keys of a configuration.

    Args:
        check: Called between any two changes.
    """

    def __init__(self, check):
        self._check = check

    def read_change(self, entry):
        self._check()
        keys = tuple(filter(None, entry.value.decode().split(",")))
        return changes.ConfigurationChange(
            catalog.Configuration(
                entry.revision,
                (_ROUTE,),
                organisations=(
                    catalog.Organisation("org", keys),
                    catalog.Organisation("other", ("never-asked",)),
                ),
            )
        )


keys_strategy = st.none() | st.frozensets(st.sampled_from(_KEYS))
seconds = st.sampled_from([0.0, 0.01, 0.3, 0.7, 1.5, 2.5, 4.0, 7.0])
outcomes = st.builds(
    CallOutcome,
    fails=st.booleans(),
    loses_history=st.sampled_from([False, False, False, True]),
    request_delay_s=seconds,
    response_delay_s=seconds,
    repeats_entries=st.sampled_from([False, False, True]),
    change_delay_s=st.sampled_from([0.0, 0.2, 1.0, 1.9, 2.2, 5.0]),
    keys=keys_strategy,
    follows_peer=st.booleans(),
    peer_lag_s=st.sampled_from([None, 0.0, 0.2, 1.0, 2.4, 4.0]),
)
steps = st.tuples(outcomes, keys_strategy, seconds)


@pytest.fixture
def store_history(monkeypatch):
    found = StoreHistory()
    monkeypatch.setattr(clocks, "read_monotonic", lambda: found.now)
    return found


class Scenario:
    """Runs a gateway's replica and compares it with the store's history."""

    def __init__(self, store_history):
        log = records.RecordSink(-1, "vm-1", records.SinkSettings())
        self._store_history = store_history
        self._store = FakeStore(store_history)
        self._replica = replica_lib.Replica(log)
        guarantees = settings_lib.Guarantees(revoke_ms=int(_REVOKE_S * 1000))
        settings = stores.make_settings("vm-1")
        self._peers = FakePeers(store_history, settings, self._replica)
        self._synchronizer = sync.Synchronizer(
            settings,
            self._store,
            FakeReader(self._check_version),
            self._replica,
            self._peers,
            log,
        )
        self._admission_controller = admission.AdmissionController(
            self._replica, guarantees
        )
        self._version = 0

    async def run(self, history):
        for outcome, keys, pause_s in history:
            self._store.outcome = self._peers.outcome = outcome
            if outcome.keys is not None:
                self._store_history.planned = (
                    self._store_history.now + outcome.change_delay_s,
                    outcome.keys,
                )
            await self._synchronizer.step()
            self._check()
            if keys is not None:
                self._store_history.change(keys)
                self._check()
            self._store_history.wait(pause_s)
            self._check()

    def _check_version(self):
        version = self._replica.configuration.version
        assert version >= self._version
        self._version = version

    def _check(self):
        self._check_version()
        for key in _KEYS:
            self._check_key(key)

    def _check_key(self, key):
        headers = messages.CallerHeaders(
            ids.RequestId("r"),
            "h",
            key,
            clocks.Deadline.after(1.0),
            prompt=None,
            resume_after=None,
            forwarded_headers=(),
        )
        try:
            self._admission_controller.admit(headers, "/a/b")
        except refusals.RefusedError as error:
            if error.refusal.reason is refusals.Reason.UNKNOWN_KEY:
                recent = self._store_history.list_since(_UNKNOWN_S)
                assert any(key not in found.keys for found in recent)
            return
        recent = self._store_history.list_since(_REVOKE_S)
        assert any(key in found.keys for found in recent)


def test_keys_pass_only_while_confirmed_fuzz(store_history):
    @seed(20261204)
    @settings(max_examples=10_000 if _IS_LONG else 300, deadline=None)
    @given(history=st.lists(steps, min_size=1, max_size=12))
    def check_history(history):
        store_history.__init__()
        asyncio.run(Scenario(store_history).run(history))

    check_history()
