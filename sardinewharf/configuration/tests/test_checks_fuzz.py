"""Fuzzes the checks with documents of wrong and unusual values.

The checks must report an error exactly if the document is rejected. A document
that passes although ``plan`` rejects it would make the check useless, and so
would an error on a document that ``plan`` and ``confirm`` accept.
"""

import json

from hypothesis import given
from hypothesis import strategies

from sardinewharf import configuration

_KEY = configuration.hash_api_key("key")
_VALUES = strategies.sampled_from(
    ["a", "b", "", "A b", "/x", _KEY, 0, 1, -1, 10, 2.5, True, 1e300]
    + [[], [1], [_KEY], [_KEY, "x"], {}, {"name": "a"}, [{"name": "x"}]]
)
_FIELDS = strategies.sampled_from(
    ["name", "weights", "engines", "model", "key_hashes", "weight", "intent"]
    + ["requests_per_second", "concurrent_requests", "calls", "other"]
)
_ITEMS = strategies.dictionaries(_FIELDS, _VALUES, max_size=5)
_KINDS = strategies.sampled_from(
    ["organisations", "models", "adapters", "applications", "other"]
)
_INTENTS = strategies.dictionaries(
    strategies.sampled_from(
        ["priority", "deadline_seconds", "first_token_weight", "extra"]
    ),
    _VALUES,
)
_APPLICATIONS = strategies.fixed_dictionaries(
    {"name": strategies.sampled_from(["a", "b"]), "intent": _INTENTS}
)
_LISTS = strategies.lists(_ITEMS | _APPLICATIONS | _VALUES, max_size=3)
_DOCUMENTS = strategies.dictionaries(_KINDS, _LISTS | _VALUES, max_size=4)


def write_toml(value):
    """Returns a value as TOML, with tables written inline."""
    if isinstance(value, dict):
        fields = (f"{k} = {write_toml(v)}" for k, v in value.items())
        return "{" + ", ".join(fields) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(write_toml, value)) + "]"
    return json.dumps(value)


@given(_DOCUMENTS)
def test_fuzz_errors_are_found_exactly_if_a_document_is_rejected(raw):
    text = "\n".join(f"{k} = {write_toml(v)}" for k, v in raw.items())
    result = configuration.check_text(text)
    try:
        document = configuration.parse_document(text)
    except configuration.DocumentError:
        document = None
    assert result.document == document
    assert configuration.has_failed(result.findings, False) is (
        document is None
    )
