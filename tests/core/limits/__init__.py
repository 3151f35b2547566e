"""Tests of core/limits."""
