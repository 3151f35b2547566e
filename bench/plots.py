"""Pictures of what experiments have measured."""

import pathlib

from matplotlib import pyplot

from bench import experiments

WIDTH_INCHES = 8
HEIGHT_INCHES = 4


def write(path: pathlib.Path, plots: tuple[experiments.Plot, ...]) -> None:
    """Write all plots of an experiment into one picture."""
    if not plots:
        return
    pyplot.switch_backend("Agg")
    size = (WIDTH_INCHES, HEIGHT_INCHES * len(plots))
    figure, axes = pyplot.subplots(len(plots), 1, figsize=size, squeeze=False)
    for axis, plot in zip(axes[:, 0], plots):
        for line in plot.series:
            axis.plot(*zip(*line.points), marker=".", label=line.name)
        axis.set_title(plot.title)
        axis.set_xlabel(plot.x_label)
        axis.set_ylabel(plot.y_label)
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
