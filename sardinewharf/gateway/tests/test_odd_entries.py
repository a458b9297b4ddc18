"""Checks that one odd entry of the store costs only itself.

An entry that cannot be decoded ended the task that follows the store, or that
exchanges messages with other gateways, for good.
"""

import asyncio
import zlib

import pytest

from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import http1
from sardinewharf import keyvalue
from sardinewharf import platform
from sardinewharf.gateway import digests
from sardinewharf.gateway import peers
from sardinewharf.gateway.tests import gossips
from sardinewharf.gateway.tests import stores
from sardinewharf.testbed import gateway_harness

SERVER = {
    "service": gateway_harness.ORDERS,
    "address": "127.0.0.1:1",
    "zone": "fd-1",
    "slots": 8,
    "state": "ready",
    "born": 1,
}
NESTED = b'{"address":"127.0.0.1:1","x":' + b"[" * 5_000 + b"]" * 5_000 + b"}"
# Entries that name no endpoint and no gateway.
UNREADABLE = {
    "nested": NESTED,
    "nested deeper": b'{"models":' + b"[" * 100_000,
    "nested objects": b'{"models":' + b'[{"a":' * 50_000,
    "truncated": b'{"address":"127.0.0.1:1',
    "no UTF-8": b'{"address":"\xff\xfe"}',
    "empty": b"",
}
UNUSABLE_ADDRESSES = [
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:0",
    "127.0.0.1:" + "9" * 30,
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:\u0661\u0662",
    "127.0.0.1",
    ":80",
    "",
    "a\x00b:80",
    "h" * 300 + ":80",
    "127.0.0.1\r\nx-a: b:80",
]


async def check_follows(harness):
    """Checks that the gateway still follows the store."""
    await harness.store.put("servers/later", SERVER)
    registry = harness.gateways[-1]._replica.registry

    async def is_known():
        return registry.find("later") is not None

    await gateway_harness.wait_for(is_known, 2.0)


@pytest.mark.parametrize("kind", UNREADABLE)
@pytest.mark.parametrize("prefix", ["servers/", "sardinewharf/members/"])
async def test_an_entry_that_cannot_be_decoded_ends_no_watch(
    harness, prefix, kind
):
    """Guards against "Task sync failed" for good (RecursionError)."""
    await harness.store.put(f"{prefix}odd", UNREADABLE[kind])
    await check_follows(harness)


async def test_odd_entries_at_the_start_end_no_listing(harness):
    """Guards against a new gateway that never gets ready."""
    for number, value in enumerate(UNREADABLE.values()):
        for prefix in ("servers/", "sardinewharf/members/", "op/version/"):
            await harness.store.put(f"{prefix}odd{number}", value)
    await harness.store.put("sardinewharf/placement/weights", NESTED)
    gateway = await harness.start_gateway("vm-late")
    assert gateway._replica.rollout_leader
    await check_follows(harness)


async def test_a_lease_record_that_cannot_be_decoded_ends_no_watch(harness):
    """Guards against "Task sync failed" by the record of a leader."""
    await harness.store.put("sardinewharf/placement/weights", NESTED)
    await check_follows(harness)


@pytest.mark.parametrize("key", ["op/config", "op/version/m"])
@pytest.mark.parametrize("kind", ["nested", "truncated", "no UTF-8"])
async def test_what_operators_wrote_before_stays_in_force(harness, key, kind):
    """Guards against "Task sync failed" by what an operator writes."""
    replica = harness.gateways[0]._replica
    former = replica.configuration
    await harness.store.put(key, UNREADABLE[kind])
    await check_follows(harness)
    assert replica.configuration is former
    assert (await harness.send_request("/book/1")).status == 200


async def test_an_address_without_a_connection_names_no_endpoint(harness):
    """Guards against answers 500 (OverflowError in ``http1.connect``)."""
    for server in harness.servers:
        await harness.store.remove(f"servers/{server.id}")
    for number, address in enumerate(UNUSABLE_ADDRESSES):
        entry = SERVER | {"address": address}
        await harness.store.put(f"servers/odd{number}", entry)
    await check_follows(harness)
    await harness.store.remove("servers/later")
    await asyncio.sleep(0.3)
    for _ in range(len(UNUSABLE_ADDRESSES)):
        response = await harness.send_request(
            "/look/1", "GET", x_sardinewharf_deadline_ms="400"
        )
        assert response.status == 503
    registry = harness.gateways[0]._replica.registry
    assert {e.service for e in registry.list_all()} == {gateway_harness.ENGINES}


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
async def test_an_address_without_a_connection_is_a_connect_error(address):
    """Guards against an OverflowError that callers saw as 500."""
    with pytest.raises(http1.ConnectError):
        await http1.connect(address, clocks.Deadline.after(0.5))


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
async def test_a_gateway_without_an_address_ends_no_gossip(harness, address):
    """Guards against "Task peers failed" for good, and a closed socket."""
    await harness.start_gateway("vm-1")
    await harness.store.put("sardinewharf/members/odd", {"address": address})
    await asyncio.sleep(0.3)
    await gossips.check_gossips(harness)
    assert "odd" not in harness.gateways[0]._replica.members


async def test_a_version_beyond_64_bits_ends_no_gossip(harness):
    """Guards against an OverflowError while digests are encoded."""
    await harness.start_gateway("vm-1")
    await harness.store.put(
        f"op/version/{gateway_harness.MODEL}",
        {"model": gateway_harness.MODEL, "version": 10**30},
    )
    await asyncio.sleep(0.5)
    await gossips.check_gossips(harness)


async def test_a_nested_datagram_is_logged(harness, monkeypatch):
    """Guards against a RecursionError in the handler of datagrams."""
    logged = []
    monkeypatch.setattr(peers._log, "warning", lambda *a: logged.append(a))
    nested = b"\x94\x02\x01\x90" + b"\x91" * 1_300 + b"\x01"
    harness.gateways[0]._peers.datagram_received(nested, ("127.0.0.1", 1))
    assert logged


def test_changes_that_expand_without_bound_are_refused():
    """Guards against a small response that fills the memory."""
    compressed = zlib.compress(b"\x00" * 100_000_000, 9)
    with pytest.raises(decoding.DecodeError):
        digests.decompress_entries(compressed)


def test_a_removed_entry_is_forgotten():
    """Guards against a reader that keeps each key that was ever rejected."""
    reader = platform.EntryReader(stores.MemoryLog())
    for number in range(10):
        key = f"servers/{number}"
        reader.read_change(keyvalue.Entry(key, b"odd", 1))
        reader.read_change(keyvalue.Entry(key, None, 2))
    assert not reader._rejected


async def test_an_entry_without_a_start_names_no_endpoint(harness):
    """Requests were sent to it, and no restart could be told of it."""
    odd = {name: value for name, value in SERVER.items() if name != "born"}
    await harness.store.put("servers/odd", odd)
    await check_follows(harness)
    assert harness.gateways[0]._replica.registry.find("odd") is None


async def test_weights_of_a_split_may_be_of_any_size(harness):
    """Guards against answers 500 (their sum was no finite number)."""
    manifest = gateway_harness.make_manifest(2)
    for route in manifest["routes"]:
        if route["name"] == "book":
            service = route.pop("service")
            split = {"service": service, "weight": 1e308}
            route["traffic_split"] = [split, split]
    await harness.store.put("op/config", manifest)
    await check_follows(harness)
    assert (await harness.send_request("/book/1", body=b"x")).status == 200
