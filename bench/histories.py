"""Runs many randomized simulations of leader election and shard ranges."""

import concurrent.futures
import os

import defopt

from dragonflyshelf.core.grantor import objects
from tests.core.grantor import world as worlds

CALM_SECONDS = 6.0
TROUBLE_SECONDS = 40.0
END_SECONDS = 75.0


def play(seed: int) -> str:
    """Run one simulation; return the failure found, or an empty text."""
    world = worlds.World(seed)
    world.run(CALM_SECONDS)
    world.cause_trouble(TROUBLE_SECONDS)
    world.run(END_SECONDS)
    if world.held_twice:
        return f"seed {seed}: two holders: {world.held_twice[0]}"
    for key in range(0, objects.SHARD_KEY_COUNT, worlds.KEY_STEP):
        if len(world.holders(key)) != 1:
            return (
                f"seed {seed}: key {key} does not have one holder at the end"
            )
    return ""


def histories(*, first: int = 0, count: int = 400) -> None:
    """Run simulations and print the seeds of those that failed.

    :param first: the first seed
    :param count: number of consecutive seeds
    """
    workers = max((os.cpu_count() or 2) // 2, 1)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        failures = [
            failure
            for failure in pool.map(play, range(first, first + count))
            if failure
        ]
    print("\n".join(failures))
    print(f"{count} histories, {len(failures)} failed")
    raise SystemExit(1 if failures else 0)


if __name__ == "__main__":
    defopt.run(histories)
