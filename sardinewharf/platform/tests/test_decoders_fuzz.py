"""Fuzzes the decoders of what other processes send.

``DECODERS`` states the errors that each may raise. What they return must be
usable: an endpoint can be connected to, and all that other gateways are told
can be encoded.
"""

from collections.abc import Callable
import copy
import dataclasses
import os
import random

import msgspec
import pytest

from sardinewharf import addresses
from sardinewharf import claims
from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import decoding
from sardinewharf import endpoints
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import inventory
from sardinewharf import keyvalue
from sardinewharf import leases
from sardinewharf import limits
from sardinewharf import platform
from sardinewharf.claims import records as claim_records
from sardinewharf.daemons import codec
from sardinewharf.daemons.gen.wire import ttypes
from sardinewharf.gateway import crashes
from sardinewharf.gateway import digests
from sardinewharf.gateway import drains
from sardinewharf.gateway import exchange
from sardinewharf.gateway import members
from sardinewharf.gateway import messages
from sardinewharf.gateway import prompts
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import suspect_reports
from sardinewharf.gateway.tests import stores
from sardinewharf.platform import headers
from sardinewharf.platform import items
from sardinewharf.platform import wire
from sardinewharf.testbed import gateway_harness

_IS_LONG = os.environ.get("SARDINEWHARF_FUZZ") == "long"
_MESSAGES = 20_000 if _IS_LONG else 300
_SEED = 20261205

ODD_JSON = [
    b"[" * 5_000 + b"]" * 5_000,
    b"[" * 100_000,
    b'{"a":' * 50_000,
    b"9" * 30,
    b"-" + b"9" * 5_000,
    b"1e400",
    b"-1e400",
    b"1" * 400 + b".5",
    b"NaN",
    b"Infinity",
    b"-1",
    b"0",
    b"18446744073709551616",
    b"9223372036854775807",
    b"null",
    b"true",
    b"{}",
    b"[]",
    b"[null]",
    b'""',
    b'"\\u0000"',
    b'"\\ud800"',
    b'"\\udfff\\ud800"',
    b'"\xff\xfe"',
    b'"' + b"x" * 70_000 + b'"',
    b'"127.0.0.1:70000"',
    b'"127.0.0.1:' + b"9" * 5_000 + b'"',
    b'"127.0.0.1"',
    b"",
]
ODD_MSGPACK = [
    b"\x91" * 5_000,
    b"\x81\xa1a" * 100_000,
    b"\xcf" + b"\xff" * 8,
    b"\xd3\x80" + b"\x00" * 7,
    b"\xcb\x7f\xf8" + b"\x00" * 6,
    b"\xcb\x7f\xf0" + b"\x00" * 6,
    b"\xc0",
    b"\xc1",
    b"\xc3",
    b"\x80",
    b"\x90",
    b"\xa0",
    b"\xa1\x00",
    b"\xa3\xed\xa0\x80",
    b"\xa2\xff\xfe",
    b"\xdb\xff\xff\xff\xff",
    b"\xdd\xff\xff\xff\xff",
    b"\xdf\xff\xff\xff\xff",
    b"\xff",
    b"",
]

SERVER = {
    "service": "orders",
    "address": "127.0.0.1:1",
    "zone": "fd-1",
    "slots": 8,
    "state": "ready",
    "models": [{"name": "m", "version": 1}],
    "born": 1,
}
MEMBER = {"address": "127.0.0.1:1", "failure_domain": "fd-1"}
TARGET = {"model": "m", "version": 1}
LEASE = {"holder": "vm-1", "quiet_ms": 5}
REPORT = {"models": [{"name": "m", "version": 1}], "busy": False, "born": 1}
ITEM = {"key": "a", "value": "dg==", "rev": 1, "lease": 2, "deleted": False}
EVENTS = {"epoch": 1, "next": 2, "events": [[1, "+", "s", "p", 5, "m"]]}
DIGEST = digests.Digest(
    sender="vm-2",
    started=1,
    number=1,
    revision=5,
    loads=[digests.LoadUpdate("a", 1, 2, 3)],
    draining=["a"],
    weights=[digests.WeightsUpdate("a", "m", 2)],
    crashes=[digests.CrashUpdate(b"f", "a/1", 5)],
    target_versions=[digests.TargetVersionUpdate("m", 2, 10, 5)],
    prefills=[digests.PrefillUpdate(1, "a/1", 5)],
    cache_uses=[digests.CacheUseUpdate(1, "a/1", 100, 5)],
    cache_store_age_ms=5,
    cache_store="127.0.0.1:1",
    more_cache_stores=[digests.CacheStoreAge("127.0.0.1:2", 5)],
)
URGENT = digests.UrgentUpdate(
    sender="vm-2",
    started=1,
    number=1,
    draining=[digests.DrainUpdate("a", 50)],
    weights=[digests.WeightsUpdate("a", "m", 2)],
    prefills=[digests.PrefillUpdate(1, "a/1", 5)],
)
SUSPECT_REPORT = digests.SuspectReport(
    [
        digests.SuspectUpdate(
            b"f",
            5,
            [digests.CrashUpdate(b"f", f"e{i}/1", 5) for i in range(3)],
            90_000,
            1,
            5,
        )
    ]
)


class Gateway:
    """The parts of a gateway that keep what was decoded."""

    def __init__(self):
        self.log = stores.MemoryLog()
        self.reader = platform.EntryReader(self.log)
        self.replica = replica_lib.Replica(self.log)
        self.exchange = exchange.StateExchange(
            stores.make_settings("vm-1"),
            self.replica,
            fleet.LoadTable(),
            drains.DrainTable(),
            prompts.PromptTable(lambda: None),
        )
        self.suspects = limits.SuspectTable(600.0)
        self.reports = suspect_reports.SuspectExchange(
            self.suspects,
            crashes.CrashDetector(
                stores.make_settings("vm-1"),
                self.replica.registry,
                fleet.NoticeTable(),
                self.suspects,
                self.log,
            ),
        )

    def check(self):
        """Checks that other gateways can be told what this one holds."""
        msgspec.msgpack.encode(self.exchange.make_digest())
        msgspec.msgpack.encode(self.exchange.make_urgent_update())
        msgspec.msgpack.encode(self.reports.make_report())
        self.suspects.is_quarantined(b"f", clocks.read_monotonic())
        for endpoint in self.replica.registry.list_all():
            addresses.parse_address(endpoint.address)
        for address in self.replica.members.values():
            addresses.parse_ip_address(address)


def apply_entry(key):
    gateway = Gateway()

    def apply(data):
        former = gateway.replica.configuration
        count = len(gateway.log.events)
        change = gateway.reader.read_change(keyvalue.Entry(key, data, 1))
        gateway.reader._rejected.clear()
        if change is not None:
            gateway.replica.apply(change, None)
        elif key.startswith("op/"):
            assert gateway.replica.configuration is former
            assert len(gateway.log.events) == count + 1
        gateway.check()

    return apply


def merge_datagram(data):
    message = decoding.decode_msgpack(data, digests.Message)
    gateway = Gateway()
    gateway.replica.apply(
        gateway.reader.read_change(
            keyvalue.Entry("servers/a", msgspec.json.encode(SERVER), 1)
        ),
        None,
    )
    if isinstance(message, digests.Digest | digests.UrgentUpdate):
        gateway.exchange.handle(message)
    if isinstance(message, digests.SuspectReport):
        gateway.reports.merge(message)
    gateway.check()


def read_items(data):
    entries = items.make_entries(items.decode_items([msgspec.Raw(data)]))
    assert all(isinstance(entry.key, str) for entry in entries)


def read_events(data):
    events = decoding.decode_json(data, wire.Events)
    platform.engines._decode_events("a", events.events)


def read_json(kind):
    return lambda data: decoding.decode_json(data, kind)


def read_msgpack(kind):
    return lambda data: decoding.decode_msgpack(data, kind)


def read_request(name):
    return lambda data: platform.PlatformHeaderCodec().read_request(
        [(name, data)], 0.0
    )


def read_response(name):
    return lambda data: platform.PlatformHeaderCodec().read_response(
        http1.Head(200, [(name, data)])
    )


@dataclasses.dataclass(frozen=True)
class Case:
    """A decoder, a message that it decodes, and the errors it may raise."""

    decode: Callable[[bytes], object]
    sample: object
    errors: tuple[type[Exception], ...] = (decoding.DecodeError,)
    is_json: bool = True


NO_ERRORS = ()
MALFORMED = (messages.MalformedError, UnicodeDecodeError)
DECODERS = {
    "servers": Case(apply_entry("servers/a"), SERVER, NO_ERRORS),
    "members": Case(apply_entry(members.KEY_PREFIX + "a"), MEMBER, NO_ERRORS),
    "op/config": Case(
        apply_entry("op/config"), gateway_harness.make_manifest(), NO_ERRORS
    ),
    "op/version": Case(apply_entry("op/version/m"), TARGET, NO_ERRORS),
    "lease": Case(apply_entry(leases.KEY_PREFIX + "weights"), LEASE, NO_ERRORS),
    "lease record": Case(leases.decode_lease_record, LEASE, NO_ERRORS),
    "item": Case(read_items, ITEM, NO_ERRORS),
    "stored item": Case(read_json(wire.StoredItem), ITEM),
    "range": Case(
        read_json(wire.Range), {"items": [ITEM], "store_revision": 1}
    ),
    "watch": Case(
        read_json(wire.Watch), {"events": [ITEM], "store_revision": 1}
    ),
    "transaction": Case(read_json(wire.TxnResponse), {"rev": 1}),
    "grant": Case(read_json(wire.GrantResponse), {"ttl_ms": 1, "lease": 1}),
    "renewal": Case(read_json(wire.RenewalResponse), {"ttl_ms": 1}),
    "report": Case(read_json(wire.Report), REPORT),
    "cache events": Case(read_events, EVENTS),
    "digest": Case(merge_datagram, DIGEST, is_json=False),
    "urgent update": Case(merge_datagram, URGENT, is_json=False),
    "suspect report": Case(merge_datagram, SUSPECT_REPORT, is_json=False),
    "feed response": Case(
        merge_datagram, digests.FeedResponse(1, 2, 3, b"4"), is_json=False
    ),
    "feed entries": Case(
        lambda data: digests.decompress_entries(digests.zlib.compress(data, 1)),
        [digests.FeedEntry("a", b"1", 1)],
        is_json=False,
    ),
    "compressed feed": Case(digests.decompress_entries, [1, 2], is_json=False),
    "load report": Case(
        read_json(endpoints.LoadReport), {"incarnation": "a", "running": 1}
    ),
    "VM list": Case(read_json(tuple[inventory.Vm, ...]), []),
    "plan": Case(read_json(configuration.Plan), {}),
    "claims": Case(
        read_msgpack(claim_records.Head),
        claim_records.Head(),
        is_json=False,
    ),
    "operation": Case(
        read_msgpack(claims.Operation),
        claims.Operation(claims.Action.CLAIM, b"k", "a", b"d", 1.0),
        is_json=False,
    ),
    "daemon frame": Case(
        lambda data: codec.decode(data, ttypes.Request),
        [1],
        (codec.FrameError,),
        is_json=False,
    ),
    "tokens": Case(read_request(headers.TOKENS), 100, MALFORMED),
    "prompt": Case(read_request(headers.PREFIX), "a:100", MALFORMED),
    "time left": Case(read_request(headers.TIME_LEFT), 100, MALFORMED),
    "event id": Case(read_request(headers.LAST_EVENT_ID), 100, MALFORMED),
    "request id": Case(read_request(headers.REQUEST_ID), "a", MALFORMED),
    "key": Case(read_request(headers.AUTHORIZATION), "a", MALFORMED),
    "weights": Case(read_response(headers.WEIGHTS), 100, NO_ERRORS),
    "load": Case(read_response(headers.LOAD), "1,2,3", NO_ERRORS),
    "answered id": Case(read_response(headers.REQUEST_ID), "a", NO_ERRORS),
    "address": Case(
        lambda data: addresses.parse_address(data.decode("latin-1")),
        "127.0.0.1:1",
        (addresses.AddressError,),
    ),
}

# Decoders whose sample is no message that they decode.
WITHOUT_SAMPLE = {"compressed feed", "daemon frame", "plan"}


def list_places(value, place=()):
    """Returns the places of all parts of a value, as paths of keys."""
    places = [place]
    if isinstance(value, dict):
        parts = value.items()
    elif isinstance(value, list):
        parts = enumerate(value)
    else:
        return places
    for key, part in parts:
        places += list_places(part, (*place, key))
    return places


def replace_part(value, place, part):
    """Returns a value with another part at a place."""
    if not place:
        return part
    changed = copy.deepcopy(value)
    holder = changed
    for key in place[:-1]:
        holder = holder[key]
    holder[place[-1]] = part
    return changed


def make_message(rng, case):
    """Returns a sample with an odd part, cut off or changed bytes."""
    encoder = msgspec.json if case.is_json else msgspec.msgpack
    sample = encoder.decode(encoder.encode(case.sample))
    odd = rng.choice(ODD_JSON if case.is_json else ODD_MSGPACK)
    place = rng.choice(list_places(sample))
    kind = rng.randrange(4)
    if kind == 0:
        return odd
    if kind == 1:
        return encoder.encode(replace_part(sample, place, msgspec.Raw(odd)))
    data = bytearray(encoder.encode(sample))
    if kind == 2:
        return bytes(data[: rng.randrange(len(data) + 1)])
    for _ in range(rng.randrange(1, 4)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data)


@pytest.mark.parametrize("name", DECODERS)
def test_decoders_raise_only_the_errors_stated(name):
    """Guards against tasks that end by errors which no caller handles."""
    case = DECODERS[name]
    rng = random.Random(f"{_SEED} {name}")
    for number in range(_MESSAGES):
        data = make_message(rng, case)
        try:
            case.decode(data)
        except case.errors:
            continue
        except Exception as error:
            detail = f"message {number}: {data[:300]!r}"
            raise AssertionError(detail) from error


@pytest.mark.parametrize("name", sorted(DECODERS.keys() - WITHOUT_SAMPLE))
def test_samples_are_decoded(name):
    """The samples from which the odd messages are made are not odd."""
    case = DECODERS[name]
    encoder = msgspec.json if case.is_json else msgspec.msgpack
    data = encoder.encode(case.sample)
    case.decode(data.strip(b'"') if case.is_json else data)
