"""Randomised runs of the core that the soak repeats with new seeds."""

from bench import experiments
from tests.core.control import test_history


@experiments.CORE_RUNS.register("control")
def run_control(seed: int) -> None:
    """Run the control cores of six instances through faults."""
    test_history.History(seed).run()


@experiments.CORE_RUNS.register("control_unfenced")
def run_control_unfenced(seed: int) -> None:
    """The same with upstreams that do not check who orders them."""
    test_history.History(seed, fenced=False).run()
