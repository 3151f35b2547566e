"""Tests of the runner of experiments."""

import json
import pathlib

import pytest

from bench import experiments
from bench import run


async def async_broken(options: experiments.Options) -> experiments.Result:
    """Break a promise and return a picture."""
    line = experiments.Series(name="s", points=((0.0, 1.0), (1.0, 2.0)))
    plot = experiments.Plot(
        title="t", x_label="x", y_label="y", series=(line,)
    )
    return experiments.Result(
        figures={"seed": options.seed}, broken=("doubled",), plots=(plot,)
    )


async def async_raising(options: experiments.Options) -> experiments.Result:
    """Fail before there is a figure."""
    raise OSError("no port is free")


class TestRunOne:
    """An experiment ends in a JSON file, whatever became of it."""

    @pytest.mark.parametrize(
        "experiment, broken",
        [
            (async_broken, ["doubled"]),
            (async_raising, ["OSError: no port is free"]),
        ],
    )
    def test_broken(
        self,
        monkeypatch: pytest.MonkeyPatch,
        tmp_path: pathlib.Path,
        experiment: experiments.Experiment,
        broken: list[str],
    ) -> None:
        """A broken promise and an exception are both reported."""
        monkeypatch.setitem(
            experiments.EXPERIMENTS._by_key, "planted", experiment
        )
        options = experiments.Options(seed=7)
        assert not run.run_one("planted", options, tmp_path)
        record = json.loads((tmp_path / "planted.json").read_text())
        assert record["broken"] == broken
        assert record["seed"] == 7


class TestRegistry:
    """All modules of the bench register their experiments."""

    def test_import_all(self) -> None:
        """The experiment on outcome is among them."""
        experiments.import_all()
        assert "outcome" in experiments.EXPERIMENTS
