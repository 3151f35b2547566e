"""Tests of dragonflyshelf.core.ownership."""
