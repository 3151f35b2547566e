"""Encoding and decoding of messages; no decisions."""
