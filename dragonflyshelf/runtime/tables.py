"""Imports of the modules that register tables for operators."""

import dragonflyshelf.core.configuration.diagnostics  # noqa: F401
