"""Provides the sample configuration of the test deployments."""

from sardinewharf import configuration
from sardinewharf.testbed import deployment

_SAMPLE = """
[[organisations]]
name = "almagro"
key_hashes = ["{almagro}"]

[[organisations]]
name = "traversa"
key_hashes = ["{traversa}"]
weight = {weight}

[[organisations]]
name = "limited"
key_hashes = ["{limited}"]
requests_per_second = 6

[[models]]
name = "proof"
weights = "{weights}"
engines = {min_engines}

[[applications]]
name = "orders"
intent = {{ deadline_seconds = {deadline} }}
calls = [
  {{ name = "stock", repeatable = true }},
  {{ name = "book", repeatable = false }},
]

[[applications]]
name = "proofing"
intent = {{ first_token_weight = 2.0, priority = 8 }}
"""


def write_sample(
    weights: str = "w1",
    deadline: float = 20.0,
    uneven: bool = False,
    min_engines: int = 1,
) -> str:
    """Returns the sample configuration in TOML.

    Args:
        weights: Target version of the weights of the model ``proof``.
        deadline: Deadline of calls to the application ``orders``, in seconds.
        uneven: Whether the organisation ``traversa`` has three times the
            fair-share weight of the others.
        min_engines: Minimum number of ready engines of the model in each
            failure domain.
    """
    hashes = {
        name: configuration.hash_api_key(key)
        for name, key in deployment.KEYS.items()
    }
    return _SAMPLE.format(
        weights=weights,
        deadline=deadline,
        min_engines=min_engines,
        weight=3.0 if uneven else 1.0,
        **hashes,
    )
