"""Tests of dragonflyshelf.cli."""
