"""Demo and fault injection with real processes on loopback."""
