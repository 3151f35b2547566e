"""Tests of core/rollouts."""
