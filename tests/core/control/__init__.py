"""Tests of the control core."""
