"""Messages between core parts and the platform."""
