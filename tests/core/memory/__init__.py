"""Tests of the account of memory."""
