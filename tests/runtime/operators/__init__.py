"""Tests of dragonflyshelf.runtime.operators."""
