"""Order and bounds of waiting requests."""
