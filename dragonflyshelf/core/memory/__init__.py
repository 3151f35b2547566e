"""Memory that an instance holds for connections, and its limits."""
