"""Schema of the operators' TOML document, with parsing and validation.

Examples:
    >>> text = '''
    ... [[models]]
    ... name = "chat"
    ... weights = "w1"
    ... '''
    >>> parse_document(text).models[0].weights
    'w1'
    >>> parse_document("[[models]]")
    Traceback (most recent call last):
        ...
    sardinewharf.configuration.documents.DocumentError: models[0]: \
Object missing required field `name`. Correct the field and plan again.
"""

import hashlib
import math
import re
import tomllib

import msgspec

from sardinewharf import ids

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
_MAX_ORGANISATIONS = 100_000
_MAX_KEYS = 16
_MAX_PRIORITY = 9


class DocumentError(ValueError):
    """The operators' document is invalid; the message names the field."""


class RoutingIntent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Routing weights, priority and deadline of an application's requests.

    Attributes:
        first_token_weight: Weight of the time to first token in routing.
        recompute_weight: Weight of recomputed prompt tokens in routing.
        priority: From 0 (served last) to 9 (served first).
        deadline_seconds: Time limit of a request, from its arrival.
    """

    first_token_weight: float = 1.0
    recompute_weight: float = 1.0
    priority: int = 5
    deadline_seconds: float = 60.0


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer organisation with its API keys and limits.

    Attributes:
        name: Unique name of the organisation.
        key_hashes: SHA-256 of each API key, in hex.
        weight: Relative share of the capacity when demand exceeds it.
        requests_per_second: Rate limit over all daemons; 0 for no limit.
        concurrent_requests: Limit of concurrent requests at one daemon.
    """

    name: ids.OrganisationId
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    requests_per_second: float = 0.0
    concurrent_requests: int = 256


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model that engines serve.

    Attributes:
        name: Unique name of the model.
        weights: Target version of its weights.
        engines: Minimum number of ready engines in each failure domain.
    """

    name: ids.ModelId
    weights: ids.WeightsVersion
    engines: int = 1


class Adapter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An adapter that is applied to a base model.

    Attributes:
        name: Name that callers request in place of a model's name.
        model: Name of the base model.
        weights: Target version of the adapter's weights.
    """

    name: ids.AdapterId
    model: ids.ModelId
    weights: ids.WeightsVersion


class Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call that an application server offers.

    Attributes:
        name: Path of the call.
        repeatable: Whether it is safe to run the call more than once.
    """

    name: str
    repeatable: bool = False


class Application(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An application with its routing intent and its servers' calls."""

    name: ids.ApplicationId
    intent: RoutingIntent = RoutingIntent()
    calls: tuple[Call, ...] = ()

    def is_repeatable(self, name: str) -> bool:
        """Returns whether a call may be repeated; unknown calls may not be.

        Examples:
            >>> Application("stock", calls=(Call("look", True),)).is_repeatable(
            ...     "book"
            ... )
            False
        """
        return any(c.repeatable for c in self.calls if c.name == name)


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration, as operators write it."""

    organisations: tuple[Organisation, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    applications: tuple[Application, ...] = ()


def hash_api_key(key: str) -> str:
    """Returns the hash under which an API key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse_document(text: str) -> Document:
    """Parses and validates a TOML document.

    Raises:
        DocumentError: If the text is not TOML or a field is invalid.
    """
    try:
        raw = tomllib.loads(text)
    except RecursionError as error:
        raise DocumentError(
            "arrays or tables are nested too deeply. Remove some."
        ) from error
    except ValueError as error:
        # Also raised for integers that have too many digits to be converted.
        raise DocumentError(f"{error}. Correct the line.") from error
    try:
        document = msgspec.convert(raw, Document)
    except msgspec.ValidationError as error:
        raise _convert_error(error) from error
    check_document(document)
    return document


def check_document(document: Document) -> None:
    """Checks references, sizes and ranges.

    Raises:
        DocumentError: Lists each invalid field and how to correct it.
    """
    problems = [
        *_check_finite(document),
        *_check_names(document),
        *_check_organisations(document),
        *_check_models(document),
        *_check_intents(document),
    ]
    if problems:
        raise DocumentError("\n".join(problems))


def _convert_error(error: msgspec.ValidationError) -> DocumentError:
    """Returns an error that names the invalid field."""
    text = str(error)
    reason, _, path = text.partition(" - at `$")
    field = path.rstrip("`").lstrip(".") or "document"
    return DocumentError(
        f"{field}: {reason}. Correct the field and plan again."
    )


def _check_finite(document: Document) -> list[str]:
    """Returns the numbers that are not finite: JSON cannot hold them."""
    problems = []
    for index, item in enumerate(document.organisations):
        for name in ("weight", "requests_per_second"):
            if not math.isfinite(getattr(item, name)):
                problems.append(
                    f"organisations[{index}].{name}: is not finite. Use a"
                    " finite number."
                )
    for index, item in enumerate(document.applications):
        for name, value in msgspec.structs.asdict(item.intent).items():
            if not math.isfinite(value):
                problems.append(
                    f"applications[{index}].intent.{name}: is not finite. Use a"
                    " finite number."
                )
    return problems


def _check_names(document: Document) -> list[str]:
    problems = []
    for kind in ("organisations", "models", "adapters", "applications"):
        seen: set[str] = set()
        for index, item in enumerate(getattr(document, kind)):
            field = f"{kind}[{index}].name"
            if not _NAME_PATTERN.fullmatch(item.name):
                problems.append(
                    f"{field}: {item.name!r} is no name. Use up to 63 of"
                    " a-z, 0-9, '.', '_' and '-'."
                )
            if item.name in seen:
                problems.append(
                    f"{field}: {item.name!r} stands twice. Remove one."
                )
            seen.add(item.name)
    return problems


def _check_organisations(document: Document) -> list[str]:
    problems = []
    if len(document.organisations) > _MAX_ORGANISATIONS:
        problems.append(
            f"organisations: more than {_MAX_ORGANISATIONS}. Remove some."
        )
    owners: dict[str, str] = {}
    for index, item in enumerate(document.organisations):
        field = f"organisations[{index}]"
        if item.weight <= 0:
            problems.append(f"{field}.weight: must be above 0. Raise it.")
        if item.requests_per_second < 0:
            problems.append(
                f"{field}.requests_per_second: is below 0. Use 0 for no limit."
            )
        if item.concurrent_requests < 1:
            problems.append(
                f"{field}.concurrent_requests: must be 1 or more. Raise it."
            )
        if len(item.key_hashes) > _MAX_KEYS:
            problems.append(
                f"{field}.key_hashes: more than {_MAX_KEYS}. Remove old ones."
            )
        for key_hash in item.key_hashes:
            if not _KEY_HASH_PATTERN.fullmatch(key_hash):
                problems.append(
                    f"{field}.key_hashes: not a SHA-256 in hex."
                    " Make one with 'sardinewharf hash-key'."
                )
            owner = owners.setdefault(key_hash, item.name)
            if owner != item.name:
                problems.append(
                    f"{field}.key_hashes: also a key of {owner!r}."
                    " Give each organisation its own key."
                )
    return problems


def _check_models(document: Document) -> list[str]:
    problems = []
    names = {model.name for model in document.models}
    for index, model in enumerate(document.models):
        if model.engines < 1:
            problems.append(
                f"models[{index}].engines: must be 1 or more. Raise it."
            )
        if not model.weights:
            problems.append(f"models[{index}].weights: is empty. Name it.")
    for index, adapter in enumerate(document.adapters):
        if adapter.model not in names:
            problems.append(
                f"adapters[{index}].model: no model {adapter.model!r}."
                " Add it or correct the name."
            )
        if adapter.name in names:
            problems.append(
                f"adapters[{index}].name: {adapter.name!r} is a model too."
                " Rename one."
            )
    return problems


def _check_intents(document: Document) -> list[str]:
    problems = []
    for index, application in enumerate(document.applications):
        field = f"applications[{index}].intent"
        intent = application.intent
        if not 0 <= intent.priority <= _MAX_PRIORITY:
            problems.append(
                f"{field}.priority: must be from 0 to {_MAX_PRIORITY}."
                " Correct it."
            )
        if intent.deadline_seconds <= 0:
            problems.append(
                f"{field}.deadline_seconds: must be above 0. Raise it."
            )
        weights = (intent.first_token_weight, intent.recompute_weight)
        if min(weights) < 0 or sum(weights) <= 0:
            problems.append(
                f"{field}: weights must not be below 0, nor both 0. Raise one."
            )
    return problems
