"""Names the scopes within which engines share cached prompts.

A cached prompt lasts longer than the configuration under which it was made, and
longer than the gateway that had it made. So the name of the shared scope states
who may not have written to it: it has a digest of the set of isolated
organisations. What lies in a scope was made only by organisations outside of
that set, whatever the order of changes, even if a gateway restarts or applies a
change later than others.
"""

from sardinewharf import catalog


def make_cache_scope(
    configuration: catalog.Configuration,
    organisation: catalog.Organisation | None,
    model: str,
    weights: int,
    is_current: bool = True,
) -> str:
    """Returns the scope within which a request may share cached prompts.

    Weights versions have scopes of their own, and so have isolated
    organisations. Cached prompts of other scopes are never used.

    Args:
        configuration: The configuration in force.
        organisation: The organisation as the request was admitted; it may have
            been isolated since, or be gone. None on a public route.
        model: The model.
        weights: Version of its weights.
        is_current: Whether a change of the configuration would be known.

    Examples:
        >>> shared = catalog.Organisation("a", ())
        >>> isolated = catalog.Organisation("b", (), is_isolated=True)
        >>> before = catalog.Configuration(1, organisations=(shared,))
        >>> make_cache_scope(before, shared, "m", 3)
        'm/3'
        >>> after = catalog.Configuration(2, organisations=(shared, isolated))
        >>> make_cache_scope(after, isolated, "m", 3)
        'm/3/b'
        >>> make_cache_scope(after, shared, "m", 3).startswith("m/3+")
        True
        >>> make_cache_scope(before, shared, "m", 3, is_current=False)
        'm/3/a'
    """
    if not is_current:
        name = organisation.name if organisation else ""
        return f"{model}/{weights}/{name}"
    if organisation is not None and (
        organisation.is_isolated or configuration.is_isolated(organisation.name)
    ):
        return f"{model}/{weights}/{organisation.name}"
    digest = configuration.isolation_digest
    return f"{model}/{weights}+{digest}" if digest else f"{model}/{weights}"
