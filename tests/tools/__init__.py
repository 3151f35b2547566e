"""Tests of the tools of the build."""
