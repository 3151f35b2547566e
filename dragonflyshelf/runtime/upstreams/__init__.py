"""Connections to upstreams."""
