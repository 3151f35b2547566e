"""Tests of core/admission."""
