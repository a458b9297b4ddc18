"""Tests the decoding of headers that faulty endpoints send."""

import pytest

from sardinewharf import http1
from sardinewharf import platform


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
