"""Slots of upstreams, assigned to the instances of a data centre."""
