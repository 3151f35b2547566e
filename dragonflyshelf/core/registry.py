"""Registries that decorators fill."""

from collections import abc
from typing import Generic, TypeVar

from dragonflyshelf.core import errors

K = TypeVar("K", bound=abc.Hashable)
V = TypeVar("V")


class Registry(Generic[K, V]):
    """Maps keys to the implementations registered for them."""

    def __init__(self, name: str) -> None:
        """Create an empty registry; the name appears in errors."""
        self.name = name
        self._by_key: dict[K, V] = {}

    def register(self, key: K) -> abc.Callable[[V], V]:
        """Return a decorator that registers its argument under the key."""

        def decorate(value: V) -> V:
            if key in self._by_key:
                raise errors.DuplicateRegistration(
                    f"{self.name}: {key!r} is already registered"
                )
            self._by_key[key] = value
            return value

        return decorate

    def get(self, key: K) -> V:
        """Return the implementation; raises ``NotRegistered`` if missing."""
        if key not in self._by_key:
            keys = ", ".join(
                sorted(str(registered_key) for registered_key in self._by_key)
            )
            raise errors.NotRegistered(
                f"{self.name}: {key!r} is not registered; known: {keys}"
            )
        return self._by_key[key]

    def __contains__(self, key: K) -> bool:
        """Return whether an implementation is registered."""
        return key in self._by_key

    def __iter__(self) -> abc.Iterator[K]:
        """Iterate over the keys in registration order."""
        return iter(self._by_key)
