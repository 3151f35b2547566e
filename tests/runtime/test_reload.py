"""Tests of taking over a changed settings file."""

import asyncio
import pathlib

import pytest

from dragonflyshelf.codec import ini
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import reload

FIRST = "[instance]\nname = a\ndata_centre = b\n"


async def async_reload(
    path: pathlib.Path, text: str
) -> list[settings.SettingsChanged]:
    """Change the file of a running task; return what it posts."""
    path.write_text(FIRST)
    box = inbox.Inbox("receiver")
    made = reload.ReloadTask(reload.read(path), path, (box,))
    async with made.async_running():
        path.write_text(text)
        made.inbox.post(reload.ReloadWanted())
        await asyncio.sleep(0.05)
    return [box.pop() for _ in range(len(box))]


class TestReload:
    """What a running instance takes over."""

    def test_changed_section(self, tmp_path: pathlib.Path) -> None:
        """A section that may change goes to every receiver."""
        text = FIRST + "[freshness]\nlongest_age = 3.5\nready_age = 2\n"
        (told,) = asyncio.run(async_reload(tmp_path / "a.ini", text))
        assert told.settings.freshness.longest_age == 3.5

    def test_section_of_the_start(self, tmp_path: pathlib.Path) -> None:
        """An address is taken over at the next start only."""
        text = FIRST + "[store]\naddress = 127.0.0.1:1\n"
        assert asyncio.run(async_reload(tmp_path / "a.ini", text)) == []

    def test_mistakes(self, tmp_path: pathlib.Path) -> None:
        """A file with a mistake changes nothing."""
        text = FIRST + "[freshness]\nlongest_age = soon\n"
        assert asyncio.run(async_reload(tmp_path / "a.ini", text)) == []

    def test_same_file(self, tmp_path: pathlib.Path) -> None:
        """A file that says the same changes nothing."""
        assert asyncio.run(async_reload(tmp_path / "a.ini", FIRST)) == []


class TestRead:
    """A file that cannot be read is a coded error."""

    def test_missing(self, tmp_path: pathlib.Path) -> None:
        """A missing file is a mistake that names the path."""
        with pytest.raises(ini.InvalidSettingsFile) as caught:
            reload.read(tmp_path / "none.ini")
        assert "none.ini" in caught.value.message
