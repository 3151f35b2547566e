"""Tests of reading settings."""

import pytest

from dragonflyshelf.codec import ini
from dragonflyshelf.core import settings

GOOD = "[instance]\nname = one\ndata_centre = a\n"


def mistakes_of(text: str) -> list[str]:
    """Return the mistakes of a text as lines."""
    with pytest.raises(ini.BadSettingsFile) as raised:
        ini.parse("x.ini", text)
    return [str(one) for one in raised.value.mistakes]


class TestParse:
    """A file becomes typed settings or a list of mistakes."""

    def test_defaults(self) -> None:
        """What is not set has its default."""
        found = ini.parse("x.ini", GOOD)
        assert found.instance.name == "one"
        assert found.platform.kind is settings.PlatformKind.MEMORY

    def test_nearest_name(self) -> None:
        """An unknown option names the nearest known one."""
        (mistake,) = mistakes_of(GOOD + "[listen]\ncaler_port = 1\n")
        assert mistake.startswith("x.ini:5: [listen] caler_port:")
        assert "'caller_port'" in mistake

    def test_all_mistakes(self) -> None:
        """Every mistake is named, not only the first."""
        text = GOOD + "[listen]\ncaller_port = x\npeer_port = 70000\n"
        found = mistakes_of(text + "[platform]\nkind = disk\n")
        assert len(found) == 3
        assert "http, memory" in found[2]

    def test_required(self) -> None:
        """A missing required option is named."""
        found = mistakes_of("[instance]\nname = one\n")
        assert "[instance] data_centre: is required" in found[0]
