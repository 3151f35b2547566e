"""Randomised soak test of real processes with fault injection."""
