"""Tests of the configuration in the core."""
