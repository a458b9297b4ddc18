"""Computes what identifies a request's shared prompt in prefix caches."""

import dataclasses

from sardinewharf import catalog
from sardinewharf.gateway import cache_scopes
from sardinewharf.gateway import messages
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import requests


@dataclasses.dataclass(frozen=True, slots=True)
class CacheKey:
    """Identifies a request's shared prompt in the engines' prefix caches.

    Attributes:
        scope: Requests with the same scope may share cached prompts.
        key: Hash of the scope and the shared prompt; 0 for a short prompt.
        store: ``IP:PORT`` of the cache store that the shared prompt belongs
            to; empty if it belongs to none, or none responds.
        is_stored: Whether that store is assumed to hold the prompt.
        may_be_stored: Whether that store is not known to lack the prompt.
    """

    scope: str
    key: int
    store: str
    is_stored: bool
    may_be_stored: bool


class CacheKeys:
    """Computes a shared prompt's cache key once for each weights version.

    Args:
        configuration: The configuration in force.
        call: The request.
        prompt: Its prompt.
        prompts: Where shared prompts are cached.
        is_current: Whether the configuration is known to be current enough to
            share cached prompts.
    """

    def __init__(
        self,
        configuration: catalog.Configuration,
        call: requests.Call,
        prompt: messages.Prompt,
        prompts: prompts_lib.PromptTable,
        is_current: bool,
    ):
        self._is_current = is_current
        self._configuration = configuration
        self._call = call
        self._prompt = prompt
        self._prompts = prompts
        self._by_version: dict[int, CacheKey] = {}

    def find(self, weights: int) -> CacheKey:
        """Returns the cache key for a version of the weights."""
        cache_key = self._by_version.get(weights)
        if cache_key is None:
            prompt = self._prompt
            scope = cache_scopes.make_cache_scope(
                self._configuration,
                self._call.admitted.organisation,
                prompt.model,
                weights,
                self._is_current,
            )
            key = prompts_lib.make_key(scope, prompt)
            store = self._prompts.stores.choose(key)
            cache_key = CacheKey(
                scope,
                key,
                store.address if store else "",
                self._prompts.is_stored(key, scope, prompt, store),
                self._prompts.may_be_stored(scope, prompt, store),
            )
            self._by_version[weights] = cache_key
        return cache_key
