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

    @pytest.mark.parametrize("value", ["nan", "inf", "-inf", "1e999", "0", ""])
    def test_not_finite(self, value: str) -> None:
        """A time is a finite number within its range."""
        (mistake,) = mistakes_of(GOOD + f"[membership]\nlease = {value}\n")
        assert mistake.startswith("x.ini:5: [membership] lease:")
        assert "0.001 to 86400 s" in mistake

    @pytest.mark.parametrize(
        ("text", "line"),
        [
            ("[listen]\nhost = a\nhost = b\n", 6),
            ("[instance]\n", 4),
            ("no value\n", 4),
            ("[broken\n", 3),
        ],
    )
    def test_not_ini(self, text: str, line: int) -> None:
        """Duplicates and bad lines are named with their line."""
        (mistake,) = mistakes_of(GOOD + text)
        assert mistake.startswith(f"x.ini:{line}: ")


class TestRules:
    """Options that do not go together are named."""

    @pytest.mark.parametrize(
        ("text", "where"),
        [
            ("[listen]\npeer_port = 8080\n", "5: [listen] peer_port"),
            (
                "[membership]\nrenew_interval = 1\n",
                "5: [membership] renew_interval",
            ),
            ("[ownership]\ngrant_ttl = 2\n", "5: [ownership] grant_ttl"),
            (
                "[ownership]\ngrant_interval = 0.7\n",
                "5: [ownership] grant_interval",
            ),
            (
                "[requests]\nwindow_bytes = 1024\n",
                "4: [requests] replay_bytes",
            ),
            ("[shutdown]\nsettle = 16\n", "5: [shutdown] settle"),
            (
                "[upstreams]\nconnect_timeout = 11\n",
                "5: [upstreams] connect_timeout",
            ),
        ],
    )
    def test_rule(self, text: str, where: str) -> None:
        """The mistake stands at the option to change."""
        found = mistakes_of(GOOD + text)
        assert [one for one in found if one.startswith(f"x.ini:{where}:")]

    def test_name(self) -> None:
        """A name has only characters that are safe everywhere."""
        text = "[instance]\nname = a b\ndata_centre = a\n"
        (mistake,) = mistakes_of(text)
        assert mistake.startswith("x.ini:2: [instance] name:")
