"""The operators' listener."""
