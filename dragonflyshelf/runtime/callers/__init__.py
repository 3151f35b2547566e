"""Listener and connections of callers."""
