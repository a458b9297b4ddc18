"""Assigns models to the engines of a failure domain.

The assignment is a function of the configuration and the set of engines only,
so that two placement leaders in a race send the same orders. Each model gets
engines in proportion to its minimum number of engines (``Model.engines``), and
few engines change models when an engine is added or removed.

Examples:
    >>> document = configuration.Document(
    ...     models=(
    ...         configuration.Model("a", "w1"),
    ...         configuration.Model("b", "w7", engines=2),
    ...     ),
    ...     adapters=(configuration.Adapter("a-fine", "a", "f1"),),
    ... )
    >>> assigned = assign_models(document, ["e1", "e2", "e3"])
    >>> sorted(len(weights) for weights in assigned.values())
    [1, 1, 2]
    >>> assign_models(document, ["e1"])["e1"]
    {'a': 'w1', 'a-fine': 'f1', 'b': 'w7'}

References:
    Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA
    2005, for the logarithmic method of weighted rendezvous hashing.
"""

from collections.abc import Sequence
import math

import xxhash

from sardinewharf import configuration

Assignment = dict[str, dict[str, str]]
_HASH_RANGE = float(1 << 64)


def assign_models(
    document: configuration.Document, engines: Sequence[str]
) -> Assignment:
    """Returns the target weights versions of each engine.

    Args:
        document: The configuration.
        engines: Ids of all engines of the failure domain.

    Returns:
        For each engine, the weights version by name of model or adapter.
    """
    models = sorted(document.models, key=lambda m: m.name)
    models_by_engine: dict[str, list[configuration.Model]] = {
        engine: [] for engine in sorted(engines)
    }
    if not models or not models_by_engine:
        return {engine: {} for engine in models_by_engine}
    for engine, engine_models in models_by_engine.items():
        engine_models.append(
            max(models, key=lambda m: _compute_score(m, engine))
        )
    _assign_min_engines(models, models_by_engine)
    return {
        engine: _list_weights(document, engine_models)
        for engine, engine_models in models_by_engine.items()
    }


def _assign_min_engines(
    models: Sequence[configuration.Model],
    models_by_engine: dict[str, list[configuration.Model]],
) -> None:
    """Assigns engines to each model until it has its minimum number."""
    for model in models:
        while _count_engines(model, models_by_engine) < min(
            model.engines, len(models_by_engine)
        ):
            _assign_engine(model, models_by_engine)


def _assign_engine(
    model: configuration.Model,
    models_by_engine: dict[str, list[configuration.Model]],
) -> None:
    """Assigns one more engine to a model.

    An engine is reassigned if its models have more engines than their minimum.
    """
    others = [
        e
        for e, engine_models in models_by_engine.items()
        if model not in engine_models
    ]
    reassignable = [
        e
        for e in others
        if _is_reassignable(models_by_engine[e], models_by_engine)
    ]
    if reassignable:
        engine = max(reassignable, key=lambda e: _compute_score(model, e))
        models_by_engine[engine] = [model]
        return
    # Too few engines for one model each: the engine with the fewest models
    # serves one more.
    engine = min(
        others,
        key=lambda e: (len(models_by_engine[e]), -_compute_score(model, e)),
    )
    models_by_engine[engine].append(model)


def _is_reassignable(
    engine_models: Sequence[configuration.Model],
    models_by_engine: dict[str, list[configuration.Model]],
) -> bool:
    """Returns whether its models keep enough engines without an engine."""
    return all(
        _count_engines(model, models_by_engine) > model.engines
        for model in engine_models
    )


def _count_engines(
    model: configuration.Model,
    models_by_engine: dict[str, list[configuration.Model]],
) -> int:
    return sum(
        model in engine_models for engine_models in models_by_engine.values()
    )


def _compute_score(model: configuration.Model, engine: str) -> float:
    """Returns the score of an engine for a model by rendezvous hashing.

    A model has the highest score for an engine with a probability in proportion
    to its minimum number of engines.
    """
    digest = xxhash.xxh3_64_intdigest(f"{model.name}/{engine}".encode())
    return -model.engines / math.log((digest + 1) / (_HASH_RANGE + 2))


def _list_weights(
    document: configuration.Document,
    engine_models: Sequence[configuration.Model],
) -> dict[str, str]:
    """Returns the weights versions of models and of their adapters."""
    names = {model.name for model in engine_models}
    weights = {model.name: model.weights for model in engine_models}
    for adapter in document.adapters:
        if adapter.model in names:
            weights[adapter.name] = adapter.weights
    return dict(sorted(weights.items()))
