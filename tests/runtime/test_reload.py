"""Tests of loading and reloading the settings file."""

import asyncio
import pathlib

import pytest

from dragonflyshelf.codec import ini
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import reload

INITIAL_TEXT = "[instance]\nname = a\ndata_centre = b\n"


async def async_reload(
    path: pathlib.Path, text: str
) -> list[settings.SettingsChanged]:
    """Change the file of a running task; return the posted messages."""
    path.write_text(INITIAL_TEXT)
    receiver = inbox.Inbox("receiver")
    reload_task = reload.ReloadTask(
        reload.load_settings(path), path, (receiver,)
    )
    async with reload_task.async_running():
        path.write_text(text)
        reload_task.inbox.post(reload.ReloadRequested())
        await asyncio.sleep(0.05)
    return [receiver.pop() for _ in range(len(receiver))]


class TestReload:
    """A running instance applies only the sections that may change."""

    def test_changed_section(self, tmp_path: pathlib.Path) -> None:
        """A reloadable section is posted to every receiver."""
        text = INITIAL_TEXT + "[freshness]\nlongest_age = 3.5\nready_age = 2\n"
        (event,) = asyncio.run(async_reload(tmp_path / "a.ini", text))
        assert event.settings.freshness.longest_age == 3.5

    def test_section_applied_at_start_only(
        self, tmp_path: pathlib.Path
    ) -> None:
        """A changed address takes effect at the next start only."""
        text = INITIAL_TEXT + "[store]\naddress = 127.0.0.1:1\n"
        assert asyncio.run(async_reload(tmp_path / "a.ini", text)) == []

    def test_invalid_file(self, tmp_path: pathlib.Path) -> None:
        """An invalid file changes nothing."""
        text = INITIAL_TEXT + "[freshness]\nlongest_age = soon\n"
        assert asyncio.run(async_reload(tmp_path / "a.ini", text)) == []

    def test_same_file(self, tmp_path: pathlib.Path) -> None:
        """An unchanged file changes nothing."""
        assert (
            asyncio.run(async_reload(tmp_path / "a.ini", INITIAL_TEXT)) == []
        )


class TestRead:
    """An unreadable file raises an error with a code."""

    def test_missing_file(self, tmp_path: pathlib.Path) -> None:
        """The error for a missing file contains its path."""
        with pytest.raises(ini.InvalidSettingsFile) as raised:
            reload.load_settings(tmp_path / "none.ini")
        assert "none.ini" in raised.value.message
