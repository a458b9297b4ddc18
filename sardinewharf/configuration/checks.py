"""Checks an operators' document and lists everything that is found.

``parse_document`` reports the first field of a wrong type only, and accepts
entries that have no effect. The checks here read a document field by field,
report all errors at once, and add warnings.

Examples:
    >>> text = '''
    ... [[models]]
    ... name = "chat"
    ... weights = 3
    ... engines = "two"
    ... '''
    >>> for finding in check_text(text).findings:
    ...     print(finding)
    error models[0].weights: Expected `str`, got `int`. Correct the value.
    error models[0].engines: Expected `int`, got `str`. Correct the value.
    warning organisations: no organisation has a key, so no request is \
admitted. Add key_hashes to one.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
import re
import tomllib

import msgspec

from sardinewharf import decoding
from sardinewharf.configuration import documents
from sardinewharf.configuration import plans
from sardinewharf.configuration import reading

# Default of --claim-retention-seconds of sardinewharfd.
CLAIM_RETENTION_S = 86_400.0
# Sum of the defaults of --claim-linger-ms and --claim-interval-ms.
CLAIM_WAIT_S = 0.025
# The relay alone adds more than this to a request at the median (README.md).
_SHORTEST_REQUEST_S = 0.001
_EMPTY_KEY_HASH = documents.hash_api_key("")
# A call's name is compared with the decoded path, without the query.
_ESCAPED_IN_PATHS = "?#%"
_PART_START = re.compile(r"[.\[]")
_VERBS = {
    plans.Action.ADD: "added",
    plans.Action.REMOVE: "removed",
    plans.Action.CHANGE: "changed",
}


class Severity(enum.Enum):
    """Severity of a finding; the value is printed.

    Attributes:
        ERROR: The document is rejected.
        WARNING: The document is accepted, but a part of it has no effect or
            contradicts another part.
        INFO: A difference from the version in force.
    """

    ERROR = "error"
    WARNING = "warning"
    INFO = "info"


class Finding(msgspec.Struct, frozen=True):
    """Something that a check found.

    Attributes:
        severity: How severe it is.
        field: Path of the field, such as ``models[0].engines``; of a
            difference, kind and name of the item, such as ``models/chat``.
        message: What was found and, unless it is a difference, the remedy.
    """

    severity: Severity
    field: str
    message: str

    def __str__(self) -> str:
        return f"{self.severity.value} {self.field}: {self.message}"


class CheckResult(msgspec.Struct, frozen=True):
    """Result of checking the text of a document.

    Attributes:
        document: The document; None if it has errors.
        findings: Errors, followed by warnings.
    """

    document: documents.Document | None
    findings: tuple[Finding, ...]


class _Version(msgspec.Struct, frozen=True):
    """Output of ``sardinewharf show --json``."""

    document: documents.Document


def check_text(text: str) -> CheckResult:
    """Checks the text of a TOML document.

    There are errors if ``parse_document`` rejects the text.

    Examples:
        >>> result = check_text("[[models]")
        >>> print(result.document, *result.findings)
        None error document: Expected ']]' at the end of an array declaration \
(at line 1, column 9). Correct the line.
    """
    try:
        raw = tomllib.loads(text)
    except RecursionError:
        message = "arrays or tables are nested too deeply. Remove some."
        return _fail(Finding(Severity.ERROR, "document", message))
    except ValueError as error:
        # Also raised for integers that have too many digits to be converted.
        message = f"{error}. Correct the line."
        return _fail(Finding(Severity.ERROR, "document", message))
    reader = reading.FieldReader()
    document = reader.read(raw, documents.Document, "")
    errors = [Finding(Severity.ERROR, *error) for error in reader.errors]
    # The reader has put a default or a placeholder in place of these fields.
    unread = {error.field for error in errors}
    errors += [
        finding
        for finding in _find_invalid_fields(document)
        if unread.isdisjoint(_list_outer_fields(finding.field))
    ]
    wrong = {error.field for error in errors}
    fields_with_errors = {
        outer for field in wrong for outer in _list_outer_fields(field)
    }
    if errors:
        # What could not be read may have been the whole content.
        fields_with_errors.add("document")
    warnings = [
        finding
        for finding in _find_warnings(document)
        if finding.field not in fields_with_errors
        and wrong.isdisjoint(_list_outer_fields(finding.field))
    ]
    return CheckResult(None if errors else document, (*errors, *warnings))


def list_differences(
    old: documents.Document, new: documents.Document
) -> tuple[Finding, ...]:
    """Returns the changes of a plan from one document to another.

    Examples:
        >>> old = documents.Document(models=(documents.Model("m", "w1"),))
        >>> new = documents.Document(models=(documents.Model("m", "w2"),))
        >>> for finding in list_differences(old, new):
        ...     print(finding)
        info models/m: changed: weights: 'w1' -> 'w2'
    """
    return tuple(
        Finding(
            Severity.INFO,
            f"{change.kind}/{change.name}",
            ": ".join(
                filter(None, (_VERBS[change.action], "; ".join(change.details)))
            ),
        )
        for change in plans.compare_documents(old, new)
    )


def parse_version(text: str) -> documents.Document:
    """Returns the document of a version to compare with.

    Args:
        text: A TOML document, or the output of ``show --json``. The latter is
            told by its first character: no TOML document begins with a brace.

    Raises:
        DocumentError: If it is neither.

    Examples:
        >>> parse_version('{"version": 3, "document": {}}')
        Document(organisations=(), models=(), adapters=(), applications=())
    """
    if not text.lstrip().startswith("{"):
        result = check_text(text)
        if result.document is None:
            raise documents.DocumentError(
                "\n".join(
                    f"{finding.field}: {finding.message}"
                    for finding in result.findings
                    if finding.severity is Severity.ERROR
                )
            )
        return result.document
    try:
        return decoding.decode_json(text.encode(), _Version).document
    except decoding.DecodeError as error:
        raise documents.DocumentError(
            f"{error}. Pass the output of 'sardinewharf show --json'."
        ) from error


def has_failed(findings: Iterable[Finding], is_strict: bool) -> bool:
    """Returns whether a document with these findings fails the check.

    Args:
        findings: The findings.
        is_strict: Whether warnings fail it, as errors do.

    Examples:
        >>> findings = [Finding(Severity.WARNING, "models", "is empty")]
        >>> has_failed(findings, is_strict=False)
        False
        >>> has_failed(findings, is_strict=True)
        True
    """
    failing = {Severity.ERROR}
    if is_strict:
        failing.add(Severity.WARNING)
    return any(finding.severity in failing for finding in findings)


def _fail(error: Finding) -> CheckResult:
    return CheckResult(None, (error,))


def _list_outer_fields(field: str) -> list[str]:
    """Returns a field and all that it is a part of.

    Examples:
        >>> _list_outer_fields("models[0].name")
        ['models', 'models[0]', 'models[0].name']
    """
    ends = [match.start() for match in _PART_START.finditer(field)]
    return [*(field[:end] for end in ends), field]


def _find_invalid_fields(document: documents.Document) -> Iterator[Finding]:
    """Yields each problem that ``check_document`` lists, one a line."""
    try:
        documents.check_document(document)
    except documents.DocumentError as error:
        for line in str(error).split("\n"):
            field, _, message = line.partition(": ")
            yield Finding(Severity.ERROR, field, message)


def _find_warnings(document: documents.Document) -> Iterator[Finding]:
    for field, message in (
        *_find_unusable_kinds(document),
        *_find_unusable_keys(document),
        *_find_unusable_calls(document),
        *_find_limit_conflicts(document),
    ):
        yield Finding(Severity.WARNING, field, message)


def _find_unusable_kinds(
    document: documents.Document,
) -> Iterator[tuple[str, str]]:
    """Yields kinds of items that need items of another kind."""
    has_targets = bool(document.models or document.applications)
    has_key = any(item.key_hashes for item in document.organisations)
    if document == documents.Document():
        yield (
            "document",
            "is empty; applying it removes everything. Pass another file.",
        )
    elif not has_key:
        yield (
            "organisations",
            "no organisation has a key, so no request is admitted. Add"
            " key_hashes to one.",
        )
    elif not has_targets:
        yield (
            "models",
            "there are neither models nor applications that a key can be used"
            " for. Add one.",
        )


def _find_unusable_keys(
    document: documents.Document,
) -> Iterator[tuple[str, str]]:
    """Yields organisations and keys that no request can have."""
    for index, item in enumerate(document.organisations):
        field = f"organisations[{index}].key_hashes"
        if not item.key_hashes:
            yield (
                field,
                f"{item.name!r} has no key, so no request is ever its own."
                " Add a key or remove the organisation.",
            )
        if len(set(item.key_hashes)) < len(item.key_hashes):
            yield field, "lists a key twice. Remove one."
        if _EMPTY_KEY_HASH in item.key_hashes:
            yield (
                field,
                "has the hash of an empty key, which is never accepted."
                " Make another with 'sardinewharf hash-key'.",
            )


def _find_unusable_calls(
    document: documents.Document,
) -> Iterator[tuple[str, str]]:
    """Yields calls that are listed twice or that no path can name."""
    for index, application in enumerate(document.applications):
        seen: dict[str, documents.Call] = {}
        for number, call in enumerate(application.calls):
            field = f"applications[{index}].calls[{number}].name"
            first = seen.setdefault(call.name, call)
            if first is not call and first.repeatable == call.repeatable:
                yield field, f"{call.name!r} is listed twice. Remove one."
            elif first is not call:
                yield (
                    field,
                    f"{call.name!r} is listed as repeatable and as not"
                    " repeatable; it counts as repeatable and may run more"
                    " than once. Remove one.",
                )
            if not call.name:
                yield field, "is empty. Name the call, or remove it."
            if call.name.startswith("/"):
                yield (
                    field,
                    f"{call.name!r} begins with '/', unlike the part of the"
                    " path that it is compared with. Remove the '/'.",
                )
            if any(char in call.name for char in _ESCAPED_IN_PATHS):
                yield (
                    field,
                    f"{call.name!r} has one of '{_ESCAPED_IN_PATHS}'; it is"
                    " compared with the decoded path without the query."
                    " Write the decoded path.",
                )


def _find_limit_conflicts(
    document: documents.Document,
) -> Iterator[tuple[str, str]]:
    """Yields limits that cannot be reached or met because of others."""
    for index, item in enumerate(document.organisations):
        rate, running = item.requests_per_second, item.concurrent_requests
        if running > 0 and rate * _SHORTEST_REQUEST_S > running:
            yield (
                f"organisations[{index}].requests_per_second",
                f"{rate:g} requests a second cannot be reached with"
                f" {running} concurrent requests: at one daemon each would"
                f" have to end within {running / rate * 1000:.2g} ms. Raise"
                " concurrent_requests or lower the rate.",
            )
    for index, application in enumerate(document.applications):
        field = f"applications[{index}].intent.deadline_seconds"
        deadline = application.intent.deadline_seconds
        if deadline < CLAIM_WAIT_S:
            yield (
                field,
                f"{deadline:g} s is shorter than a claim may wait by default"
                f" ({CLAIM_WAIT_S:g} s; --claim-linger-ms and"
                " --claim-interval-ms of sardinewharfd). Raise it.",
            )
        if deadline > CLAIM_RETENTION_S:
            yield (
                field,
                f"{deadline:g} s is longer than claims are kept by default"
                f" ({CLAIM_RETENTION_S:g} s; --claim-retention-seconds of"
                " sardinewharfd), and a key sent again later than that may run"
                " again. Lower it.",
            )
