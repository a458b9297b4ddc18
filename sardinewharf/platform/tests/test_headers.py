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
