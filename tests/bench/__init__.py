"""Tests of the demo and the soak."""
