"""Rates and bursts of workspaces."""
