"""Registry of the named experiments of ``make bench``.

An experiment is a coroutine function under ``@EXPERIMENTS.register``.
It takes ``Options`` and returns a ``Result``; every module of this
folder is imported by the runner, so a new module registers its own.
"""

from collections import abc
import dataclasses
import enum
import importlib
import pathlib
import pkgutil

from dragonflyshelf.core import registry

FOLDER = pathlib.Path(__file__).parent


class Length(enum.Enum):
    """How much time the experiments may take together."""

    FULL = "full"
    SHORT = "short"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """What an experiment is to keep to."""

    length: Length = Length.SHORT
    seed: int = 1

    @property
    def short(self) -> bool:
        """Tell whether all experiments together have two minutes."""
        return self.length is Length.SHORT


@dataclasses.dataclass(frozen=True, kw_only=True)
class Series:
    """One line of a plot."""

    name: str
    points: tuple[tuple[float, float], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plot:
    """A picture with its lines."""

    title: str
    x_label: str
    y_label: str
    series: tuple[Series, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What an experiment has measured.

    ``broken`` names promises that were seen broken; it is empty when all
    held. ``figures`` has plain JSON values, baselines included.
    """

    figures: dict[str, object]
    broken: tuple[str, ...] = ()
    plots: tuple[Plot, ...] = ()


Experiment = abc.Callable[[Options], abc.Awaitable[Result]]
EXPERIMENTS: registry.Registry[str, Experiment] = registry.Registry(
    "experiments"
)

CoreRun = abc.Callable[[int], None]
CORE_RUNS: registry.Registry[str, CoreRun] = registry.Registry("core runs")
"""Randomised runs of the core, from a seed; each raises on a violation."""


def import_all() -> None:
    """Import every module of this folder, so that all register."""
    for found in pkgutil.iter_modules([str(FOLDER)]):
        importlib.import_module(f"bench.{found.name}")
