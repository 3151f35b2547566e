"""Time line of the process."""
