"""Random histories of several control cores.

``python -m tests.core.control.test_history FIRST COUNT [unfenced]`` runs
more seeds than CI does and prints one line for each.
"""

import random
import sys
import time

import pytest

from tests.core.control import world

FAULT_SECONDS = 25.0
HEAL_SECONDS = 22.0
HOMES = {"i0": "a", "i1": "b", "i2": "c", "i3": "a", "i4": "b", "i5": "c"}
SEEDS = range(6)
START_SECONDS = 6.0
UNFENCED_SEEDS = range(100, 103)


class History:
    """Turns the switches of a world at random."""

    def __init__(self, seed: int, **options: object) -> None:
        """Create a world and a source of its faults."""
        self.world = world.World(seed, HOMES, **options)
        self.shards = 12
        self.random = random.Random(seed + 1)
        self.actions = [
            self.cut_instance,
            self.cut_one_way,
            self.freeze_upstream,
            self.kill_instance,
            self.kill_upstream,
            self.lose_answers,
            self.lose_messages,
            self.outage_then_isolation,
            self.partition,
            self.pause_instance,
            self.platform_out,
            self.slow_platform,
        ]
        if not self.world.fenced:
            self.actions.remove(self.freeze_upstream)

    def run(self) -> None:
        """Start, break things, often two at once, heal, and check."""
        self.world.run(START_SECONDS)
        end = self.world.at + FAULT_SECONDS
        while self.world.at < end:
            for _ in range(self.random.choice((1, 1, 2))):
                self.random.choice(self.actions)()
            self.world.run(self.random.uniform(0.2, 4))
        self.heal()
        self.world.run(HEAL_SECONDS)
        self.check_served()

    def heal(self) -> None:
        """Turn every fault off."""
        self.world.faults = world.Faults()
        for one in self.world.upstreams.values():
            one.cut_from.clear()
            one.thaw(self.world)
            if one.dead:
                one.start()
        for name in HOMES:
            self.world.resume(name)
            self.world.start(name)

    def check_served(self) -> None:
        """Every shard was run within the last seconds."""
        for shard, at in self.world.runs.at_by_shard.items():
            assert self.world.at - at < 2.0, (shard, at, self.world.at)
        assert len(self.world.runs.at_by_shard) == self.shards

    def _for_a_while(self, undo: object, *arguments: object) -> None:
        self.world.later(self.random.uniform(0.3, 9), undo, *arguments)

    def _instance(self) -> str:
        return self.random.choice(sorted(HOMES))

    def cut_instance(self) -> None:
        """Cut an instance off from the platform."""
        name = self._instance()
        cut = self.world.faults.cut_from_platform
        cut.add(name)
        self._for_a_while(cut.discard, name)

    def cut_one_way(self) -> None:
        """Lose what one instance sends to another."""
        pair = (self._instance(), self._instance())
        cut = self.world.faults.cut_pairs
        cut.add(pair)
        self._for_a_while(cut.discard, pair)

    def partition(self) -> None:
        """Cut a data centre off from all else, at times the platform."""
        inside = self.random.choice("abc")
        pairs = {
            (one, other)
            for one, home in HOMES.items()
            for other, other_home in HOMES.items()
            if (home == inside) != (other_home == inside)
        }
        cut = self.world.faults.cut_pairs
        cut |= pairs
        names = {one for one, home in HOMES.items() if home == inside}
        if self.random.random() < 0.6:
            self.world.faults.cut_from_platform |= names
            platform = self.world.faults.cut_from_platform
            self._for_a_while(platform.difference_update, names)
        self._for_a_while(cut.difference_update, pairs)

    def freeze_upstream(self) -> None:
        """Freeze an upstream; it goes on later with what waited."""
        one = self.random.choice(list(self.world.upstreams.values()))
        one.frozen = not one.dead
        self._for_a_while(one.thaw, self.world)

    def kill_instance(self) -> None:
        """Lose a process; another one starts under its name later."""
        name = self._instance()
        self.world.kill(name)
        self._for_a_while(self.world.start, name)

    def kill_upstream(self) -> None:
        """Lose an upstream; it starts anew, at times without a pause."""
        one = self.random.choice(list(self.world.upstreams.values()))
        one.kill()
        one.start()
        if self.random.random() < 0.7:
            one.kill()
            self._for_a_while(one.start)

    def lose_answers(self) -> None:
        """Lose some answers of the platform."""
        faults = self.world.faults
        faults.lost_answers = self.random.uniform(0, 0.5)
        self._for_a_while(setattr, faults, "lost_answers", 0.0)

    def lose_messages(self) -> None:
        """Lose some messages between instances."""
        faults = self.world.faults
        faults.lost_messages = self.random.uniform(0, 0.5)
        self._for_a_while(setattr, faults, "lost_messages", 0.0)

    def pause_instance(self) -> None:
        """Stop a process for a while."""
        name = self._instance()
        self.world.pause(name)
        self._for_a_while(self.world.resume, name)

    def platform_out(self) -> None:
        """Take the platform away."""
        faults = self.world.faults
        faults.platform_out = True
        self._for_a_while(setattr, faults, "platform_out", False)

    def outage_then_isolation(self) -> None:
        """Cut an instance off from all while the platform comes back."""
        name = self._instance()
        pairs = {(name, one) for one in HOMES} | {(one, name) for one in HOMES}
        faults = self.world.faults
        faults.platform_out = True
        wait = self.random.uniform(1.5, 4)
        self.world.later(wait, setattr, faults, "platform_out", False)
        self.world.later(wait, faults.cut_from_platform.add, name)
        self.world.later(wait, faults.cut_pairs.update, pairs)
        end = wait + self.random.uniform(1, 6)
        self.world.later(end, faults.cut_from_platform.discard, name)
        self.world.later(end, faults.cut_pairs.difference_update, pairs)

    def slow_platform(self) -> None:
        """Let calls of the platform take up to seconds."""
        faults = self.world.faults
        faults.platform_slow = self.random.uniform(0, 3)
        self._for_a_while(setattr, faults, "platform_slow", 0.0)


class TestHistories:
    """No history has two owners, and every history ends served."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_fenced(self, seed: int) -> None:
        """Upstreams that check grants never run an old epoch."""
        History(seed).run()

    @pytest.mark.parametrize("seed", UNFENCED_SEEDS)
    def test_unfenced(self, seed: int) -> None:
        """Nor do others, but for requests older than their deadline."""
        History(seed, fenced=False).run()


def main(first: int, count: int, fenced: bool = True) -> None:
    """Run histories and print what each had."""
    for seed in range(first, first + count):
        started = time.monotonic()
        history = History(seed, fenced=fenced)
        try:
            history.run()
            result = "ok"
        except Exception as error:
            result = f"{type(error).__name__}: {error}"
        runs = history.world.runs
        epochs = max((one.epoch for one in runs.owner_by_key), default=0)
        print(
            f"seed={seed} runs={runs.count} epochs={epochs}"
            f" calls={history.world.calls}"
            f" takeovers={history.world.takeovers}"
            f" s={time.monotonic() - started:.1f} {result}",
            flush=True,
        )


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), "unfenced" not in sys.argv)
