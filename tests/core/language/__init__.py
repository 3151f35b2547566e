"""Tests of the operator language."""
