"""Tests of the picture of a time line."""

import pathlib

import pytest

from dragonflyshelf.codec import lanes

COLUMNS = ("time", "instance", "kind")
ROWS = ((1.0, "i1", "started"), (2.5, "i2", "granted"), (3.0, "i1", "granted"))


class TestSave:
    """The picture has a lane for each instance."""

    def test_lanes(self, tmp_path: pathlib.Path) -> None:
        """Names of instances and kinds are in the picture's text."""
        path = tmp_path / "lanes.svg"
        lanes.save(COLUMNS, ROWS, path)
        text = path.read_text(encoding="utf-8")
        for word in ("i1", "i2", "started", "granted"):
            assert f"<!-- {word} -->" in text

    @pytest.mark.parametrize("rows", [(), ROWS])
    def test_png(self, tmp_path: pathlib.Path, rows: tuple) -> None:
        """A time line without events has a picture too."""
        path = tmp_path / "lanes.png"
        lanes.save(COLUMNS, rows, path)
        assert path.read_bytes().startswith(b"\x89PNG")
