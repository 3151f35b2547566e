"""Local replica of the platform's objects."""
