"""Tests of the tasks that exchange updates with other instances."""
