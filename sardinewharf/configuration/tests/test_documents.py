"""Tests that documents which cannot be planned are rejected when read."""

import pytest

from sardinewharf import configuration

_ORGANISATION = '[[organisations]]\nname = "a"\n{field} = {value}\n'
_INTENT = '[[applications]]\nname = "a"\nintent = {{ {field} = {value} }}\n'


@pytest.mark.parametrize("value", ["inf", "-inf", "nan"])
@pytest.mark.parametrize(
    ("text", "field"),
    [
        (_ORGANISATION, "weight"),
        (_ORGANISATION, "requests_per_second"),
        (_INTENT, "first_token_weight"),
        (_INTENT, "deadline_seconds"),
    ],
)
def test_a_number_that_is_not_finite_is_rejected(text, field, value):
    """Guards against plans that are accepted and cannot be confirmed.

    Such a number became null in the JSON of the plan, which the daemon then
    rejected as the wrong plan.
    """
    with pytest.raises(configuration.DocumentError, match=f"{field}: "):
        configuration.parse_document(text.format(field=field, value=value))


@pytest.mark.parametrize(
    "text", ["x = " + "[" * 5_000 + "]" * 5_000, "x = " + "1" * 5_000]
)
def test_a_document_that_toml_cannot_hold_is_rejected(text):
    """Guards against the status 500 for a document that is invalid."""
    with pytest.raises(configuration.DocumentError):
        configuration.parse_document(text)
