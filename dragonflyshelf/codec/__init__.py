"""Encoding and decoding of messages, settings and log lines."""
