"""Plans: the changes from the active configuration to a proposed one.

Examples:
    >>> from sardinewharf.configuration import documents
    >>> old = documents.Document(models=(documents.Model("m", "w1"),))
    >>> new = documents.Document(models=(documents.Model("m", "w2"),))
    >>> for change in compare_documents(old, new):
    ...     print(change)
    ~ models/m weights: 'w1' -> 'w2'
"""

import enum
import hashlib

import msgspec

from sardinewharf import ids
from sardinewharf.configuration import documents

_KINDS = ("organisations", "models", "adapters", "applications")


class Action(enum.Enum):
    """Kind of change; the value is the sign printed in front of it."""

    ADD = "+"
    REMOVE = "-"
    CHANGE = "~"


class Change(msgspec.Struct, frozen=True):
    """A change to one item of the document.

    Attributes:
        action: Whether the item is added, removed or changed.
        kind: Field of the document that lists the item, such as ``models``.
        name: Name of the item.
        details: Each changed field with its old and new value.
    """

    action: Action
    kind: str
    name: str
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        text = f"{self.action.value} {self.kind}/{self.name}"
        return " ".join((text, ", ".join(self.details))).strip()


class PlanCost(msgspec.Struct, frozen=True):
    """Side effects of a plan on engines and prefix caches.

    Attributes:
        weights_loads: Models and adapters whose weights engines must load.
        stale_caches: Models and adapters whose cached prefixes are lost.
    """

    weights_loads: tuple[str, ...] = ()
    stale_caches: tuple[str, ...] = ()


class Plan(msgspec.Struct, frozen=True):
    """Changes that take effect once an operator confirms them.

    Attributes:
        plan: Id of the plan, a digest of base version and proposed document.
        base: Configuration version that the changes apply to.
        changes: Changes to the items of the document.
        cost: Weights to load and caches that are lost.
        wanted: The proposed document.
    """

    plan: ids.PlanId
    base: int
    changes: tuple[Change, ...]
    cost: PlanCost
    wanted: documents.Document


def make_plan(
    base: int, current: documents.Document, wanted: documents.Document
) -> Plan:
    """Returns the plan that changes ``current`` into ``wanted``."""
    changes = compare_documents(current, wanted)
    plan = make_plan_id(base, wanted)
    return Plan(plan, base, changes, estimate_cost(changes), wanted)


def make_plan_id(base: int, wanted: documents.Document) -> ids.PlanId:
    """Returns the id of the plan to apply a document to a base version."""
    payload = msgspec.json.encode((base, wanted))
    return ids.PlanId(hashlib.sha256(payload).hexdigest()[:16])


def compare_documents(
    old: documents.Document, new: documents.Document
) -> tuple[Change, ...]:
    """Returns the changes that turn one document into another."""
    changes: list[Change] = []
    for kind in _KINDS:
        before = {item.name: item for item in getattr(old, kind)}
        after = {item.name: item for item in getattr(new, kind)}
        for name in sorted(before.keys() | after.keys()):
            change = _compare_items(
                kind, name, before.get(name), after.get(name)
            )
            if change is not None:
                changes.append(change)
    return tuple(changes)


def _compare_items(
    kind: str,
    name: str,
    old: msgspec.Struct | None,
    new: msgspec.Struct | None,
) -> Change | None:
    """Returns the change of one item; None if there is none."""
    if old == new:
        return None
    if old is None:
        return Change(Action.ADD, kind, name)
    if new is None:
        return Change(Action.REMOVE, kind, name)
    details = []
    for field in old.__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            details.append(_describe_field(field, before, after))
    return Change(Action.CHANGE, kind, name, tuple(details))


def _describe_field(field: str, before: object, after: object) -> str:
    """Describes a changed field without showing any key hashes."""
    if field == "key_hashes":
        return f"key_hashes: {len(before)} -> {len(after)} keys"
    return f"{field}: {before!r} -> {after!r}"


def estimate_cost(changes: tuple[Change, ...]) -> PlanCost:
    """Returns which weights must be loaded and which caches are lost."""
    loads = []
    stale = []
    for change in changes:
        if change.kind not in ("models", "adapters"):
            continue
        has_new_weights = any(d.startswith("weights:") for d in change.details)
        if change.action is Action.ADD or has_new_weights:
            loads.append(change.name)
        if change.action is not Action.ADD and (
            has_new_weights or change.action is Action.REMOVE
        ):
            stale.append(change.name)
    return PlanCost(tuple(loads), tuple(stale))
