"""Imports of the modules that register tables for operators."""

import dragonflyshelf.core.admission.diagnostics  # noqa: F401
import dragonflyshelf.core.configuration.diagnostics  # noqa: F401
import dragonflyshelf.core.dispatch.diagnostics  # noqa: F401
import dragonflyshelf.core.limits.diagnostics  # noqa: F401
import dragonflyshelf.core.timeline.diagnostics  # noqa: F401
