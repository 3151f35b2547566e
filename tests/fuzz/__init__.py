"""Fuzzing of everything that reads what others wrote."""
