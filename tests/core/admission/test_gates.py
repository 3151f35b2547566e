"""Tests of slots and ramps."""

import pytest

from dragonflyshelf.core.admission import gates
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings

CONFIG = settings.AdmissionSettings(
    ramp=5.0, ramp_first_rate=10.0, ramp_last_rate=500.0
)
START = ids.Instant(50.0)


def make() -> gates.Gate:
    """Return a gate with six slots."""
    return gates.Gate(ids.UpstreamId("u"), 6, CONFIG)


class TestSlots:
    """No more requests run than there are slots."""

    def test_full(self) -> None:
        """A full gate does not open, and a freed slot opens it."""
        gate = make()
        for number in range(6):
            assert gate.opens_at(START) == START
            gate.enter(ids.ExchangeId(number), START)
        assert gate.opens_at(START) == gates.NEVER
        gate.leave(ids.ExchangeId(0), True, START)
        assert gate.opens_at(START) == START

    def test_asserted(self) -> None:
        """A seventh request violates the invariant."""
        gate = make()
        for number in range(6):
            gate.enter(ids.ExchangeId(number), START)
        with pytest.raises(errors.InvariantViolated):
            gate.enter(ids.ExchangeId(6), START)


class TestRamp:
    """A cold upstream gets slowly more."""

    def admitted(self, gate: gates.Gate, seconds: float) -> list[float]:
        """Return when requests pass that are done at once."""
        found = []
        now = START
        number = 0
        while now < START + seconds:
            opens_at = gate.opens_at(now)
            if opens_at > now:
                now = ids.Instant(now + 0.001)
                continue
            number += 1
            gate.enter(ids.ExchangeId(number), now)
            gate.leave(ids.ExchangeId(number), True, now)
            found.append(now - START)
        return found

    def test_rate_grows(self) -> None:
        """In each tenth of a second at most the ramp's rate passes."""
        gate = make()
        gate.start_ramp(START)
        found = self.admitted(gate, 4.9)
        for tenth in range(48):
            start, end = tenth / 10, tenth / 10 + 0.1
            passed = sum(1 for at in found if start <= at < end)
            allowed = (10 + (end / 5) * 490) * 0.1 + 1
            assert passed <= allowed
        assert len(found) > 1000

    def test_concurrency_grows(self) -> None:
        """One request runs at the start and all slots at the end."""
        gate = make()
        gate.start_ramp(START)
        gate.enter(ids.ExchangeId(1), START)
        assert gate.opens_at(ids.Instant(START + 0.5)) == gates.NEVER
        later = ids.Instant(START + 5.0)
        assert gate.opens_at(later) == later
        assert gate.ramp is None

    def test_again(self) -> None:
        """A second cold start begins the ramp anew."""
        gate = make()
        gate.start_ramp(START)
        later = ids.Instant(START + 4.0)
        gate.opens_at(later)
        gate.start_ramp(later)
        gate.enter(ids.ExchangeId(1), later)
        assert gate.opens_at(ids.Instant(later + 0.01)) == gates.NEVER


class TestExpected:
    """Slow upstreams are recognised while they are slow."""

    def test_age_counts(self) -> None:
        """A request that does not end makes the gate look slow."""
        gate = make()
        gate.enter(ids.ExchangeId(1), START)
        assert gate.expected(0.01, ids.Instant(START + 0.2)) >= 0.2

    def test_memory_fades(self) -> None:
        """A slow measurement is forgotten after a while."""
        gate = make()
        gate.enter(ids.ExchangeId(1), START)
        done = ids.Instant(START + 1.0)
        gate.leave(ids.ExchangeId(1), True, done)
        assert gate.expected(0.01, done) > 0.9
        later = ids.Instant(done + CONFIG.latency_memory)
        assert gate.expected(0.01, later) == 0.01
