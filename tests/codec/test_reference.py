"""Tests of the reference of settings and of the example files."""

import dataclasses
import pathlib

import pytest

from dragonflyshelf.codec import ini
from dragonflyshelf.codec import reference
from dragonflyshelf.core import settings

ROOT = pathlib.Path(__file__).parent.parent.parent
EXAMPLES = sorted((ROOT / "examples").rglob("*.ini"))


class TestReference:
    """The reference is made from the types of the settings."""

    def test_example(self) -> None:
        """The file of all options reads back as all defaults."""
        found = ini.parse("all.ini", reference.example())
        assert found == settings.Settings(instance=found.instance)

    def test_page(self) -> None:
        """The page has every section and every option."""
        page = reference.settings_page()
        for section, kind in reference.sections().items():
            _, _, rest = page.partition(f"## `[{section}]`")
            part, _, _ = rest.partition("\n## ")
            for one in dataclasses.fields(kind):
                assert f"`{one.name}`" in part, (section, one.name)


class TestExamples:
    """The example files are valid."""

    @pytest.mark.parametrize(
        "path", EXAMPLES, ids=lambda p: f"{p.parent.name}-{p.name}"
    )
    def test_valid(self, path: pathlib.Path) -> None:
        """An example has no mistake."""
        ini.parse(str(path), path.read_text(encoding="utf-8"))

    def test_eight(self) -> None:
        """Eight instances in three data centres have their own names."""
        found = [
            ini.parse(str(path), path.read_text(encoding="utf-8"))
            for path in EXAMPLES
            if path.parent.name == "eight"
        ]
        assert len({one.instance.name for one in found}) == 8
        assert len({one.instance.data_centre for one in found}) == 3
        assert len({one.listen.host for one in found}) == 8
