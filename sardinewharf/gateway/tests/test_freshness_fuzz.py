"""Fuzzes what a gateway admits while its store is slow, late or out of reach.

In the store's place it asks, at times, another gateway that may be behind.

The oracle knows when each configuration was in force. A key passes only if it
was in force at some time within the bound for keys that are taken away; a key
is called unknown only if a recent configuration lacks it; and configurations
never go back.
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
# A key may be called unknown if a configuration of this long ago lacks it, in
# seconds: one that a watch may take to learn of a newer one.
_UNKNOWN_S = 2.6


@dataclasses.dataclass(frozen=True)
class InForce:
    """A configuration in the store.

    Attributes:
        version: Its version, and the store's revision.
        keys: The keys that it names.
        since: When it was written.
    """

    version: int
    keys: frozenset[str]
    since: float


class Truth:
    """The store's history, on a clock that tests move."""

    def __init__(self):
        self.now = 100.0
        self.history = [InForce(1, frozenset(_KEYS), self.now)]
        # A change to come: when, and the keys.
        self.planned = None

    def change(self, keys):
        newest = self.history[-1]
        found = InForce(newest.version + 1, frozenset(keys), self.now)
        self.history.append(found)

    def wait(self, seconds, for_change=False):
        """Lets time pass, or less of it if a change is waited for."""
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
        """Returns what was in force at some time since so long ago."""
        ends = [h.since for h in self.history[1:]] + [float("inf")]
        limit = self.now - seconds
        return [
            h for h, end in zip(self.history, ends, strict=True) if end > limit
        ]


@dataclasses.dataclass
class Fate:
    """What becomes of the next call.

    Attributes:
        fails: Whether it gets no answer.
        forgets: Whether the store has dropped its history.
        out_s: Seconds until the store has it.
        back_s: Seconds until its answer is read.
        repeats: Whether a watch tells again what it told before.
        change_s: When the operator changes the keys, in seconds from its
            sending.
        keys: The keys of that change; None for no change.
        follows: Whether another gateway is asked in the store's place.
        peer_lag_s: How long ago that one's copy was current; None if it does
            not answer.
    """

    fails: bool
    forgets: bool
    out_s: float
    back_s: float
    repeats: bool
    change_s: float
    keys: frozenset[str] | None
    follows: bool
    peer_lag_s: float | None


class FakePeers(feeds.Feed):
    """Another gateway that follows the store, late by as much as fate says."""

    def __init__(self, truth, settings, replica):
        super().__init__(settings, replica)
        self._truth = truth
        self._replica = replica
        self.fate = None

    def is_follower(self):
        return self.fate.follows

    async def ask_watchers(self):
        truth, fate = self._truth, self.fate
        revision = self._replica.revision
        sent = truth.now
        truth.wait(fate.out_s)
        lag = fate.peer_lag_s
        if lag is None:
            return None
        proved = truth.now - lag
        told = [h for h in truth.history if h.since <= proved][-1:]
        version = told[0].version if told else 0
        entries = tuple(
            _make_entry(h)
            for h in truth.history
            if revision < h.version <= version
        )
        truth.wait(fate.back_s)
        return feeds.News(version, sent - lag, entries)

    async def ask_anybody(self):
        return await self.ask_watchers()


class FakeStore(stores.WatchOnlyStore):
    """Answers from the truth, as late as its fate says."""

    def __init__(self, truth):
        self._truth = truth
        self.fate = None

    async def list_prefix(self, prefix, deadline):
        truth, fate = self._truth, self.fate
        truth.wait(fate.out_s)
        newest = truth.history[-1]
        truth.wait(fate.back_s)
        if fate.fails:
            return keyvalue.Unavailable("fate")
        return keyvalue.Listing((_make_entry(newest),), newest.version)

    async def watch_prefix(self, prefix, revision, until):
        truth, fate = self._truth, self.fate
        wait = until.remaining()
        truth.wait(fate.out_s)
        if truth.history[-1].version <= revision:
            truth.wait(wait, for_change=True)
        after = 0 if fate.repeats else revision
        seen = tuple(_make_entry(h) for h in truth.history if h.version > after)
        newest = truth.history[-1].version
        truth.wait(fate.back_s)
        if fate.fails:
            return keyvalue.Unavailable("fate")
        if fate.forgets:
            return keyvalue.HistoryLost()
        return keyvalue.Changes(seen, newest)


def _make_entry(found):
    return keyvalue.Entry(
        "config", ",".join(sorted(found.keys)).encode(), found.version
    )


_ROUTE = catalog.Route(
    "r", "h", "/a/", catalog.RouteKind.SAFE, 1000, 100, 0, ()
)


class FakeReader(changes.ChangeReader):
    """Reads the keys of a configuration.

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
fates = st.builds(
    Fate,
    fails=st.booleans(),
    forgets=st.sampled_from([False, False, False, True]),
    out_s=seconds,
    back_s=seconds,
    repeats=st.sampled_from([False, False, True]),
    change_s=st.sampled_from([0.0, 0.2, 1.0, 1.9, 2.2, 5.0]),
    keys=keys_strategy,
    follows=st.booleans(),
    peer_lag_s=st.sampled_from([None, 0.0, 0.2, 1.0, 2.4, 4.0]),
)
steps = st.tuples(fates, keys_strategy, seconds)


@pytest.fixture
def truth(monkeypatch):
    found = Truth()
    monkeypatch.setattr(clocks, "read_monotonic", lambda: found.now)
    return found


class Play:
    """One gateway's belief beside the truth."""

    def __init__(self, truth):
        log = records.RecordSink(-1, "vm-1", records.SinkSettings())
        self._truth = truth
        self._store = FakeStore(truth)
        self._replica = replica_lib.Replica(log)
        promises = settings_lib.Guarantees(revoke_ms=int(_REVOKE_S * 1000))
        settings = stores.make_settings("vm-1")
        self._peers = FakePeers(truth, settings, self._replica)
        self._follower = sync.Synchronizer(
            self._store,
            FakeReader(self._check_version),
            self._replica,
            self._peers,
            log,
        )
        self._admission_controller = admission.AdmissionController(
            self._replica, promises
        )
        self._version = 0

    async def run(self, history):
        for fate, keys, pause_s in history:
            self._store.fate = self._peers.fate = fate
            if fate.keys is not None:
                self._truth.planned = (
                    self._truth.now + fate.change_s,
                    fate.keys,
                )
            await self._follower.step()
            self._check()
            if keys is not None:
                self._truth.change(keys)
                self._check()
            self._truth.wait(pause_s)
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
                recent = self._truth.list_since(_UNKNOWN_S)
                assert any(key not in found.keys for found in recent)
            return
        recent = self._truth.list_since(_REVOKE_S)
        assert any(key in found.keys for found in recent)


def test_keys_pass_only_under_proof_fuzz(truth):
    @seed(20261204)
    @settings(max_examples=10_000 if _IS_LONG else 300, deadline=None)
    @given(history=st.lists(steps, min_size=1, max_size=12))
    def play(history):
        truth.__init__()
        asyncio.run(Play(truth).run(history))

    play()
