"""What a check of a configuration tells an operator."""

import dataclasses
import enum

from dragonflyshelf.core.configuration import validity


class Severity(enum.Enum):
    """What a finding means for the use of a version.

    A version with an ``ERROR`` is not used by any instance. A ``WARNING``
    is valid but hardly wanted, a ``NOTE`` what a version changes.
    """

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """One finding; ``field`` and ``row`` say where, if at one place."""

    severity: Severity
    text: str
    field: validity.Field | None = None
    row: int = 0
