"""Decoded objects of the replica, each decoded once when it changes."""

from collections import abc
from typing import Any, Final

from absl import logging

from dragonflyshelf.codec import control
from dragonflyshelf.core.configuration import faults
from dragonflyshelf.core.configuration import succession
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import names
from dragonflyshelf.platform import objects
from dragonflyshelf.platform import rollouts

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


SuccessorCheck = abc.Callable[[Any, Any], None]

SUCCESSOR_CHECKS: Final[
    registry.Registry[store.ObjectKind, SuccessorCheck]
] = registry.Registry("checks of the successor of a value")
"""Kinds of which the last valid value stays, with what may follow it."""


@SUCCESSOR_CHECKS.register(store.ObjectKind.CONFIGURATION)
def check_configuration(current: Any, newer: Any) -> None:
    """Check that versions of the configuration increase."""
    succession.check_successor(current, newer)


class DecodedObjects:
    """Decoded values by kind and name, and the faults of invalid objects.

    An invalid object has no value, or its last valid one if its kind is
    in ``SUCCESSOR_CHECKS``; so has one that was removed.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._values_by_kind: dict[
            store.ObjectKind, dict[ids.ObjectName, Any]
        ] = {kind: {} for kind in store.ObjectKind}
        self._faults_by_kind: dict[
            store.ObjectKind, dict[ids.ObjectName, faults.ObjectFault]
        ] = {kind: {} for kind in store.ObjectKind}

    @property
    def configuration_fault(self) -> faults.ObjectFault | None:
        """Return why the newest configuration is not in force, if it isn't."""
        return self._faults_by_kind[store.ObjectKind.CONFIGURATION].get(
            ids.ObjectName(names.MAIN_CONFIGURATION_NAME)
        )

    def values(self, kind: store.ObjectKind) -> tuple[Any, ...]:
        """Return the values of a kind."""
        return tuple(self._values_by_kind[kind].values())

    def get(self, kind: store.ObjectKind, name: ids.ObjectName) -> Any:
        """Return the value of an object, None if it has none."""
        return self._values_by_kind[kind].get(name)

    def fault_count(self, kind: store.ObjectKind) -> int:
        """Return the number of invalid objects of a kind."""
        return len(self._faults_by_kind[kind])

    def apply(self, change: store.Change) -> bool:
        """Apply a change; return whether it may have changed a value."""
        values = self._values_by_kind[change.kind]
        keeps_last_value = (
            change.kind in SUCCESSOR_CHECKS and change.name in values
        )
        if isinstance(change, store.ObjectRemoved) and not keeps_last_value:
            values.pop(change.name, None)
            self._faults_by_kind[change.kind].pop(change.name, None)
            return True
        try:
            values[change.name] = self._decode(change)
        except errors.InvalidObject as error:
            self._record_fault(faults.find_fault(change, error))
            if not keeps_last_value:
                values.pop(change.name, None)
            return not keeps_last_value
        self._faults_by_kind[change.kind].pop(change.name, None)
        return True

    def _decode(self, change: store.Change) -> Any:
        """Return the value of an object that may follow the present one.

        Raises ``InvalidObject`` if there is none.
        """
        if isinstance(change, store.ObjectRemoved):
            raise errors.InvalidObject("was removed")
        value = DECODERS.get(change.kind)(change)
        if change.kind in SUCCESSOR_CHECKS:
            current = self._values_by_kind[change.kind].get(change.name)
            SUCCESSOR_CHECKS.get(change.kind)(current, value)
        return value

    def _record_fault(self, fault: faults.ObjectFault) -> None:
        """Record a fault, and log it unless the object had it before."""
        faults_by_name = self._faults_by_kind[fault.kind]
        former = faults_by_name.get(fault.name)
        faults_by_name[fault.name] = fault
        if not fault.is_same_cause(former):
            _LOGGER.warning(
                "%s object is invalid: %s", fault.kind.value, fault
            )
