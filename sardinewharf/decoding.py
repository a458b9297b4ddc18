"""Decodes messages of other processes; all failures are one type of error.

A message may be nested so deeply that the decoder raises a ``RecursionError``,
or hold numbers that no later computation can use. Callers handle a
``DecodeError`` and need not know the errors of the libraries.

Examples:
    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    >>> decode_json(b"[" * 100_000, list[object])
    Traceback (most recent call last):
        ...
    sardinewharf.decoding.DecodeError: maximum recursion depth exceeded while \
deserializing an object
"""

from collections.abc import Iterator
import contextlib
from typing import Annotated
from typing import TypeVar
import zlib

import msgspec

_Message = TypeVar("_Message")

# Type of integers in messages: larger ones cannot be passed on in MessagePack.
Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
# An error may quote a part of the message.
_MAX_DETAIL_CHARS = 200


class DecodeError(ValueError):
    """Raised if a message cannot be decoded."""


@contextlib.contextmanager
def convert_errors() -> Iterator[None]:
    """Raises a ``DecodeError`` in place of the errors of decoders.

    Raises:
        DecodeError: If the body raised an error that unreadable data cause.
    """
    try:
        yield
    except (
        msgspec.MsgspecError,
        RecursionError,
        OverflowError,
        ValueError,
        zlib.error,
    ) as error:
        raise DecodeError(str(error)[:_MAX_DETAIL_CHARS]) from error


def decode_json(data: bytes | msgspec.Raw, kind: type[_Message]) -> _Message:
    """Returns the message that JSON text holds.

    Raises:
        DecodeError: If it holds no such message.
    """
    with convert_errors():
        return msgspec.json.decode(data, type=kind)


def decode_msgpack(data: bytes | msgspec.Raw, kind: type[_Message]) -> _Message:
    """Returns the message that MessagePack data hold.

    Raises:
        DecodeError: If they hold no such message.
    """
    with convert_errors():
        return msgspec.msgpack.decode(data, type=kind)
