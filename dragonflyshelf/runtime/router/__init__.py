"""The task that decides about requests."""
