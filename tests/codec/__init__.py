"""Tests of dragonflyshelf.codec."""
