"""Registries that decorators fill."""

from collections import abc
from typing import Generic, TypeVar

from dragonflyshelf.core import errors

K = TypeVar("K", bound=abc.Hashable)
V = TypeVar("V")


class Registry(Generic[K, V]):
    """Map from a key to the implementation registered for it."""

    def __init__(self, name: str) -> None:
        """Create an empty registry; the name is used in errors."""
        self.name = name
        self._by_key: dict[K, V] = {}

    def register(self, key: K) -> abc.Callable[[V], V]:
        """Return a decorator that registers its argument under the key."""

        def decorate(value: V) -> V:
            if key in self._by_key:
                raise errors.DuplicateRegistration(
                    f"{self.name} already has {key!r}"
                )
            self._by_key[key] = value
            return value

        return decorate

    def get(self, key: K) -> V:
        """Return what is registered under the key, or raise."""
        if key not in self._by_key:
            known = ", ".join(sorted(str(one) for one in self._by_key))
            raise errors.NotRegistered(
                f"{self.name} has no {key!r}; known: {known}"
            )
        return self._by_key[key]

    def __contains__(self, key: K) -> bool:
        """Tell whether something is registered under the key."""
        return key in self._by_key

    def __iter__(self) -> abc.Iterator[K]:
        """Iterate over the keys in the order of registration."""
        return iter(self._by_key)
