"""Tests the record of a connection that is closed with a request on it."""

import asyncio

import pytest_asyncio

from sardinewharf import records
from sardinewharf.gateway.tests import callers


@pytest_asyncio.fixture
async def caller(harness):
    opened = await callers.RawCaller.connect(harness)
    yield opened
    opened.close()


@pytest_asyncio.fixture
async def ended(harness):
    """Returns the records of ended connections, as they are written."""
    found = []
    log = harness.gateways[0]._log
    write = log.write

    def write_and_keep(record):
        if isinstance(record, records.events.ConnectionEnded):
            found.append(record)
        write(record)

    log.write = write_and_keep
    return found


async def test_a_slow_head_leaves_a_record(harness, caller, ended):
    """Guards against a connection that is closed without any record."""
    request, request_id = callers.encode(harness, "/book/1", body=b"")
    await caller.send(request[:-2])
    assert (await caller.read_response()).status == 408
    await asyncio.sleep(0.05)
    (record,) = ended
    assert record.reason == "slow_head"
    assert record.head_bytes == len(request) - 2
    assert record.request == request_id
    assert not record.has_responded


async def test_a_malformed_request_leaves_a_record(harness, caller, ended):
    """Guards against a rejection that is in no record."""
    request, _ = callers.encode(harness, "/book/1")
    await caller.send(request)
    assert (await caller.read_response()).status == 200
    await caller.send(b"\x00\x01\r\n\r\n")
    assert (await caller.read_response()).status == 400
    await asyncio.sleep(0.05)
    (record,) = ended
    assert record.reason == "malformed"
    assert record.has_responded


async def test_a_request_behind_a_cut_stream_leaves_a_record(
    harness, caller, ended
):
    """Guards against a request that was read whole and is in no record."""
    for engine in harness.engines:
        engine.faults.cut_after = 2
        engine.event_interval_s = 0.1
    first, _ = callers.encode(harness, "/chat/1")
    second, request_id = callers.encode(harness, "/book/1")
    await caller.send(first + second)
    assert not (await caller.read_response()).is_complete
    await asyncio.sleep(0.05)
    (record,) = ended
    assert record.reason == "earlier_response"
    assert record.request == request_id
    assert record.queued == 1


async def test_a_caller_that_leaves_has_no_such_record(harness, ended):
    """Guards against records of connections that callers closed themselves."""
    request, _ = callers.encode(harness, "/book/1")
    for sent in (request[:20], request[:-1], request, request + request[:20]):
        leaving = await callers.RawCaller.connect(harness)
        await leaving.send(sent)
        await asyncio.sleep(0.05)
        leaving.close()
        await asyncio.sleep(0.05)
    assert ended == []
