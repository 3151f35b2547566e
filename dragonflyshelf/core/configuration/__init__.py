"""Configuration set by operators."""
