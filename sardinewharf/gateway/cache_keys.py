"""Computes the keys by which engines' prefix caches know shared prompts."""

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
        is_stored: Whether the cache store is assumed to hold the prompt.
    """

    scope: str
    key: int
    is_stored: bool


class CacheKeys:
    """Computes a shared prompt's cache key once for each weights version."""

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
            is_stored = self._prompts.is_stored(key, scope, prompt)
            cache_key = CacheKey(scope, key, is_stored)
            self._by_version[weights] = cache_key
        return cache_key
