"""Makes seeded traces of prompts with nested shared prefixes.

Each prompt opens with an organisation's rules, goes on with one of its labels
and ends with a question. Rules and labels are skewed, and the hot ones shift.

Examples:
    >>> trace = make_trace(TraceSettings(requests=3, seed=1))
    >>> len(trace), trace == make_trace(TraceSettings(requests=3, seed=1))
    (3, True)
"""

import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class TraceSettings:
    """The shape of a trace.

    Attributes:
        requests: Number of prompts.
        rate: Prompts a second, at random intervals.
        rules: Number of rules prefixes.
        labels: Number of labels of each rules prefix.
        rules_pieces: Pieces in a rules prefix.
        label_pieces: Pieces in a label.
        skew: Exponent of the popularity of rules and labels.
        shift_every: Prompts after which other rules become hot; 0 for never.
        organisations: Names of the organisations, the largest first.
        seed: Seed of the random choices.
    """

    requests: int = 100
    rate: float = 20.0
    rules: int = 24
    labels: int = 8
    rules_blocks: int = 6
    label_blocks: int = 2
    skew: float = 1.1
    shift_every: int = 0
    organisations: tuple[str, ...] = ("almagro", "traversa")
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """One prompt of a trace.

    Attributes:
        at: When it is sent, in seconds from the start.
        organisation: Who sends it.
        rules: Which rules it opens with.
        label: Which label follows.
        question: Which question ends it.
    """

    at: float
    organisation: str
    rules: int
    label: int
    question: int


def make_trace(settings: TraceSettings) -> tuple[Prompt, ...]:
    """Returns the prompts of a trace, in order of time."""
    rng = random.Random(settings.seed)
    rules_weights = _make_weights(settings.rules, settings.skew)
    label_weights = _make_weights(settings.labels, settings.skew)
    at = 0.0
    prompts = []
    for number in range(settings.requests):
        at += rng.expovariate(settings.rate)
        rank = rng.choices(range(settings.rules), rules_weights)[0]
        shift = number // settings.shift_every if settings.shift_every else 0
        rules = (rank + shift * 5) % settings.rules
        label = rng.choices(range(settings.labels), label_weights)[0]
        names = settings.organisations
        prompts.append(
            Prompt(at, names[rules % len(names)], rules, label, number)
        )
    return tuple(prompts)


def make_messages(
    prompt: Prompt, settings: TraceSettings, block_bytes: int
) -> list[dict[str, str]]:
    """Returns a prompt as chat messages."""
    rules = f"Rules {prompt.rules} of {prompt.organisation}. "
    label = f"Label {prompt.label}. "
    rules_bytes = settings.rules_blocks * block_bytes
    label_bytes = settings.label_blocks * block_bytes
    return [
        {"role": "system", "content": _fill(rules, rules_bytes)},
        {"role": "user", "content": _fill(label, label_bytes)},
        {"role": "user", "content": f"Question {prompt.question}?"},
    ]


def _make_weights(count: int, skew: float) -> list[float]:
    return [1.0 / (rank + 1) ** skew for rank in range(count)]


def _fill(text: str, size: int) -> str:
    return (text * (size // len(text) + 1))[:size]
