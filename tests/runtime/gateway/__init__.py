"""Tests of the tasks of an instance."""
