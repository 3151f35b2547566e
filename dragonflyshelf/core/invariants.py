"""Checks of invariants."""

from dragonflyshelf.core import errors


def check(condition: bool, message: str, *values: object) -> None:
    """Raise ``InvariantViolated`` unless the condition holds.

    The values are formatted into the message with ``%`` only on failure.
    """
    if condition:
        return
    raise errors.InvariantViolated(message % values)
