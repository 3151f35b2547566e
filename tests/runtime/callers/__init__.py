"""Tests of caller connections."""
