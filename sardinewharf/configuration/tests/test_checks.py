"""Tests the checks of operators' documents.

They guard against findings that are missing, that name a wrong field, or that
only follow from another error, and against findings on sound documents.
"""

import msgspec
import pytest

from sardinewharf import configuration
from sardinewharf import testbed
from sardinewharf.configuration import checks
from sardinewharf.daemon import settings

_HASH = configuration.hash_api_key("key")
_SOUND = f"""
[[organisations]]
name = "almagro"
key_hashes = ["{_HASH}"]

[[models]]
name = "chat"
weights = "w1"
"""


def find(text, severity=None):
    """Returns the findings as a list of field and message."""
    return [
        (finding.field, finding.message)
        for finding in configuration.check_text(text).findings
        if severity in (None, finding.severity)
    ]


def assert_finds(text, severity, field, message):
    findings = find(text, severity)
    assert [field for field, _ in findings] == [field], findings
    assert message in findings[0][1]


def assert_error(text, field, message):
    assert_finds(text, configuration.Severity.ERROR, field, message)
    assert configuration.check_text(text).document is None
    with pytest.raises(configuration.DocumentError):
        configuration.parse_document(text)


def assert_warning(text, field, message):
    """Checks that there is one finding, on a document that is accepted."""
    assert_finds(text, None, field, message)
    assert_finds(text, configuration.Severity.WARNING, field, message)
    document = configuration.parse_document(text)
    assert configuration.check_text(text).document == document


@pytest.mark.parametrize(
    "text",
    [
        _SOUND,
        testbed.write_sample(),
        testbed.write_sample("w2", deadline=6.0, uneven=True, min_engines=3),
    ],
    ids=["short", "sample", "uneven sample"],
)
def test_a_sound_document_has_no_findings(text):
    result = configuration.check_text(text)
    assert result.findings == ()
    assert result.document == configuration.parse_document(text)


@pytest.mark.parametrize(
    ("text", "field", "message"),
    [
        ("[[models]", "document", "line 1"),
        ("x = 1", "x", "unknown field"),
        ('"a\\nb" = 1', '"a\\nb"', "unknown field"),
        ("models = 1", "models", "Expected `array`, got `int`"),
        ("[models]", "models", "Expected `array`, got `object`"),
        ("models = [3]", "models[0]", "Expected `object`, got `int`"),
        ("[[models]]\nname = 'm'", "models[0].weights", "is missing"),
        (
            "[[models]]\nname = 'm'\nweights = 1979-05-27",
            "models[0].weights",
            "Expected `str`, got `date`",
        ),
        (
            "[[models]]\nname = 'm'\nweights = 'w'\nengine = 2",
            "models[0].engine",
            "use one of name, weights, engines",
        ),
        (
            "[[organisations]]\nname = 'o'\nkey_hashes = [1]",
            "organisations[0].key_hashes[0]",
            "Expected `str`",
        ),
        (
            "[[organisations]]\nname = 'o'\nconcurrent_requests = 0\n"
            "requests_per_second = 5",
            "organisations[0].concurrent_requests",
            "must be 1 or more",
        ),
        (
            "[[organisations]]\nname = 'o'\nrequests_per_second = -1",
            "organisations[0].requests_per_second",
            "Use 0 for no limit",
        ),
        (
            "[[organisations]]\nname = 'o'\nkey_hashes = ['key']",
            "organisations[0].key_hashes",
            "not a SHA-256",
        ),
        (
            "[[models]]\nname = 'm'\nweights = 'w'\nengines = 0",
            "models[0].engines",
            "must be 1 or more",
        ),
        (
            "[[models]]\nname = 'm'\nweights = 'w'\n"
            "[[models]]\nname = 'm'\nweights = 'v'",
            "models[1].name",
            "stands twice",
        ),
        (
            "[[adapters]]\nname = 'a'\nmodel = 'm'\nweights = 'w'",
            "adapters[0].model",
            "no model 'm'",
        ),
        (
            "[[applications]]\nname = 'a'\nintent = { priority = 10 }",
            "applications[0].intent.priority",
            "from 0 to 9",
        ),
        (
            "[[applications]]\nname = 'a'\nintent = { deadline_seconds = 0 }",
            "applications[0].intent.deadline_seconds",
            "above 0",
        ),
    ],
)
def test_an_error_names_its_field(text, field, message):
    assert_error(text, field, message)


def test_all_errors_are_listed_at_once():
    """parse_document stops at the first value of a wrong type."""
    text = """
    models = [
      7,
      { name = "chat", weights = "w1", engines = "two" },
      { name = "code", weights = "w1", engines = 0 },
    ]
    [[organisations]]
    weight = "heavy"
    requests_per_second = -2
    [[adapters]]
    name = "legal"
    model = "text"
    weights = 1
    """
    assert sorted(field for field, _ in find(text, checks.Severity.ERROR)) == [
        "adapters[0].model",
        "adapters[0].weights",
        "models[0]",
        "models[1].engines",
        "models[2].engines",
        "organisations[0].name",
        "organisations[0].requests_per_second",
        "organisations[0].weight",
    ]


@pytest.mark.parametrize("number", ["nan", "inf", "-inf", "1e400"])
def test_a_number_that_is_not_finite_is_an_error(number):
    """It became null in the JSON of a plan, which confirm rejected."""
    text = f"{_SOUND}[[applications]]\nname = 'a'\n"
    text += f"intent = {{ first_token_weight = {number} }}"
    field = "applications[0].intent.first_token_weight"
    assert_finds(text, checks.Severity.ERROR, field, "not finite")
    assert configuration.check_text(text).document is None


@pytest.mark.parametrize(
    "text",
    [
        "models = " + "[" * 5000,
        "models = " + "9" * 5000,
    ],
    ids=["nested", "digits"],
)
def test_text_that_the_parser_gives_up_on_is_an_error(text):
    """tomllib raises errors of other types than TOMLDecodeError on these."""
    assert [field for field, _ in find(text)] == ["document"]


_CALLS = _SOUND + "[[applications]]\nname = 'a'\ncalls = [{}]"


@pytest.mark.parametrize(
    ("text", "field", "message"),
    [
        ("", "document", "is empty"),
        (
            "[[models]]\nname = 'm'\nweights = 'w'",
            "organisations",
            "no organisation has a key",
        ),
        (
            f"[[organisations]]\nname = 'o'\nkey_hashes = ['{_HASH}']",
            "models",
            "neither models nor applications",
        ),
        (
            _SOUND + "[[organisations]]\nname = 'o'",
            "organisations[1].key_hashes",
            "'o' has no key",
        ),
        (
            _SOUND.replace(f'"{_HASH}"', f'"{_HASH}", "{_HASH}"'),
            "organisations[0].key_hashes",
            "lists a key twice",
        ),
        (
            _SOUND.replace(_HASH, configuration.hash_api_key("")),
            "organisations[0].key_hashes",
            "empty key",
        ),
        (
            _CALLS.format("{ name = 'x' }, { name = 'x' }"),
            "applications[0].calls[1].name",
            "is listed twice",
        ),
        (
            _CALLS.format("{ name = 'x' }, { name = 'x', repeatable = true }"),
            "applications[0].calls[1].name",
            "it counts as repeatable",
        ),
        (
            _CALLS.format("{ name = '' }"),
            "applications[0].calls[0].name",
            "is empty",
        ),
        (
            _CALLS.format("{ name = '/x' }"),
            "applications[0].calls[0].name",
            "begins with '/'",
        ),
        (
            _CALLS.format("{ name = 'x?y=1' }"),
            "applications[0].calls[0].name",
            "without the query",
        ),
        (
            _SOUND.replace(
                "[[models]]",
                "requests_per_second = 5000\nconcurrent_requests = 4\n"
                "[[models]]",
            ),
            "organisations[0].requests_per_second",
            "within 0.8 ms",
        ),
        (
            _SOUND + "[[applications]]\nname = 'a'\n"
            "intent = { deadline_seconds = 0.02 }",
            "applications[0].intent.deadline_seconds",
            "shorter than a claim may wait",
        ),
        (
            _SOUND + "[[applications]]\nname = 'a'\n"
            "intent = { deadline_seconds = 86401 }",
            "applications[0].intent.deadline_seconds",
            "longer than claims are kept",
        ),
    ],
)
def test_a_warning_names_its_field(text, field, message):
    assert_warning(text, field, message)


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        (f'["{_HASH}"]', "3", "organisations[0].key_hashes"),
        (f'["{_HASH}"]', "[3]", "organisations[0].key_hashes[0]"),
        (
            "[[models]]",
            "requests_per_second = 5\nconcurrent_requests = 0\n[[models]]",
            "organisations[0].concurrent_requests",
        ),
    ],
)
def test_no_warning_follows_from_an_error(old, new, field):
    """A key of a wrong type is not also reported as a missing key."""
    assert [field for field, _ in find(_SOUND.replace(old, new))] == [field]


def test_a_document_of_unknown_fields_is_not_reported_as_empty():
    """The file of another program is no document that removes everything."""
    assert [field for field, _ in find("roles = 1")] == ["roles"]


def test_limits_are_compared_with_the_daemons_defaults():
    """A default that is changed in the daemon only makes the warnings wrong."""
    defaults = {
        name: field.default
        for name, field in settings.DaemonSettings.model_fields.items()
    }
    wait_ms = defaults["claim_linger_ms"] + defaults["claim_interval_ms"]
    assert wait_ms / 1000 == checks.CLAIM_WAIT_S
    assert defaults["claim_retention_seconds"] == checks.CLAIM_RETENTION_S


def test_fields_without_a_default_are_strings():
    """The reader puts an empty string in place of those it cannot convert."""
    for kind in (
        configuration.Organisation,
        configuration.Model,
        configuration.Adapter,
        configuration.Application,
        configuration.Call,
    ):
        for field in msgspec.structs.fields(kind):
            if field.required:
                assert msgspec.convert("text", field.type) == "text"


def test_differences_are_those_of_a_plan():
    old = configuration.parse_document(_SOUND)
    new = configuration.parse_document(
        _SOUND.replace("w1", "w2").replace("almagro", "traversa")
    )
    findings = configuration.list_differences(old, new)
    assert [str(finding) for finding in findings] == [
        "info organisations/almagro: removed",
        "info organisations/traversa: added",
        "info models/chat: changed: weights: 'w1' -> 'w2'",
    ]
    changes = configuration.compare_documents(old, new)
    assert [f"{change.kind}/{change.name}" for change in changes] == [
        finding.field for finding in findings
    ]
    assert configuration.list_differences(old, old) == ()


def test_a_version_is_read_from_toml_and_from_json():
    document = configuration.parse_document(_SOUND)
    shown = msgspec.json.encode({"version": 3, "document": document}).decode()
    assert configuration.parse_version(_SOUND) == document
    assert configuration.parse_version(f"\n{shown}\n") == document


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{", "show --json"),
        ('{"version": 3}', "document"),
        ('{"document": {"models": [1]}}', "models"),
        ("models = 1", "models: Expected `array`"),
    ],
)
def test_a_version_that_cannot_be_read_is_refused(text, message):
    with pytest.raises(configuration.DocumentError, match=message):
        configuration.parse_version(text)


def test_only_errors_fail_a_check_that_is_not_strict():
    for severity, fails, fails_strictly in (
        (configuration.Severity.ERROR, True, True),
        (configuration.Severity.WARNING, False, True),
        (configuration.Severity.INFO, False, False),
    ):
        findings = [configuration.Finding(severity, "models", "")]
        assert configuration.has_failed(findings, False) is fails
        assert configuration.has_failed(findings, True) is fails_strictly
    assert not configuration.has_failed([], True)
