"""Tests of core/dispatch."""
