"""Runs many randomized simulations of leader election and shard ranges."""

import concurrent.futures
import os

import defopt

from dragonflyshelf.core.grantor import objects
from tests.core.grantor import simulation as simulations

FAULTS_START_SECONDS = 6.0
FAULTS_END_SECONDS = 40.0
SIMULATION_END_SECONDS = 75.0


def run_simulation(seed: int) -> str:
    """Run one simulation; return the failure found, or an empty text.

    Every second one has planned stops too, and two of four have hot keys.
    """
    simulation = simulations.Simulation(
        seed, planned_stops=seed % 2 == 1, hot_keys=seed % 4 >= 2
    )
    simulation.run(FAULTS_START_SECONDS)
    simulation.inject_faults(FAULTS_END_SECONDS)
    simulation.run(SIMULATION_END_SECONDS)
    if simulation.double_grants:
        return f"seed {seed}: two holders: {simulation.double_grants[0]}"
    for key in range(0, objects.SHARD_KEY_COUNT, simulations.KEY_STEP):
        if len(simulation.holders(key)) != 1:
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
            for failure in pool.map(
                run_simulation, range(first, first + count)
            )
            if failure
        ]
    print("\n".join(failures))
    print(f"{count} histories, {len(failures)} failed")
    raise SystemExit(1 if failures else 0)


if __name__ == "__main__":
    defopt.run(histories)
