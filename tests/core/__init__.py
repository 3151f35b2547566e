"""Tests of dragonflyshelf.core."""
