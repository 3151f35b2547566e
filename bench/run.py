"""Runs experiments and writes their JSON and plots.

``python -m bench.run [NAME ...]`` runs the named experiments, or all.
"""

import asyncio
import json
import pathlib
import sys
import time
import traceback

import defopt
import msgspec

from bench import experiments
from bench import plots

OUT = pathlib.Path("out")


def run_one(
    name: str, options: experiments.Options, out: pathlib.Path
) -> bool:
    """Run one experiment; return whether it held."""
    started = time.monotonic()
    try:
        experiment = experiments.EXPERIMENTS.get(name)
        result = asyncio.run(experiment(options))
    except Exception as error:
        traceback.print_exc()
        text = f"{type(error).__name__}: {error}"
        result = experiments.Result(figures={}, broken=(text,))
    record = {
        "name": name,
        "seed": options.seed,
        "length": options.length.value,
        "seconds": round(time.monotonic() - started, 1),
        "broken": result.broken,
        "figures": msgspec.to_builtins(result.figures),
    }
    text = json.dumps(record, indent=2)
    (out / f"{name}.json").write_text(text + "\n", encoding="utf-8")
    plots.write(out / f"{name}.png", result.plots)
    print(text, flush=True)
    return not result.broken


def main(
    *names: str,
    length: experiments.Length = experiments.Length.SHORT,
    seed: int = 1,
    out: pathlib.Path = OUT,
) -> None:
    """Run experiments one after the other.

    :param names: the experiments; all when none is given
    :param length: short takes about two minutes for all
    :param seed: seed of loads and faults
    :param out: folder of the results
    """
    experiments.import_all()
    out.mkdir(parents=True, exist_ok=True)
    options = experiments.Options(length=length, seed=seed)
    wanted = names or tuple(experiments.EXPERIMENTS)
    held = {name: run_one(name, options, out) for name in wanted}
    for name, good in held.items():
        print(f"bench: {name} {'ok' if good else 'broken'}")
    sys.exit(0 if all(held.values()) else 1)


if __name__ == "__main__":
    defopt.run(main)
