"""Allowed range of a settings field."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Range:
    """Inclusive bounds of a number; the unit is shown in messages."""

    minimum: float
    maximum: float
    unit: str = ""

    def allows(self, value: float) -> bool:
        """Return whether the value is within the bounds."""
        return self.minimum <= value <= self.maximum

    def __str__(self) -> str:
        """Return the bounds and the unit for display."""
        text = f"{self.minimum:g} to {self.maximum:g}"
        return f"{text} {self.unit}" if self.unit else text
