"""Tests of the parsing of settings files."""

import pytest

from dragonflyshelf.codec import ini
from dragonflyshelf.core import settings

VALID = "[instance]\nname = one\ndata_centre = a\n"


def find_problems(text: str) -> list[str]:
    """Return the problems of a settings text as lines."""
    with pytest.raises(ini.InvalidSettingsFile) as raised:
        ini.parse("x.ini", text)
    return [str(problem) for problem in raised.value.problems]


class TestParse:
    """A file is parsed to typed settings or a list of problems."""

    def test_defaults(self) -> None:
        """An option that is not set has its default."""
        parsed = ini.parse("x.ini", VALID)
        assert parsed.instance.name == "one"
        assert parsed.log.level is settings.LogLevel.INFO

    def test_closest_name(self) -> None:
        """An unknown option is reported with the closest valid name."""
        (problem,) = find_problems(VALID + "[entry]\nrelay_prt = 1\n")
        assert problem.startswith("x.ini:5: [entry] relay_prt:")
        assert "'relay_port'" in problem

    def test_all_problems(self) -> None:
        """All problems are reported, not only the first."""
        text = VALID + "[entry]\nrelay_port = 70000\n[grants]\nhold = x\n"
        problems = find_problems(text + "[log]\nlevel = loud\n")
        assert len(problems) == 3
        assert "debug, error, info" in problems[2]

    def test_required(self) -> None:
        """A missing required option is reported."""
        problems = find_problems("[instance]\nname = one\n")
        assert "[instance] data_centre: is required" in problems[0]

    @pytest.mark.parametrize("value", ["nan", "inf", "-inf", "1e999", "0", ""])
    def test_not_finite(self, value: str) -> None:
        """A duration must be a finite number within its range."""
        (problem,) = find_problems(VALID + f"[leadership]\nlease = {value}\n")
        assert problem.startswith("x.ini:5: [leadership] lease:")
        assert "0.001 to 86400 s" in problem

    @pytest.mark.parametrize(
        ("text", "line"),
        [
            ("[entry]\nready = a\nready = b\n", 6),
            ("[instance]\n", 4),
            ("no value\n", 4),
            ("[broken\n", 3),
        ],
    )
    def test_not_ini(self, text: str, line: int) -> None:
        """Duplicates and invalid lines are reported with their line."""
        (problem,) = find_problems(VALID + text)
        assert problem.startswith(f"x.ini:{line}: ")


class TestRules:
    """Options that violate a rule across options are reported."""

    @pytest.mark.parametrize(
        ("text", "location"),
        [
            (
                "[leadership]\nrenew_interval = 1\n",
                "5: [leadership] renew_interval",
            ),
            ("[leadership]\nlease = 9\n", "5: [leadership] lease"),
            (
                "[grants]\nrenew_interval = 2\n",
                "5: [grants] renew_interval",
            ),
            ("[freshness]\nready_age = 5\n", "5: [freshness] ready_age"),
            ("[store]\nwatch_wait = 2\n", "5: [store] watch_wait"),
            (
                "[requests]\nwindow_bytes = 1024\n",
                "4: [requests] replay_bytes",
            ),
            ("[shutdown]\nsettle = 21\n", "5: [shutdown] settle"),
            (
                "[upstreams]\nconnect_timeout = 11\n",
                "5: [upstreams] connect_timeout",
            ),
        ],
    )
    def test_rule(self, text: str, location: str) -> None:
        """The problem is reported at the option to change."""
        problems = find_problems(VALID + text)
        assert [
            problem
            for problem in problems
            if problem.startswith(f"x.ini:{location}:")
        ]

    def test_name(self) -> None:
        """A name with characters that are not allowed is reported."""
        text = "[instance]\nname = a b\ndata_centre = a\n"
        (problem,) = find_problems(text)
        assert problem.startswith("x.ini:2: [instance] name:")
