"""Tests of the language."""
