"""Tests the decoding of headers that faulty endpoints send."""

import pytest

from sardinewharf import http1
from sardinewharf import platform
from sardinewharf.gateway import messages
from sardinewharf.platform import headers


@pytest.mark.parametrize("digits", [19, 400, 5_000])
def test_numbers_that_are_too_long_count_as_missing(digits):
    """Python refuses to read over 4,300 digits, and the caller got a 500."""
    number = b"9" * digits
    head = http1.Head(
        200,
        [
            (b"x-sardinewharf-weight-versions", number),
            (b"x-sardinewharf-server-load", b"1," + number + b",2"),
        ],
    )
    decoded = platform.PlatformHeaderCodec().read_response(head)
    assert decoded.weights == 0
    assert decoded.load is None


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,1,24", messages.Load(3, 1, 24)),
        (b"3, 1, 24, 250", messages.Load(3, 1, 24, 2.5)),
        (b"3,1,24,0", messages.Load(3, 1, 24)),
        (b"3,1,24,", None),
        (b"3,1,24,-100", None),
        (b"3,1,24,1.5", None),
        (b"3,1,24,100,100", None),
        (b"3,1", None),
        (b"3,1,24," + b"9" * 19, None),
    ],
)
def test_a_load_has_three_or_four_figures(value, load):
    """A load of four figures was dropped as a whole."""
    head = http1.Head(200, [(headers.LOAD, value)])
    assert platform.PlatformHeaderCodec().read_response(head).load == load


@pytest.mark.parametrize(
    ("values", "is_leaving"),
    [
        ([b"1"], True),
        ([b" 1 "], True),
        ([b"0", b"1"], True),
        ([b"1, 1"], True),
        ([b"0"], False),
        ([b""], False),
        ([b"true"], False),
        ([b"11"], False),
        ([b"1" * 5_000], False),
        ([], False),
    ],
)
def test_an_endpoint_leaves_only_if_it_says_so_with_one(values, is_leaving):
    head = http1.Head(200, [(b"server-leaving", value) for value in values])
    decoded = platform.PlatformHeaderCodec().read_response(head)
    assert decoded.is_leaving is is_leaving


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        ([b"3"], 3.0),
        ([b" 0.25 "], 0.25),
        ([b"0"], 0.0),
        ([b"2", b"7", b"5"], 7.0),
        ([b"2", b"soon"], 2.0),
        ([b"9" * 18], 1e18),
        ([b"9" * 19], None),
        ([b"9" * 5_000], None),
        ([b"Wed, 21 Oct 2026 07:28:00 GMT"], None),
        ([b"-1"], None),
        ([b"+1"], None),
        ([b"1e3"], None),
        ([b"nan"], None),
        ([b"1_0"], None),
        ([b"3\n"], 3.0),
        ([b"\xd9\xa3"], None),
        ([b""], None),
        ([], None),
    ],
)
def test_a_pause_is_read_only_from_a_number_of_seconds(values, seconds):
    head = http1.Head(503, [(b"retry-after", value) for value in values])
    decoded = platform.PlatformHeaderCodec().read_response(head)
    assert decoded.retry_after_s == seconds


def test_a_value_that_is_ignored_is_logged_once(monkeypatch):
    """An endpoint that sent it in each response would fill the log."""
    logged = []
    monkeypatch.setattr(
        headers._log, "warning", lambda *args: logged.append(args)
    )
    head = http1.Head(503, [(b"retry-after", b"in a while" * 100)] * 3)
    for _ in range(3):
        platform.PlatformHeaderCodec().read_response(head)
    ((_, value, name),) = logged
    assert value == b"in a while" * 4
    assert name == b"retry-after"


# It was rounded down by up to 5 ms, so that a caller that came back on time was
# refused once more.
@pytest.mark.parametrize("seconds", [2.991, 2.994, 2.9951, 0.3, 1.0])
def test_a_retry_after_is_not_shorter_than_the_wait(seconds):
    written = platform.PlatformHeaderCodec().write_refusal("r", seconds)
    stated = float(dict(written)[headers.RETRY_AFTER])
    assert seconds <= stated < seconds + 0.011
