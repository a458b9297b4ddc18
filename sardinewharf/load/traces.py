"""Generates seeded traces of prompts with nested shared prefixes.

Each prompt has two levels of shared prefix: it begins with the text of some
rules, which belong to one organisation and act as a system prompt, continues
with one of the labels under these rules and ends with a question of its own.
The popularity of rules and labels is skewed, and the most popular rules can
change over the trace.

Examples:
    >>> trace = make_trace(TraceSettings(requests=3, seed=1))
    >>> len(trace), trace == make_trace(TraceSettings(requests=3, seed=1))
    (3, True)
"""

import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class TraceSettings:
    """Parameters of a generated trace.

    Attributes:
        requests: Number of prompts.
        rate: Mean number of prompts a second; arrivals are a Poisson process.
        rules: Number of rules texts, the first level of shared prefix.
        labels: Number of labels of each rules text, the second level.
        rules_blocks: Length of a rules text in prefix blocks.
        label_blocks: Length of a label in prefix blocks.
        skew: Exponent of the Zipf popularity of rules and labels.
        shift_every: Number of prompts after which other rules become the most
            popular; 0 for never.
        organisations: Names of the organisations; the rules belong to them in
            turn, the most popular ones to the first.
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
        at: When it is sent, in seconds from the start of the trace.
        organisation: Name of the organisation that sends it.
        rules: Index of the rules text that it begins with.
        label: Index of the label that follows.
        question: Number of the question at its end, different in each prompt.
    """

    at: float
    organisation: str
    rules: int
    label: int
    question: int


def make_trace(settings: TraceSettings) -> tuple[Prompt, ...]:
    """Returns the prompts of a trace in the order of their send times."""
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
    """Returns a prompt as the messages of a chat completion request."""
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
