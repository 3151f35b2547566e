"""Tests of dragonflyshelf.platform."""
