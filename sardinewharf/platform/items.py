"""Decodes the items in responses of the platform's store, each one alone."""

import base64
from collections.abc import Iterable

import msgspec

from sardinewharf import decoding
from sardinewharf import keyvalue
from sardinewharf import logs
from sardinewharf.platform import wire

_log = logs.get_logger("store")


def decode_items(items: Iterable[msgspec.Raw]) -> list[wire.Item]:
    """Returns the items that name a key.

    One of which only the key and the revision can be decoded has an empty
    value, which is rejected where the entry is decoded.
    """
    decoded = (_decode_item(item) for item in items)
    return [item for item in decoded if item is not None]


def _decode_item(item: msgspec.Raw) -> wire.Item | None:
    try:
        return decoding.decode_json(item, wire.Item)
    except decoding.DecodeError as error:
        _log.warning("An item of the store cannot be decoded: {}.", error)
    try:
        key = decoding.decode_json(item, wire.ItemKey)
    except decoding.DecodeError:
        return None
    return wire.Item(key.key, rev=key.rev)


def make_entries(items: Iterable[wire.Item]) -> tuple[keyvalue.Entry, ...]:
    """Returns the entries that the items hold."""
    return tuple(_make_entry(item) for item in items)


def _make_entry(item: wire.Item) -> keyvalue.Entry:
    if item.deleted:
        return keyvalue.Entry(item.key, None, item.rev)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # An empty value is rejected and logged where the entry is decoded.
        value = b""
    return keyvalue.Entry(item.key, value, item.rev)
