"""Tests the responses to valid and invalid requests."""

import asyncio

import pytest_asyncio

from sardinewharf.testbed import platform_rig


@pytest_asyncio.fixture
async def rig():
    found = platform_rig.Rig()
    await found.start()
    yield found
    await found.close()


async def test_each_kind_of_request_is_answered_whole(rig):
    book = await rig.ask("/book/1?a=b", body=b"pallet")
    look = await rig.ask("/look/1", method="GET")
    chat = await rig.ask("/chat/1", body=b"prompt")
    assert (book.status, book.body) == (200, b"an answer")
    assert look.status == 200
    assert chat.status == 200 and chat.is_whole
    assert chat.body.count(b"data:") == 4
    ran = {r.target: r for r in rig.list_ran()}
    assert ran["/book/1?a=b"].body == b"pallet"
    assert ran["/look/1"].method == "GET"


async def test_callers_cannot_set_the_headers_of_the_system(rig):
    await rig.ask(
        "/chat/1",
        body=b"prompt",
        x_sardinewharf_tenant="another",
        x_sardinewharf_cache_salt="salt",
        x_sardinewharf_kv_fetch="10.0.0.1:1",
        x_sardinewharf_kv_hold="h",
        x_sardinewharf_pin_ms="9",
        kv_from="10.0.0.1:1/2",
        x_sardinewharf_expect_instance="e9",
    )
    (ran,) = rig.list_ran()
    assert ran.headers["x-sardinewharf-tenant"] == "org-1"
    assert ran.headers["x-sardinewharf-cache-salt"] == "m1/1"
    assert "authorization" not in ran.headers
    for name in ("kv-fetch", "kv-hold", "pin-ms"):
        assert f"x-sardinewharf-{name}" not in ran.headers
    assert "kv-from" not in ran.headers


async def test_an_isolated_organisation_has_a_cache_of_its_own(rig):
    await rig.ask("/chat/1", body=b"p", authorization="Token key-2")
    (ran,) = rig.list_ran()
    assert ran.headers["x-sardinewharf-cache-salt"] == "m1/1/org-2"


async def test_wrong_requests_are_refused_at_once_and_reach_nobody(rig):
    no_route = await rig.ask("/nowhere/1")
    no_key = await rig.ask("/book/1", authorization="Token wrong")
    too_large = await rig.ask("/book/1", body=b"x" * 70_000)
    many_headers = await rig.ask("/book/1", x_filler="y" * 9_000)
    malformed = await rig.ask(
        "/chat/1", body=b"p", x_sardinewharf_prompt_prefix="aa:many"
    )
    statuses = [
        a.status for a in (no_route, no_key, too_large, many_headers, malformed)
    ]
    assert statuses == [404, 401, 413, 431, 400]
    assert rig.list_ran() == []
    public = await rig.ask("/open/1", method="GET", authorization="")
    assert public.status == 200


async def test_a_slow_head_is_answered_with_a_timeout(rig):
    host, port = rig.urls[0].removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /look/1 HTTP/1.1\r\nHost: a")
    line = await asyncio.wait_for(reader.readline(), 2.0)
    assert b" 408 " in line
    writer.close()


async def test_a_caller_that_leaves_ends_the_work_at_its_endpoint(rig):
    for engine in rig.engines:
        engine.event_interval_s = 0.5
    asking = asyncio.ensure_future(rig.ask("/chat/1", body=b"p"))
    await asyncio.sleep(0.3)
    asking.cancel()

    async def was_aborted() -> bool:
        return [r.ended for r in rig.list_ran()] == ["left"]

    await platform_rig.wait_for(was_aborted, 1.0)


async def test_an_entry_that_cannot_be_read_hurts_no_other(rig):
    await rig.store.put("servers/bad-1", b"\x00 not JSON")
    await rig.store.put("servers/bad-2", {"service": platform_rig.ORDERS})
    await rig.store.put("servers/s0", {"service": 7})
    await asyncio.sleep(0.1)
    answers = [await rig.ask("/book/1", body=b"x") for _ in range(6)]
    assert {a.status for a in answers} == {200}
    assert rig.servers[0].executed == []
