"""Assertion of properties that must hold in every history."""

from dragonflyshelf.core import errors


def check(holds: bool, message: str, *values: object) -> None:
    """Raise ``InvariantViolated`` unless the property holds.

    The message takes the values by ``%`` only when it is violated.
    """
    if holds:
        return
    raise errors.InvariantViolated(message % values)
