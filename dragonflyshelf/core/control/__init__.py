"""Membership, ownership and the state of the platform, as one part."""
