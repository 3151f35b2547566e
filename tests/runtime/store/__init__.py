"""Tests of the tasks that read and write the store."""
