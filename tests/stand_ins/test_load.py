"""Tests of what an upstream stand-in bears."""

from stand_ins import load


class TestSlots:
    """Requests above the slots are shed."""

    def test_shed(self) -> None:
        """The request after the last slot is refused."""
        model = load.LoadModel(load.Faults(slots=2), 1, 0.0)
        model.in_flight = 2
        assert model.arrive(0.0) is load.Verdict.SHED


class TestColdStart:
    """A cold upstream topples above what it can bear."""

    def test_topples_and_recovers(self) -> None:
        """Too many requests fail, and later ones run again."""
        faults = load.Faults(cold_seconds=10.0, cold_rate=10.0)
        model = load.LoadModel(faults, 1, 0.0)
        verdicts = [model.arrive(0.001 * number) for number in range(4)]
        assert verdicts[0] is load.Verdict.RUN
        assert verdicts[-1] is load.Verdict.FAILED
        assert model.arrive(3.0) is load.Verdict.RUN

    def test_ramp(self) -> None:
        """What it bears grows until it is warm."""
        faults = load.Faults(cold_seconds=10.0)
        model = load.LoadModel(faults, 1, 0.0)
        rates = [model.bearable_rate(at) for at in (0.0, 5.0, 10.0)]
        assert rates == sorted(rates)
        assert rates[0] == faults.cold_rate


class TestServiceTimes:
    """Service times follow the seed and the straggler window."""

    def test_seeded(self) -> None:
        """The same seed draws the same times."""
        faults = load.Faults(
            delay=0.01, distribution=load.Distribution.LOGNORMAL
        )
        drawn = [
            [model.service_time(0.0) for _ in range(5)]
            for model in (
                load.LoadModel(faults, 7, 0.0),
                load.LoadModel(faults, 7, 0.0),
            )
        ]
        assert drawn[0] == drawn[1]

    def test_straggler_window(self) -> None:
        """Only the window is slow."""
        faults = load.Faults(delay=0.01, straggler=True)
        model = load.LoadModel(faults, 1, 0.0)
        assert model.service_time(0.1) > model.service_time(0.3)
