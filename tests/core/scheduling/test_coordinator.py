"""Tests of the decisions about requests, with a virtual clock."""

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world as worlds

FAILED = errors.UpstreamFailed("reset", outcome=states.Outcome.UNKNOWN)
REFUSED = errors.UpstreamRefused("full")
Result = state.AttemptResult


class TestAdmission:
    """Who is let in."""

    def test_known_key_is_sent(self) -> None:
        """A request with a known key goes to an upstream."""
        world = worlds.world(worlds.upstream("u1"))
        assert world.sent_to(world.request()) == ["u1"]

    def test_unknown_key(self) -> None:
        """A request with an unknown key is refused with 401."""
        world = worlds.world(worlds.upstream("u1"))
        exchange = world.request(key_digest=ids.KeyDigest("other"))
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.status == 401

    def test_no_configuration(self) -> None:
        """Without a configuration the answer is 503, not 404."""
        world = worlds.World(
            core=worlds.coordinator.SchedulingCoordinator(worlds.settings_of())
        )
        refusal = world.refusal(world.request())
        assert refusal is not None
        assert isinstance(refusal.error, errors.StaleInstance)

    def test_unconfirmed_configuration(self) -> None:
        """Past the longest age a key may have been withdrawn."""
        world = worlds.world(worlds.upstream("u1"))
        world.now = ids.Instant(world.now + 4.3)
        assert world.sent_to(world.request()) == ["u1"]
        world.now = ids.Instant(world.now + 0.2)
        refusal = world.refusal(world.request())
        assert refusal is not None
        assert isinstance(refusal.error, errors.StaleInstance)
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_older_configuration_changes_nothing(self) -> None:
        """A version that is not newer is ignored."""
        world = worlds.world(worlds.upstream("u1"))
        older = worlds.configuration(version=1, routes=())
        world.run(scheduling.ConfigurationChanged(configuration=older))
        assert world.sent_to(world.request()) == ["u1"]


class TestRates:
    """Tokens that are borrowed from the leading instance."""

    def world(self) -> worlds.World:
        """Return a core whose workspace has a rate."""
        config = worlds.configuration(workspaces=(worlds.workspace(20.0),))
        return worlds.world(worlds.upstream("u1"), config=config)

    def lend(self, world: worlds.World, tokens: int, wait: float) -> None:
        """Answer a borrowing."""
        world.run(
            quota.TokenAllocation(
                workspace=worlds.ONE, tokens=tokens, wait=wait
            )
        )

    def test_waits_for_a_token(self) -> None:
        """A request without a token in stock is sent once one is lent."""
        world = self.world()
        exchange = world.request()
        assert not world.sent_to(exchange)
        assert world.borrowings()
        self.lend(world, 1, 0.0)
        assert world.sent_to(exchange) == ["u1"]

    def test_no_token(self) -> None:
        """Without a token the answer is 429 with the time to wait."""
        world = self.world()
        exchange = world.request()
        self.lend(world, 0, 0.4)
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.status == 429
        assert refusal.error.retry_after == pytest.approx(0.4)

    def test_over_is_refused_at_once(self) -> None:
        """While the rate is known to be used up, nothing is asked."""
        world = self.world()
        world.request()
        self.lend(world, 0, 0.4)
        asked = len(world.borrowings())
        assert world.refusal(world.request()) is not None
        assert len(world.borrowings()) == asked

    def test_leader_is_silent(self) -> None:
        """A small part of the rate is used without the leader."""
        world = self.world()
        names = tuple(ids.InstanceId(f"i{n}") for n in range(8))
        world.run(scheduling.InstancesChanged(instances=names))
        first = world.request()
        second = world.request()
        world.advance(0.2)
        assert world.sent_to(first) == ["u1"]
        assert world.refusal(second) is not None

    def test_token_of_a_refused_request_is_kept(self) -> None:
        """What provably did not run gives its token back."""
        world = self.world()
        world.register()
        exchange = world.request()
        self.lend(world, 1, 0.0)
        assert world.refusal(exchange) is not None
        world.register(worlds.upstream("u1"))
        assert world.sent_to(world.request()) == ["u1"]


class TestPlaces:
    """Which upstreams get work."""

    def test_draining_upstream(self) -> None:
        """A draining upstream gets nothing, not even what waited."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        for _ in range(4):
            world.request()
        sent = len(world.effects)
        world.register(
            worlds.upstream("u1", slots=1, is_draining=True),
            worlds.upstream("u2", slots=1),
        )
        later = [
            one.registration.id
            for one in world.effects[sent:]
            if isinstance(one, scheduling.SendUpstream)
        ]
        assert later
        assert set(later) == {"u2"}

    def test_evacuated_data_centre(self) -> None:
        """An evacuated data centre gets nothing until it is back."""
        other = ids.DataCentreId("b")
        world = worlds.world(
            worlds.upstream("u1"),
            worlds.upstream("u2", data_centre=other),
        )
        own = frozenset({ids.DataCentreId("a")})
        world.run(upstream_events.EvacuationsChanged(data_centres=own))
        assert world.sent_to(world.request()) == ["u2"]

    def test_no_upstream_is_refused_at_once(self) -> None:
        """Nothing waits when nobody could serve it."""
        world = worlds.world()
        refusal = world.refusal(world.request())
        assert refusal is not None
        assert isinstance(refusal.error, errors.NoUpstream)
        assert refusal.error.retry_after > 0

    def test_cold_upstream_gets_its_rate_in_sum(self) -> None:
        """Eight instances together keep to what a cold upstream bears."""
        names = tuple(ids.InstanceId(f"i{n}") for n in range(8))
        sent = 0
        for name in names:
            core = worlds.coordinator.SchedulingCoordinator(
                worlds.settings_of(name)
            )
            world = worlds.World(core=core)
            world.run(
                scheduling.ConfigurationChanged(
                    configuration=worlds.configuration()
                )
            )
            world.confirm()
            world.run(scheduling.InstancesChanged(instances=names))
            world.register(
                worlds.upstream("u1", slots=50, warmup_left_seconds=3.0)
            )
            for _ in range(20):
                world.request()
                world.advance(0.05)
            sent += sum(
                isinstance(one, scheduling.SendUpstream)
                for one in world.effects
            )
        assert 1 <= sent <= 6.0 * 1.5 + 5

    def test_sharded_service(self) -> None:
        """A keyed request goes to the holder of its shard key."""
        holder = worlds.upstream("u2", of="archive")
        world = worlds.world(worlds.upstream("u1", of="archive"), holder)
        world.run(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(holder.incarnation, "u2")
            )
        )
        exchange = world.request("/old/1", shard_key=ids.ShardKey(7))
        assert world.sent_to(exchange) == ["u2"]

    def test_restarted_holder_is_another(self) -> None:
        """An upstream that started again holds nothing."""
        holder = worlds.upstream("u1", of="archive", started_at_ms=1)
        world = worlds.world(holder)
        world.run(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(holder.incarnation, "u1")
            )
        )
        world.register(worlds.upstream("u1", of="archive", started_at_ms=2))
        exchange = world.request("/old/1", shard_key=ids.ShardKey(7))
        world.advance(1.0)
        assert not world.sent_to(exchange)
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_moving_range_is_awaited(self) -> None:
        """A request waits for a range that is about to be granted."""
        holder = worlds.upstream("u1", of="archive")
        world = worlds.world(holder)
        moving = worlds.plan(holder.incarnation, "u1", is_settled=False)
        world.run(scheduling.AssignmentsChanged(plan=moving))
        exchange = world.request("/old/1", shard_key=ids.ShardKey(7))
        assert not world.sent_to(exchange)
        world.now = ids.Instant(world.now + 0.05)
        world.run(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(holder.incarnation, "u1")
            )
        )
        assert world.sent_to(exchange) == ["u1"]


class TestQueue:
    """What waits, in which order, and what is turned away."""

    def test_waits_for_room(self) -> None:
        """A request waits here, not at a full upstream."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        first = world.request()
        second = world.request()
        third = world.request()
        assert world.sent_to(second) == ["u1"]
        assert not world.sent_to(third)
        world.finish(first, answered=True)
        assert world.sent_to(third) == ["u1"]

    def test_urgent_goes_first(self) -> None:
        """The more urgent of two waiting requests is sent first."""
        routes = (
            worlds.route("read", "letters", priority=2),
            worlds.route("urgent", "letters", priority=0),
        )
        config = worlds.configuration(routes=routes)
        world = worlds.world(worlds.upstream("u1", slots=1), config=config)
        first = world.request()
        world.request()
        patient = world.request()
        urgent = world.request("/urgent/1")
        world.finish(first, answered=True)
        assert world.sent_to(urgent) == ["u1"]
        assert not world.sent_to(patient)

    def test_hopeless_wait_is_refused_at_once(self) -> None:
        """A request whose turn would come too late does not wait."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        arrived = [world.request() for _ in range(12)]
        refused = [one for one in arrived if world.refusal(one)]
        assert refused
        refusal = world.refusal(refused[0])
        assert refusal is not None
        assert refusal.error.status == 503
        assert refusal.error.retry_after > 0

    def test_nothing_is_held_to_its_deadline(self) -> None:
        """What waited for half of its time is refused, not run."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        for _ in range(2):
            world.request()
        waiting = world.request()
        world.advance(1.1)
        refusal = world.refusal(waiting)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_route_timeout(self) -> None:
        """At the route's time the caller is told, and the work stopped."""
        world = worlds.world(worlds.upstream("u1"))
        exchange = world.request()
        world.advance(2.01)
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.status == 504
        assert refusal.error.outcome is states.Outcome.UNKNOWN
        assert scheduling.CancelAttempt(exchange=exchange) in world.effects


class TestRepeats:
    """Which requests are sent once more."""

    def two(self) -> worlds.World:
        """Return a core with two upstreams."""
        return worlds.world(worlds.upstream("u1"), worlds.upstream("u2"))

    def test_safe_request_after_failure(self) -> None:
        """A safe request goes to another upstream."""
        world = self.two()
        exchange = world.request()
        world.finish(exchange, Result.FAILED, error=FAILED)
        assert sorted(world.sent_to(exchange)) == ["u1", "u2"]

    def test_unsafe_request_after_failure(self) -> None:
        """An unsafe request that may have run ends as unknown."""
        world = self.two()
        exchange = world.request("/order/1")
        world.finish(exchange, Result.FAILED, error=FAILED)
        assert len(world.sent_to(exchange)) == 1
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.UNKNOWN

    def test_unsafe_request_that_did_not_run(self) -> None:
        """An unsafe request that was refused goes to another upstream."""
        world = self.two()
        exchange = world.request("/order/1")
        world.finish(exchange, Result.DECLINED, error=REFUSED)
        assert sorted(world.sent_to(exchange)) == ["u1", "u2"]

    def test_attempts_are_bounded(self) -> None:
        """A safe request runs on two upstreams at most."""
        world = worlds.world(*(worlds.upstream(f"u{n}") for n in range(4)))
        exchange = world.request()
        world.finish(exchange, Result.FAILED, error=FAILED)
        world.finish(exchange, Result.FAILED, error=FAILED)
        assert len(world.sent_to(exchange)) == 2
        assert world.refusal(exchange) is not None

    def test_earlier_run_makes_a_refusal_unknown(self) -> None:
        """A refusal after a run that failed does not say "not run"."""
        world = self.two()
        exchange = world.request()
        world.finish(exchange, Result.FAILED, error=FAILED)
        world.register()
        world.finish(exchange, Result.DECLINED, error=REFUSED)
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.UNKNOWN

    def test_budget(self) -> None:
        """Repeats keep to a share of the requests and a fixed part."""
        world = worlds.world(
            *(worlds.upstream(f"u{n}", slots=1000) for n in range(4))
        )
        instances = tuple(ids.InstanceId(f"i{n}") for n in range(8))
        world.run(scheduling.InstancesChanged(instances=instances))
        repeats = 0
        for _ in range(100):
            exchange = world.request()
            world.finish(exchange, Result.FAILED, error=FAILED)
            repeats += len(world.sent_to(exchange)) - 1
        assert 0 < repeats <= 0.2 * 100 + 56 / 8


class TestCallerGone:
    """What happens when the caller leaves."""

    def test_attempt_is_cancelled(self) -> None:
        """The work of a caller that left is stopped."""
        world = worlds.world(worlds.upstream("u1"))
        exchange = world.request()
        world.run(
            scheduling.ExchangeFinished(exchange=exchange, cancelled=True)
        )
        assert scheduling.CancelAttempt(exchange=exchange) in world.effects

    def test_waiting_request_is_forgotten(self) -> None:
        """A waiting request of a caller that left is never sent."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        first = world.request()
        world.request()
        waiting = world.request()
        world.run(
            scheduling.ExchangeFinished(exchange=waiting, cancelled=True)
        )
        world.finish(first, answered=True)
        assert not world.sent_to(waiting)


class TestLoadReports:
    """What upstreams say of their load."""

    def test_busy_upstream_is_avoided(self) -> None:
        """An upstream that others keep busy gets less."""
        world = worlds.world(
            worlds.upstream("u1", slots=6), worlds.upstream("u2", slots=6)
        )
        first = world.request()
        busy = world.sent_to(first)[0]
        report = upstreams.LoadReport(running=6, waiting=6, slots=6)
        world.now = ids.Instant(world.now + 0.1)
        world.finish(first, answered=True, report=report)
        for _ in range(3):
            assert world.sent_to(world.request()) != [busy]
