"""Tests of request scheduling with a virtual clock."""

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
DECLINED = errors.UpstreamDeclined("full")
Result = state.AttemptResult


class TestAdmission:
    """Admission by caller key and configuration."""

    def test_known_key_is_sent(self) -> None:
        """A request with a known key is sent to an upstream."""
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
        """Without a configuration the response is 503, not 404."""
        world = worlds.World(
            core=worlds.coordinator.SchedulingCoordinator(
                worlds.make_settings()
            )
        )
        refusal = world.refusal(world.request())
        assert refusal is not None
        assert isinstance(refusal.error, errors.StaleInstance)

    def test_unconfirmed_configuration(self) -> None:
        """Past the longest age requests are refused; keys may be outdated."""
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
        world.handle(scheduling.ConfigurationChanged(configuration=older))
        assert world.sent_to(world.request()) == ["u1"]


class TestRateLimits:
    """Rate limits with tokens requested from the leader."""

    def world(self) -> worlds.World:
        """Return a world whose workspace has a rate limit."""
        config = worlds.configuration(workspaces=(worlds.workspace(20.0),))
        return worlds.world(worlds.upstream("u1"), config=config)

    def allocate(self, world: worlds.World, tokens: int, wait: float) -> None:
        """Send a token allocation of the leader."""
        world.handle(
            quota.TokenAllocation(
                workspace=worlds.WORKSPACE, tokens=tokens, wait=wait
            )
        )

    def test_waits_for_a_token(self) -> None:
        """A request without a cached token is sent after an allocation."""
        world = self.world()
        exchange = world.request()
        assert not world.sent_to(exchange)
        assert world.token_requests()
        self.allocate(world, 1, 0.0)
        assert world.sent_to(exchange) == ["u1"]

    def test_no_token(self) -> None:
        """Without a token the response is 429 with the time to wait."""
        world = self.world()
        exchange = world.request()
        self.allocate(world, 0, 0.4)
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.status == 429
        assert refusal.error.retry_after == pytest.approx(0.4)

    def test_exhausted_rate_is_refused_at_once(self) -> None:
        """While the rate is exhausted, no token is requested."""
        world = self.world()
        world.request()
        self.allocate(world, 0, 0.4)
        request_count = len(world.token_requests())
        assert world.refusal(world.request()) is not None
        assert len(world.token_requests()) == request_count

    def test_leader_does_not_respond(self) -> None:
        """The fallback share is used while the leader does not respond."""
        world = self.world()
        names = tuple(ids.InstanceId(f"i{n}") for n in range(8))
        world.handle(scheduling.InstancesChanged(instances=names))
        first = world.request()
        second = world.request()
        world.advance(0.2)
        assert world.sent_to(first) == ["u1"]
        assert world.refusal(second) is not None

    def test_token_of_a_refused_request_is_refunded(self) -> None:
        """The token of a request that did not run is refunded."""
        world = self.world()
        world.register()
        exchange = world.request()
        self.allocate(world, 1, 0.0)
        assert world.refusal(exchange) is not None
        world.register(worlds.upstream("u1"))
        assert world.sent_to(world.request()) == ["u1"]


class TestUpstreamSelection:
    """Selection of upstreams."""

    def test_draining_upstream(self) -> None:
        """A draining upstream receives no requests, not even queued ones."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        for _ in range(4):
            world.request()
        effect_count = len(world.effects)
        world.register(
            worlds.upstream("u1", slots=1, is_draining=True),
            worlds.upstream("u2", slots=1),
        )
        later_upstreams = [
            effect.registration.id
            for effect in world.effects[effect_count:]
            if isinstance(effect, scheduling.SendUpstream)
        ]
        assert later_upstreams
        assert set(later_upstreams) == {"u2"}

    def test_evacuated_data_centre(self) -> None:
        """Upstreams of an evacuated data centre receive no requests."""
        other = ids.DataCentreId("b")
        world = worlds.world(
            worlds.upstream("u1"),
            worlds.upstream("u2", data_centre=other),
        )
        own = frozenset({ids.DataCentreId("a")})
        world.handle(upstream_events.EvacuationsChanged(data_centres=own))
        assert world.sent_to(world.request()) == ["u2"]

    def test_no_upstream_is_refused_at_once(self) -> None:
        """A request is not queued when its service has no upstream."""
        world = worlds.world()
        refusal = world.refusal(world.request())
        assert refusal is not None
        assert isinstance(refusal.error, errors.NoUpstreamAvailable)
        assert refusal.error.retry_after > 0

    def test_warmup_rate_is_shared_by_all_instances(self) -> None:
        """Eight instances together keep to the rate of a warm-up."""
        names = tuple(ids.InstanceId(f"i{n}") for n in range(8))
        sent = 0
        for name in names:
            scheduler = worlds.coordinator.SchedulingCoordinator(
                worlds.make_settings(name)
            )
            world = worlds.World(core=scheduler)
            world.handle(
                scheduling.ConfigurationChanged(
                    configuration=worlds.configuration()
                )
            )
            world.confirm()
            world.handle(scheduling.InstancesChanged(instances=names))
            world.register(
                worlds.upstream("u1", slots=50, warmup_left_seconds=3.0)
            )
            for _ in range(20):
                world.request()
                world.advance(0.05)
            sent += sum(
                isinstance(effect, scheduling.SendUpstream)
                for effect in world.effects
            )
        assert 1 <= sent <= 6.0 * 1.5 + 5

    def test_sharded_service(self) -> None:
        """A request with a shard key is sent to the holder of the key."""
        holder = worlds.upstream("u2", service_name="archive")
        world = worlds.world(
            worlds.upstream("u1", service_name="archive"), holder
        )
        world.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(holder.incarnation, "u2")
            )
        )
        exchange = world.request("/old/1", shard_key=ids.ShardKey(7))
        assert world.sent_to(exchange) == ["u2"]

    def test_restarted_holder_loses_its_range(self) -> None:
        """An upstream loses its shard ranges when it restarts."""
        holder = worlds.upstream("u1", service_name="archive", started_at_ms=1)
        world = worlds.world(holder)
        world.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(holder.incarnation, "u1")
            )
        )
        world.register(
            worlds.upstream("u1", service_name="archive", started_at_ms=2)
        )
        exchange = world.request("/old/1", shard_key=ids.ShardKey(7))
        world.advance(1.0)
        assert not world.sent_to(exchange)
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_moving_range_is_awaited(self) -> None:
        """A request waits for a range that is being moved."""
        holder = worlds.upstream("u1", service_name="archive")
        world = worlds.world(holder)
        moving = worlds.plan(holder.incarnation, "u1", is_settled=False)
        world.handle(scheduling.AssignmentsChanged(plan=moving))
        exchange = world.request("/old/1", shard_key=ids.ShardKey(7))
        assert not world.sent_to(exchange)
        world.now = ids.Instant(world.now + 0.05)
        world.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(holder.incarnation, "u1")
            )
        )
        assert world.sent_to(exchange) == ["u1"]


class TestQueue:
    """Queueing, its order, and refusals."""

    def test_waits_for_capacity(self) -> None:
        """A request is queued while the upstream has no capacity."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        first = world.request()
        second = world.request()
        third = world.request()
        assert world.sent_to(second) == ["u1"]
        assert not world.sent_to(third)
        world.finish(first, response_started=True)
        assert world.sent_to(third) == ["u1"]

    def test_higher_priority_goes_first(self) -> None:
        """The queued request with the higher priority is sent first."""
        routes = (
            worlds.route("read", "letters", priority=2),
            worlds.route("urgent", "letters", priority=0),
        )
        config = worlds.configuration(routes=routes)
        world = worlds.world(worlds.upstream("u1", slots=1), config=config)
        first = world.request()
        world.request()
        normal = world.request()
        urgent = world.request("/urgent/1")
        world.finish(first, response_started=True)
        assert world.sent_to(urgent) == ["u1"]
        assert not world.sent_to(normal)

    def test_too_long_wait_is_refused_at_once(self) -> None:
        """A request that would wait too long is not queued."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        arrived = [world.request() for _ in range(12)]
        refused = [exchange for exchange in arrived if world.refusal(exchange)]
        assert refused
        refusal = world.refusal(refused[0])
        assert refusal is not None
        assert refusal.error.status == 503
        assert refusal.error.retry_after > 0

    def test_queue_time_is_limited(self) -> None:
        """A request queued for half of its time is refused, not sent."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        for _ in range(2):
            world.request()
        waiting = world.request()
        world.advance(1.1)
        refusal = world.refusal(waiting)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_route_timeout(self) -> None:
        """At the route's timeout the caller gets 504; the attempt ends."""
        world = worlds.world(worlds.upstream("u1"))
        exchange = world.request()
        world.advance(2.01)
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.status == 504
        assert refusal.error.outcome is states.Outcome.UNKNOWN
        assert scheduling.CancelAttempt(exchange=exchange) in world.effects


class TestRetries:
    """Retries of failed attempts."""

    def two_upstreams(self) -> worlds.World:
        """Return a world with two upstreams."""
        return worlds.world(worlds.upstream("u1"), worlds.upstream("u2"))

    def test_idempotent_request_after_failure(self) -> None:
        """An idempotent request is retried on another upstream."""
        world = self.two_upstreams()
        exchange = world.request()
        world.finish(exchange, Result.FAILED, error=FAILED)
        assert sorted(world.sent_to(exchange)) == ["u1", "u2"]

    def test_non_idempotent_request_after_failure(self) -> None:
        """A non-idempotent request that may have run is not retried."""
        world = self.two_upstreams()
        exchange = world.request("/order/1")
        world.finish(exchange, Result.FAILED, error=FAILED)
        assert len(world.sent_to(exchange)) == 1
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.UNKNOWN

    def test_non_idempotent_request_that_did_not_run(self) -> None:
        """A non-idempotent request that was declined is retried."""
        world = self.two_upstreams()
        exchange = world.request("/order/1")
        world.finish(exchange, Result.DECLINED, error=DECLINED)
        assert sorted(world.sent_to(exchange)) == ["u1", "u2"]

    def test_attempts_are_limited(self) -> None:
        """An idempotent request runs on at most two upstreams."""
        world = worlds.world(*(worlds.upstream(f"u{n}") for n in range(4)))
        exchange = world.request()
        world.finish(exchange, Result.FAILED, error=FAILED)
        world.finish(exchange, Result.FAILED, error=FAILED)
        assert len(world.sent_to(exchange)) == 2
        assert world.refusal(exchange) is not None

    def test_earlier_run_makes_a_refusal_unknown(self) -> None:
        """A decline after a failed run gives the outcome unknown."""
        world = self.two_upstreams()
        exchange = world.request()
        world.finish(exchange, Result.FAILED, error=FAILED)
        world.register()
        world.finish(exchange, Result.DECLINED, error=DECLINED)
        refusal = world.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.UNKNOWN

    def test_budget(self) -> None:
        """Retries keep to a share of the requests plus the reserve."""
        world = worlds.world(
            *(worlds.upstream(f"u{n}", slots=1000) for n in range(4))
        )
        instances = tuple(ids.InstanceId(f"i{n}") for n in range(8))
        world.handle(scheduling.InstancesChanged(instances=instances))
        retry_count = 0
        for _ in range(100):
            exchange = world.request()
            world.finish(exchange, Result.FAILED, error=FAILED)
            retry_count += len(world.sent_to(exchange)) - 1
        assert 0 < retry_count <= 0.2 * 100 + 56 / 8


class TestCallerDisconnect:
    """Disconnection of the caller."""

    def test_attempt_is_cancelled(self) -> None:
        """The attempt is cancelled when its caller disconnects."""
        world = worlds.world(worlds.upstream("u1"))
        exchange = world.request()
        world.handle(
            scheduling.ExchangeFinished(exchange=exchange, cancelled=True)
        )
        assert scheduling.CancelAttempt(exchange=exchange) in world.effects

    def test_queued_request_is_removed(self) -> None:
        """A queued request is removed when its caller disconnects."""
        world = worlds.world(worlds.upstream("u1", slots=1))
        first = world.request()
        world.request()
        waiting = world.request()
        world.handle(
            scheduling.ExchangeFinished(exchange=waiting, cancelled=True)
        )
        world.finish(first, response_started=True)
        assert not world.sent_to(waiting)


class TestLoadReports:
    """Load reports of upstreams."""

    def test_busy_upstream_is_avoided(self) -> None:
        """An upstream that reports a high load receives fewer requests."""
        world = worlds.world(
            worlds.upstream("u1", slots=6), worlds.upstream("u2", slots=6)
        )
        first = world.request()
        busy = world.sent_to(first)[0]
        report = upstreams.LoadReport(running=6, waiting=6, slots=6)
        world.now = ids.Instant(world.now + 0.1)
        world.finish(first, response_started=True, report=report)
        for _ in range(3):
            assert world.sent_to(world.request()) != [busy]
