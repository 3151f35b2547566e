"""Typed events and their causal order."""
