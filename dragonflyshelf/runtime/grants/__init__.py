"""Grants of this instance to the upstreams that it leads."""
