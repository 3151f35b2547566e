"""Tests of the connections to upstreams."""
