"""Declaration of the allowed range of a settings field."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Range:
    """Inclusive bounds of a number, and its unit for messages."""

    minimum: float
    maximum: float
    unit: str = ""

    def allows(self, value: float) -> bool:
        """Tell whether the value lies within the bounds."""
        return self.minimum <= value <= self.maximum

    def __str__(self) -> str:
        """Return the bounds as a person reads them."""
        text = f"{self.minimum:g} to {self.maximum:g}"
        return f"{text} {self.unit}" if self.unit else text
