"""Randomised soak of real processes with faults from outside."""
