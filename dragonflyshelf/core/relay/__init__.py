"""Replication of the platform's objects between instances."""
