"""Tests of dragonflyshelf.core.platform."""
