"""Tests of dragonflyshelf.core.promises."""

import pytest

from dragonflyshelf.codec import ini
from dragonflyshelf.core import promises
from dragonflyshelf.core.relay import watch_selector
from dragonflyshelf.core import settings

REQUIRED_TEXT = "[instance]\nname = one\ndata_centre = a\n"
HOPS_SECONDS = (
    watch_selector.RELAY_DELAY_SECONDS + watch_selector.DIRECT_READ_SECONDS
)


def parse(**values: float) -> settings.Settings:
    """Return the settings of a file that makes promises."""
    lines = [f"{option} = {value}\n" for option, value in values.items()]
    return ini.parse("x.ini", REQUIRED_TEXT + "[promises]\n" + "".join(lines))


def find_problem(option: str, value: float) -> str:
    """Return the only problem of a file with one promise."""
    with pytest.raises(ini.InvalidSettingsFile) as raised:
        parse(**{option: value})
    (problem,) = raised.value.problems
    return str(problem)


class TestPromisesOfADeployment:
    """A deployment's promises decide, whatever the defaults are."""

    @pytest.mark.parametrize("promised", [1.2, 1.5, 2.0, 2.5, 4.0])
    def test_change_without_a_sound_leader(self, promised: float) -> None:
        """CONFIG and DRAIN: the sum of all delays is within the promise."""
        config = parse(apply=promised, drain=promised + 1)
        assert config.leadership.lease + HOPS_SECONDS <= promised + 1e-9
        renew_interval = config.leadership.renew_interval
        assert 2 * renew_interval <= config.leadership.lease

    @pytest.mark.parametrize("promised", [2.0, 2.5, 10.0])
    def test_lease_of_todays_sites(self, promised: float) -> None:
        """A longer promise does not lengthen the lease."""
        config = parse(apply=promised, drain=promised)
        assert config.leadership == settings.LeadershipSettings()

    @pytest.mark.parametrize("promised", [2.0, 5.0, 60.0])
    def test_withdrawn_key(self, promised: float) -> None:
        """Requests are refused before a withdrawn key may still be used."""
        freshness = parse(revoke=promised).freshness
        assert freshness.longest_age < promised
        assert freshness.ready_age <= freshness.longest_age

    @pytest.mark.parametrize("promised", [1.5, 3.0])
    def test_instance_without_store(self, promised: float) -> None:
        """An instance that can't reach the store is not ready in time."""
        assert parse(contact=promised).freshness.ready_age <= promised

    @pytest.mark.parametrize("promised", [1.0, 6.0])
    def test_shutdown(self, promised: float) -> None:
        """Requests are cut before the process is killed."""
        shutdown = parse(grace=promised).shutdown
        assert shutdown.settle < shutdown.deadline < promised

    @pytest.mark.parametrize("promised", [3.0, 5.0, 20.0])
    def test_rolled_back_version(self, promised: float) -> None:
        """An instance without the newest plan stops in time."""
        term = parse(rollback=promised).rollouts.term
        assert term + promises.JUDGEMENT_SECONDS <= promised
        assert term <= settings.RolloutSettings().term


class TestPromisesThatCannotBeKept:
    """They are reported at the option, in place of being broken later."""

    @pytest.mark.parametrize(
        "option",
        ["apply", "contact", "drain", "grace", "revoke", "rollback"],
    )
    def test_too_short(self, option: str) -> None:
        """The least value is named."""
        problem = find_problem(option, 0.5)
        assert f"[promises] {option}: 0.5 is less than" in problem

    def test_least_change(self) -> None:
        """The least time of a change is accepted."""
        config = parse(apply=promises.MIN_CHANGE_SECONDS)
        lease = config.leadership.lease
        assert lease == pytest.approx(promises.MIN_LEASE_SECONDS)
