"""Tests of connections to upstreams."""
