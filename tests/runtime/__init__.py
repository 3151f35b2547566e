"""Tests of dragonflyshelf.runtime."""
