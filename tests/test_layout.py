"""Tests of the layering and import rules of the package."""

import ast
import importlib.util
import pathlib

import pytest

from tests import collection

PACKAGE = pathlib.Path(__file__).parent.parent / "dragonflyshelf"
FORBIDDEN_IN_CORE = frozenset(
    {
        "absl",
        "asyncio",
        "datetime",
        "logging",
        "multiprocessing",
        "os",
        "pathlib",
        "random",
        "secrets",
        "selectors",
        "signal",
        "socket",
        "ssl",
        "subprocess",
        "threading",
        "time",
        "uuid",
    }
)
FORBIDDEN_PACKAGES_IN_CORE = (
    "dragonflyshelf.cli",
    "dragonflyshelf.codec",
    "dragonflyshelf.runtime",
)
FORBIDDEN_EVERYWHERE = frozenset({"multiprocessing", "subprocess"})


def imported_names(path: pathlib.Path) -> set[str]:
    """Return the qualified names that a module imports."""
    names = set()
    with collection.collection_paused():
        tree = ast.parse(path.read_text(encoding="utf-8"))
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
    return names


def modules(folder: pathlib.Path) -> list[pathlib.Path]:
    """Return all modules below a folder."""
    return sorted(folder.rglob("*.py"))


def label(path: pathlib.Path) -> str:
    """Return the path within the package, used as test id."""
    return str(path.relative_to(PACKAGE))


class TestCoreIsPure:
    """The core does no I/O and reads no clock or random numbers."""

    @pytest.mark.parametrize("path", modules(PACKAGE / "core"), ids=label)
    def test_imports(self, path: pathlib.Path) -> None:
        """No core module imports a forbidden module or package."""
        for name in imported_names(path):
            assert name.split(".")[0] not in FORBIDDEN_IN_CORE, name
            assert not name.startswith(FORBIDDEN_PACKAGES_IN_CORE), name


class TestNoChildProcesses:
    """The program starts no child processes."""

    @pytest.mark.parametrize("path", modules(PACKAGE), ids=label)
    def test_imports(self, path: pathlib.Path) -> None:
        """No module imports a way to start a process."""
        for name in imported_names(path):
            assert name.split(".")[0] not in FORBIDDEN_EVERYWHERE, name


class TestModuleImports:
    """Only modules are imported from this package."""

    @pytest.mark.parametrize("path", modules(PACKAGE), ids=label)
    def test_imports(self, path: pathlib.Path) -> None:
        """Each import from the package is a module."""
        for name in imported_names(path):
            if name.startswith("dragonflyshelf."):
                assert importlib.util.find_spec(name) is not None, name


PLATFORM_NAMES = (
    "api-key",
    "shard-key",
    "deadline-ms",
    "load-report",
    "response-seal",
    "expect-instance",
    "not-executed",
    "warmuplefts",
    "storerevision",
    "rateper",
    "/-/objects",
    "/-/grant",
    "/-/release",
    "/-/readyz",
)
MAX_PLATFORM_SIZE_RATIO = 0.1
MODULES_WITH_OVERLAPPING_NAMES = frozenset({"codec/http.py"})
"""Modules whose header names contain a name of the platform."""


class TestPlatformFolder:
    """Names of the platform's protocol are confined to one folder."""

    @pytest.mark.parametrize("path", modules(PACKAGE), ids=label)
    def test_names(self, path: pathlib.Path) -> None:
        """No other module contains a header, field or path of the platform."""
        if (
            label(path).startswith("platform/")
            or label(path) in MODULES_WITH_OVERLAPPING_NAMES
        ):
            return
        text = path.read_text(encoding="utf-8").lower()
        for name in PLATFORM_NAMES:
            assert name not in text, name

    def test_size(self) -> None:
        """The folder has less than a tenth of the lines of the package."""
        line_counts = {
            label(path): len(path.read_text(encoding="utf-8").splitlines())
            for path in modules(PACKAGE)
        }
        platform_line_count = sum(
            line_count
            for name, line_count in line_counts.items()
            if name.startswith("platform/")
        )
        assert platform_line_count < MAX_PLATFORM_SIZE_RATIO * sum(
            line_counts.values()
        )
