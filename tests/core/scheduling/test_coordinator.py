"""Tests of request scheduling with a virtual clock."""

import dataclasses

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.quota import messages as quota
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core.scheduling import retries
from dragonflyshelf.core import settings
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
        harness = worlds.make_harness(worlds.upstream("u1"))
        assert harness.sent_to(harness.request()) == ["u1"]

    def test_unknown_key(self) -> None:
        """A request with an unknown key is refused with 401."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        exchange = harness.request(key_digest=ids.KeyDigest("other"))
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.status == 401

    def test_no_configuration(self) -> None:
        """Without a configuration the response is 503, not 404."""
        harness = worlds.SchedulerHarness(
            core=worlds.coordinator.SchedulingCoordinator(
                worlds.make_settings()
            )
        )
        refusal = harness.refusal(harness.request())
        assert refusal is not None
        assert isinstance(refusal.error, errors.StaleInstance)

    def test_unconfirmed_configuration(self) -> None:
        """Past the longest age requests are refused; keys may be outdated."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        harness.now = ids.Instant(harness.now + 4.3)
        assert harness.sent_to(harness.request()) == ["u1"]
        harness.now = ids.Instant(harness.now + 0.2)
        refusal = harness.refusal(harness.request())
        assert refusal is not None
        assert isinstance(refusal.error, errors.StaleInstance)
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_older_configuration_changes_nothing(self) -> None:
        """A version that is not newer is ignored."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        older = worlds.configuration(version=1, routes=())
        harness.handle(scheduling.ConfigurationChanged(configuration=older))
        assert harness.sent_to(harness.request()) == ["u1"]


class TestRateLimits:
    """Rate limits with tokens requested from the leader."""

    def make_harness(self) -> worlds.SchedulerHarness:
        """Return a harness whose workspace has a rate limit."""
        config = worlds.configuration(workspaces=(worlds.workspace(20.0),))
        return worlds.make_harness(worlds.upstream("u1"), config=config)

    def allocate(
        self, harness: worlds.SchedulerHarness, tokens: int, wait: float
    ) -> None:
        """Send a token allocation of the leader."""
        harness.handle(
            quota.TokenAllocation(
                workspace=worlds.WORKSPACE, tokens=tokens, wait=wait
            )
        )

    def test_waits_for_a_token(self) -> None:
        """A request without a cached token is sent after an allocation."""
        harness = self.make_harness()
        exchange = harness.request()
        assert not harness.sent_to(exchange)
        assert harness.token_requests()
        self.allocate(harness, 1, 0.0)
        assert harness.sent_to(exchange) == ["u1"]

    def test_no_token(self) -> None:
        """Without a token the response is 429 with the time to wait."""
        harness = self.make_harness()
        exchange = harness.request()
        self.allocate(harness, 0, 0.4)
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.status == 429
        assert refusal.error.retry_after == pytest.approx(0.4)

    def test_exhausted_rate_is_refused_at_once(self) -> None:
        """While the rate is exhausted, no token is requested."""
        harness = self.make_harness()
        harness.request()
        self.allocate(harness, 0, 0.4)
        request_count = len(harness.token_requests())
        assert harness.refusal(harness.request()) is not None
        assert len(harness.token_requests()) == request_count

    def test_requests_at_once(self) -> None:
        """Requests that wait on after an allocation are covered next."""
        harness = self.make_harness()
        exchanges = [harness.request() for _ in range(3)]
        self.allocate(harness, 1, 0.0)
        assert harness.sent_to(exchanges[0]) == ["u1"]
        assert harness.refusal(exchanges[1]) is None
        assert harness.token_requests()[-1].tokens >= 2
        self.allocate(harness, 1, 0.0)
        assert harness.sent_to(exchanges[1]) == ["u1"]
        self.allocate(harness, 0, 0.4)
        refusal = harness.refusal(exchanges[2])
        assert refusal is not None and refusal.error.status == 429

    def change_workspaces(
        self,
        harness: worlds.SchedulerHarness,
        *workspaces: routing.Workspace,
    ) -> None:
        """Put a newer version with other workspaces in force."""
        harness.handle(
            scheduling.ConfigurationChanged(
                configuration=worlds.configuration(
                    version=2, workspaces=workspaces
                )
            )
        )

    def test_removed_workspace(self) -> None:
        """Its waiting requests are refused, not left to a KeyError."""
        harness = self.make_harness()
        exchanges = [harness.request() for _ in range(2)]
        self.change_workspaces(harness)
        for exchange in exchanges:
            refusal = harness.refusal(exchange)
            assert refusal is not None
            assert isinstance(refusal.error, errors.CallerKeyRefused)
            assert refusal.error.outcome is states.Outcome.NOT_RUN
        self.allocate(harness, 2, 0.0)
        harness.advance(0.5)
        assert not harness.sent_to(exchanges[0])

    def test_removed_limit(self) -> None:
        """Requests that wait for tokens are sent when the rate is gone."""
        harness = self.make_harness()
        exchange = harness.request()
        self.change_workspaces(harness, worlds.workspace(0.0))
        assert harness.sent_to(exchange) == ["u1"]

    def test_leader_does_not_respond(self) -> None:
        """The fallback share is used while the leader does not respond."""
        harness = self.make_harness()
        names = tuple(ids.InstanceId(f"i{n}") for n in range(8))
        harness.handle(scheduling.InstancesChanged(instances=names))
        first = harness.request()
        second = harness.request()
        harness.advance(0.2)
        assert harness.sent_to(first) == ["u1"]
        assert harness.refusal(second) is not None

    def test_token_of_a_refused_request_is_refunded(self) -> None:
        """The token of a request that did not run is refunded."""
        harness = self.make_harness()
        harness.register()
        exchange = harness.request()
        self.allocate(harness, 1, 0.0)
        assert harness.refusal(exchange) is not None
        harness.register(worlds.upstream("u1"))
        assert harness.sent_to(harness.request()) == ["u1"]


class TestUpstreamSelection:
    """Selection of upstreams."""

    def test_draining_upstream(self) -> None:
        """A draining upstream receives no requests, not even queued ones."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        for _ in range(4):
            harness.request()
        effect_count = len(harness.effects)
        harness.register(
            worlds.upstream("u1", slots=1, is_draining=True),
            worlds.upstream("u2", slots=1),
        )
        later_upstreams = [
            effect.registration.id
            for effect in harness.effects[effect_count:]
            if isinstance(effect, scheduling.SendUpstream)
        ]
        assert later_upstreams
        assert set(later_upstreams) == {"u2"}

    def test_unsent_request_of_a_leaving_upstream(self) -> None:
        """It goes to another upstream, though no retry is allowed."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        config = dataclasses.replace(
            worlds.make_settings(),
            retries=settings.RetrySettings(share=0.0, reserve=0.0),
        )
        harness.handle(settings.SettingsChanged(settings=config))
        exchange = harness.request("/order/1")
        harness.register(
            worlds.upstream("u1", is_draining=True), worlds.upstream("u2")
        )
        harness.finish(exchange, Result.UNSENT, error=DECLINED)
        assert harness.sent_to(exchange) == ["u1", "u2"]

    def test_unsent_request_without_another_upstream(self) -> None:
        """It is refused at once, as a request that has not run."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        exchange = harness.request("/order/1")
        harness.register(worlds.upstream("u1", is_draining=True))
        harness.finish(exchange, Result.UNSENT, error=DECLINED)
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_evacuated_data_centre(self) -> None:
        """Upstreams of an evacuated data centre receive no requests."""
        other = ids.DataCentreId("b")
        harness = worlds.make_harness(
            worlds.upstream("u1"),
            worlds.upstream("u2", data_centre=other),
        )
        own = frozenset({ids.DataCentreId("a")})
        harness.handle(upstream_events.EvacuationsChanged(data_centres=own))
        assert harness.sent_to(harness.request()) == ["u2"]

    def test_no_upstream_is_refused_at_once(self) -> None:
        """A request is not queued when its service has no upstream."""
        harness = worlds.make_harness()
        refusal = harness.refusal(harness.request())
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
            harness = worlds.SchedulerHarness(core=scheduler)
            harness.handle(
                scheduling.ConfigurationChanged(
                    configuration=worlds.configuration()
                )
            )
            harness.confirm()
            harness.handle(scheduling.InstancesChanged(instances=names))
            harness.register(
                worlds.upstream("u1", slots=50, warmup_left_seconds=3.0)
            )
            for _ in range(20):
                harness.request()
                harness.advance(0.05)
            sent += sum(
                isinstance(effect, scheduling.SendUpstream)
                for effect in harness.effects
            )
        assert 1 <= sent <= 6.0 * 1.5 + 5

    def test_sharded_service(self) -> None:
        """A request with a shard key is sent to the holder of the key."""
        holder = worlds.upstream("u2", service_name="archive")
        harness = worlds.make_harness(
            worlds.upstream("u1", service_name="archive"), holder
        )
        harness.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(holder.incarnation, "u2")
            )
        )
        exchange = harness.request("/old/1", shard_key=ids.ShardKey(7))
        assert harness.sent_to(exchange) == ["u2"]

    def test_restarted_holder_loses_its_range(self) -> None:
        """An upstream loses its shard ranges when it restarts."""
        holder = worlds.upstream("u1", service_name="archive", started_at_ms=1)
        harness = worlds.make_harness(holder)
        harness.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(holder.incarnation, "u1")
            )
        )
        harness.register(
            worlds.upstream("u1", service_name="archive", started_at_ms=2)
        )
        exchange = harness.request("/old/1", shard_key=ids.ShardKey(7))
        harness.advance(1.0)
        assert not harness.sent_to(exchange)
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_moving_range_is_awaited(self) -> None:
        """A request waits for a range that is being moved."""
        holder = worlds.upstream("u1", service_name="archive")
        harness = worlds.make_harness(holder)
        moving = worlds.plan(holder.incarnation, "u1", is_settled=False)
        harness.handle(scheduling.AssignmentsChanged(plan=moving))
        exchange = harness.request("/old/1", shard_key=ids.ShardKey(7))
        assert not harness.sent_to(exchange)
        harness.now = ids.Instant(harness.now + 0.05)
        harness.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(holder.incarnation, "u1")
            )
        )
        assert harness.sent_to(exchange) == ["u1"]


class TestQueue:
    """Queueing, its order, and refusals."""

    def test_waits_for_capacity(self) -> None:
        """A request is queued while the upstream has no capacity."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        first = harness.request()
        second = harness.request()
        third = harness.request()
        assert harness.sent_to(second) == ["u1"]
        assert not harness.sent_to(third)
        harness.finish(first, response_started=True)
        assert harness.sent_to(third) == ["u1"]

    def test_higher_priority_goes_first(self) -> None:
        """The queued request with the higher priority is sent first."""
        routes = (
            worlds.route("read", "letters", priority=2),
            worlds.route("urgent", "letters", priority=0),
        )
        config = worlds.configuration(routes=routes)
        harness = worlds.make_harness(
            worlds.upstream("u1", slots=1), config=config
        )
        first = harness.request()
        harness.request()
        normal = harness.request()
        urgent = harness.request("/urgent/1")
        harness.finish(first, response_started=True)
        assert harness.sent_to(urgent) == ["u1"]
        assert not harness.sent_to(normal)

    def test_too_long_wait_is_refused_at_once(self) -> None:
        """A request that would wait too long is not queued."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        arrived = [harness.request() for _ in range(12)]
        refused = [
            exchange for exchange in arrived if harness.refusal(exchange)
        ]
        assert refused
        refusal = harness.refusal(refused[0])
        assert refusal is not None
        assert refusal.error.status == 503
        assert refusal.error.retry_after > 0

    def test_queue_time_is_limited(self) -> None:
        """A request queued for half of its time is refused, not sent."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        for _ in range(2):
            harness.request()
        waiting = harness.request()
        harness.advance(1.1)
        refusal = harness.refusal(waiting)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_route_timeout(self) -> None:
        """At the route's timeout the caller gets 504; the attempt ends."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        exchange = harness.request()
        harness.advance(2.01)
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.status == 504
        assert refusal.error.outcome is states.Outcome.UNKNOWN
        assert scheduling.CancelAttempt(exchange=exchange) in harness.effects


class TestRetries:
    """Retries of failed attempts."""

    def make_harness_with_two_upstreams(self) -> worlds.SchedulerHarness:
        """Return a harness with two upstreams."""
        return worlds.make_harness(
            worlds.upstream("u1"), worlds.upstream("u2")
        )

    def test_idempotent_request_after_failure(self) -> None:
        """An idempotent request is retried on another upstream."""
        harness = self.make_harness_with_two_upstreams()
        exchange = harness.request()
        harness.finish(exchange, Result.FAILED, error=FAILED)
        assert sorted(harness.sent_to(exchange)) == ["u1", "u2"]

    def test_non_idempotent_request_after_failure(self) -> None:
        """A non-idempotent request that may have run is not retried."""
        harness = self.make_harness_with_two_upstreams()
        exchange = harness.request("/order/1")
        harness.finish(exchange, Result.FAILED, error=FAILED)
        assert len(harness.sent_to(exchange)) == 1
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.UNKNOWN

    def test_non_idempotent_request_that_did_not_run(self) -> None:
        """A non-idempotent request that was declined is retried."""
        harness = self.make_harness_with_two_upstreams()
        exchange = harness.request("/order/1")
        harness.finish(exchange, Result.DECLINED, error=DECLINED)
        assert sorted(harness.sent_to(exchange)) == ["u1", "u2"]

    @pytest.mark.parametrize(
        ("path", "is_idempotent"), [("/read/1", True), ("/order/1", False)]
    )
    def test_what_may_run_again(self, path: str, is_idempotent: bool) -> None:
        """An attempt says whether its request may be executed again."""
        harness = self.make_harness_with_two_upstreams()
        exchange = harness.request(path)
        (sent,) = (
            effect
            for effect in harness.effects
            if isinstance(effect, scheduling.SendUpstream)
            and effect.exchange == exchange
        )
        assert sent.is_idempotent is is_idempotent

    def test_attempts_are_limited(self) -> None:
        """An idempotent request runs on at most two upstreams."""
        harness = worlds.make_harness(
            *(worlds.upstream(f"u{n}") for n in range(4))
        )
        exchange = harness.request()
        harness.finish(exchange, Result.FAILED, error=FAILED)
        harness.finish(exchange, Result.FAILED, error=FAILED)
        assert len(harness.sent_to(exchange)) == 2
        assert harness.refusal(exchange) is not None

    def test_earlier_run_makes_a_refusal_unknown(self) -> None:
        """A decline after a failed run gives the outcome unknown."""
        harness = self.make_harness_with_two_upstreams()
        exchange = harness.request()
        harness.finish(exchange, Result.FAILED, error=FAILED)
        harness.register()
        harness.finish(exchange, Result.DECLINED, error=DECLINED)
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.UNKNOWN

    def test_upstream_that_has_ended(self) -> None:
        """Requests were refused within 12 ms, as the budget was used up.

        No connection was opened, so nothing has arrived anywhere.
        """
        harness = worlds.make_harness(
            *(worlds.upstream(f"u{number}") for number in range(4))
        )
        config = dataclasses.replace(
            worlds.make_settings(),
            retries=settings.RetrySettings(share=0.0, reserve=0.0),
        )
        harness.handle(settings.SettingsChanged(settings=config))
        unreachable = errors.UpstreamUnreachable("connection refused")
        exchange = harness.request("/order/1")
        for _ in range(2):
            harness.finish(exchange, Result.UNREACHABLE, error=unreachable)
        tried = harness.sent_to(exchange)
        assert len(set(tried)) == len(tried) == 3
        assert harness.refusal(exchange) is None
        assert harness.sent_to(harness.request())[0] not in tried[:2]

    def test_upstreams_that_have_all_ended(self) -> None:
        """The request is refused after some, as one that has not run."""
        harness = worlds.make_harness(
            *(worlds.upstream(f"u{number}") for number in range(9))
        )
        unreachable = errors.UpstreamUnreachable("connection refused")
        exchange = harness.request("/order/1")
        while harness.refusal(exchange) is None:
            harness.finish(exchange, Result.UNREACHABLE, error=unreachable)
        assert len(harness.sent_to(exchange)) == retries.MAX_ATTEMPT_COUNT
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_budget(self) -> None:
        """Retries keep to a share of the requests plus the reserve."""
        harness = worlds.make_harness(
            *(worlds.upstream(f"u{n}", slots=1000) for n in range(4))
        )
        instances = tuple(ids.InstanceId(f"i{n}") for n in range(8))
        harness.handle(scheduling.InstancesChanged(instances=instances))
        retry_count = 0
        for _ in range(100):
            exchange = harness.request()
            harness.finish(exchange, Result.FAILED, error=FAILED)
            retry_count += len(harness.sent_to(exchange)) - 1
        assert 0 < retry_count <= 0.2 * 100 + 56 / 8


class TestCallerDisconnect:
    """Disconnection of the caller."""

    def test_attempt_is_cancelled(self) -> None:
        """The attempt is cancelled when its caller disconnects."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        exchange = harness.request()
        harness.handle(
            scheduling.ExchangeFinished(exchange=exchange, cancelled=True)
        )
        assert scheduling.CancelAttempt(exchange=exchange) in harness.effects

    def test_queued_request_is_removed(self) -> None:
        """A queued request is removed when its caller disconnects."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        first = harness.request()
        harness.request()
        waiting = harness.request()
        harness.handle(
            scheduling.ExchangeFinished(exchange=waiting, cancelled=True)
        )
        harness.finish(first, response_started=True)
        assert not harness.sent_to(waiting)


class TestLoadReports:
    """Load reports of upstreams."""

    def test_busy_upstream_is_avoided(self) -> None:
        """An upstream that reports a high load receives fewer requests."""
        harness = worlds.make_harness(
            worlds.upstream("u1", slots=6), worlds.upstream("u2", slots=6)
        )
        first = harness.request()
        busy = harness.sent_to(first)[0]
        report = upstreams.LoadReport(running=6, waiting=6, slots=6)
        harness.now = ids.Instant(harness.now + 0.1)
        harness.finish(first, response_started=True, report=report)
        for _ in range(3):
            assert harness.sent_to(harness.request()) != [busy]
