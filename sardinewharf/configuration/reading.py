"""Converts decoded TOML to the schema field by field.

``msgspec.convert`` ends at the first field of a wrong type; the reader here
goes on and keeps the errors of all fields.

Examples:
    >>> from sardinewharf.configuration import documents
    >>> reader = FieldReader()
    >>> reader.read({"name": "chat", "engines": "2"}, documents.Model, "m")
    Model(name='chat', weights='', engines=1)
    >>> for field, message in reader.errors:
    ...     print(field, message)
    m.weights is missing. Add it.
    m.engines Expected `int`, got `str`. Correct the value.
"""

import json
import math
import re
import typing

import msgspec

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")


class FieldReader:
    """Converts decoded TOML to the types of the schema, field by field.

    A field that cannot be converted gets its default, or an empty string if
    it has none, and an item of a wrong type gets such fields. Thus the indices
    in the findings of later checks are those of the text. Later findings on
    fields in ``errors`` are to be discarded.

    Attributes:
        errors: Field and reason, with the remedy, of each failed conversion.
    """

    def __init__(self):
        self.errors: list[tuple[str, str]] = []

    def read(self, value: object, kind: typing.Any, path: str) -> typing.Any:
        """Returns the value as a ``kind``; a struct in any case, else None."""
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            if isinstance(value, dict):
                return self._read_struct(value, kind, path)
            self._read_value(value, kind, path)
            return _make_placeholder(kind)
        if typing.get_origin(kind) is tuple and isinstance(value, list):
            item_kind = typing.get_args(kind)[0]
            items = [
                self.read(item, item_kind, f"{path}[{index}]")
                for index, item in enumerate(value)
            ]
            return tuple(item for item in items if item is not None)
        return self._read_value(value, kind, path)

    def _read_struct(
        self, raw: dict[str, object], kind: type[msgspec.Struct], path: str
    ) -> msgspec.Struct:
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        for name in raw:
            if name in fields:
                continue
            self._add_error(
                _join(path, name),
                f"unknown field. Remove it, or use one of {', '.join(fields)}.",
            )
        values = {}
        for name, field in fields.items():
            if name in raw:
                value = self.read(raw[name], field.type, _join(path, name))
                if value is not None:
                    values[name] = value
            elif field.required:
                self._add_error(_join(path, name), "is missing. Add it.")
        return msgspec.structs.replace(_make_placeholder(kind), **values)

    def _read_value(
        self, value: object, kind: typing.Any, path: str
    ) -> typing.Any:
        try:
            converted = msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            reason = str(error).partition(" - at `$")[0]
            self._add_error(path, f"{reason}. Correct the value.")
            return None
        if isinstance(converted, float) and not math.isfinite(converted):
            self._add_error(path, "is not finite. Use a finite number.")
            return None
        return converted

    def _add_error(self, path: str, message: str) -> None:
        self.errors.append((path, message))


def _make_placeholder(kind: type[msgspec.Struct]) -> msgspec.Struct:
    """Returns a struct of defaults; all fields without one are strings."""
    fields = msgspec.structs.fields(kind)
    return kind(**{field.name: "" for field in fields if field.required})


def _join(path: str, name: str) -> str:
    """Returns the path of a field; keys that TOML quotes are quoted."""
    if not _BARE_KEY.fullmatch(name):
        name = json.dumps(name)
    return f"{path}.{name}" if path else name
