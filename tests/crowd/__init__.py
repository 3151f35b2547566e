"""Crowds of callers that keep to no limit, against a real instance."""
