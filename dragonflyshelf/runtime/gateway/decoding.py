"""Decoded objects of the replica, each decoded once when it changes."""

from collections import abc
from typing import Any, Final

from absl import logging

from dragonflyshelf.codec import control
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import names
from dragonflyshelf.platform import objects
from dragonflyshelf.platform import rollouts
from dragonflyshelf.runtime import logs

_LOGGER = logging.get_absl_logger()

Decoder = abc.Callable[[store.StoredObject], Any]

DECODERS: Final[registry.Registry[store.ObjectKind, Decoder]] = (
    registry.Registry("object decoders")
)


@DECODERS.register(store.ObjectKind.CONFIGURATION)
def decode_configuration(stored: store.StoredObject) -> Any:
    """Decode the operator's configuration."""
    if stored.name != names.MAIN_CONFIGURATION_NAME:
        raise errors.InvalidObject(
            f"unexpected configuration object {stored.name}"
        )
    return objects.decode_configuration(stored.spec)


@DECODERS.register(store.ObjectKind.CONTROL)
def decode_control(stored: store.StoredObject) -> Any:
    """Decode a control object: a lease or a plan."""
    return control.decode(stored.spec)


@DECODERS.register(store.ObjectKind.EVACUATION)
def decode_evacuation(stored: store.StoredObject) -> Any:
    """Return the evacuated data centre, which the object is named after."""
    return ids.DataCentreId(stored.name)


@DECODERS.register(store.ObjectKind.REGISTRATION)
def decode_registration(stored: store.StoredObject) -> Any:
    """Decode the registration of an upstream."""
    return objects.decode_registration(stored)


@DECODERS.register(store.ObjectKind.ROLLOUT)
def decode_rollout(stored: store.StoredObject) -> Any:
    """Decode the order of a roll-out."""
    return rollouts.decode_order(stored)


class DecodedObjects:
    """Decoded values by kind and name."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._values_by_kind: dict[
            store.ObjectKind, dict[ids.ObjectName, Any]
        ] = {kind: {} for kind in store.ObjectKind}

    def values(self, kind: store.ObjectKind) -> tuple[Any, ...]:
        """Return the values of a kind, without objects that are invalid."""
        return tuple(self._values_by_kind[kind].values())

    def get(self, kind: store.ObjectKind, name: ids.ObjectName) -> Any:
        """Return the value of an object, None if missing or invalid."""
        return self._values_by_kind[kind].get(name)

    def apply(self, change: store.Change) -> None:
        """Apply a change; an object that cannot be decoded is ignored."""
        values = self._values_by_kind[change.kind]
        values.pop(change.name, None)
        if isinstance(change, store.ObjectRemoved):
            return
        try:
            values[change.name] = DECODERS.get(change.kind)(change)
        except errors.InvalidObject as error:
            _LOGGER.warning(
                "ignoring invalid object %s: %s",
                change.name,
                error.message,
                extra=logs.error_fields(error),
            )
