"""Tests of upstream state and load balancing."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.upstreams import choice
from dragonflyshelf.core.upstreams import const
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import ramp
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world

NOW = ids.Instant(10.0)
Result = state.AttemptResult


def make_upstream(name: str, **values: object) -> state.UpstreamState:
    """Return the state of an upstream with six slots."""
    return state.UpstreamState(world.upstream(name, slots=6, **values), NOW)


def finish(
    upstream: state.UpstreamState,
    result: Result,
    seconds: float = 0.1,
    report: objects.LoadReport | None = None,
    now: float = 10.0,
) -> None:
    """Send a request and end it."""
    upstream.start()
    upstream.finish(result, seconds, report, ids.Instant(now))


def make_context(objective: float = 0.5) -> choice.ChoiceContext:
    """Return the inputs of a policy in data centre a."""
    return choice.ChoiceContext(
        now=NOW,
        data_centre=ids.DataCentreId("a"),
        mean_service_time=0.1,
        objective=objective,
    )


class TestLoad:
    """Load from own requests and from reports."""

    def test_reported_load_decays(self) -> None:
        """The reported load of other instances decays to zero."""
        upstream = make_upstream("u1")
        report = objects.LoadReport(running=4, waiting=2, slots=6)
        finish(upstream, Result.RESPONDED, report=report)
        assert upstream.load(NOW) == 6
        later = ids.Instant(NOW + const.LOAD_REPORT_TTL_SECONDS)
        assert upstream.load(later) == 0

    def test_decline_backoff(self) -> None:
        """An upstream that declined for load gets no requests for a while."""
        upstream = make_upstream("u1")
        finish(upstream, Result.DECLINED)
        assert not upstream.has_capacity(NOW)
        assert upstream.has_capacity(
            ids.Instant(NOW + const.DECLINE_BACKOFF_SECONDS)
        )


class TestEjection:
    """Ejection after failures, bounded per service."""

    def test_ejection_expires(self) -> None:
        """An upstream is ejected for a limited time."""
        upstream = make_upstream("u1")
        for _ in range(const.EJECTION_FAILURE_COUNT):
            finish(upstream, Result.FAILED)
        assert upstream.is_ejected(NOW)
        assert not upstream.is_ejected(
            ids.Instant(NOW + const.EJECTION_SECONDS)
        )

    def test_ejection_limit(self) -> None:
        """When most upstreams fail, none is left out."""
        upstreams = [make_upstream(f"u{n}") for n in range(3)]
        for upstream in upstreams:
            for _ in range(const.EJECTION_FAILURE_COUNT):
                finish(upstream, Result.FAILED)
        assert len(choice.exclude_ejected(upstreams, NOW)) == 3


class TestChoice:
    """Choice of the upstream for a request."""

    def test_prefers_own_data_centre(self) -> None:
        """The own data centre is preferred if it is only a little slower."""
        near = make_upstream("u1")
        far = make_upstream("u2", data_centre=ids.DataCentreId("b"))
        finish(near, Result.RESPONDED, 0.15)
        finish(far, Result.RESPONDED, 0.08)
        policy = choice.POLICIES.get(choice.DEFAULT_POLICY)
        assert policy([far, near], make_context()) is near

    def test_overloaded_data_centre(self) -> None:
        """Another data centre is chosen when the own one is much slower."""
        near = make_upstream("u1")
        far = make_upstream("u2", data_centre=ids.DataCentreId("b"))
        finish(near, Result.RESPONDED, 0.3)
        finish(far, Result.RESPONDED, 0.08)
        for _ in range(6):
            near.start()
        policy = choice.POLICIES.get(choice.DEFAULT_POLICY)
        assert policy([far, near], make_context()) is far

    def test_reported_slowdown(self) -> None:
        """An upstream that reports a slowdown is avoided."""
        slow, fast = make_upstream("u1"), make_upstream("u2")
        report = objects.LoadReport(
            running=0, waiting=0, slots=6, slowdown=5.0
        )
        finish(slow, Result.RESPONDED, 0.1, report)
        finish(fast, Result.RESPONDED, 0.1)
        policy = choice.POLICIES.get(choice.DEFAULT_POLICY)
        assert policy([slow, fast], make_context(0.2)) is fast


class TestWarmupSenders:
    """Senders to an upstream that is warming up."""

    def test_order_of_instances(self) -> None:
        """The senders do not depend on the order of the names."""
        incarnation = ids.UpstreamIncarnation("u1@1")
        names = [ids.InstanceId(f"i{n}") for n in range(8)]
        senders = ramp.warmup_senders(incarnation, names)
        assert senders == ramp.warmup_senders(incarnation, reversed(names))
        assert len(senders) == ramp.WARMUP_SENDER_COUNT

    def test_without_instances(self) -> None:
        """Without a list of instances nothing is sent during a warm-up."""
        warmup_ramp = ramp.WarmupRamp(ids.InstanceId("i1"))
        assert not warmup_ramp.has_token(
            ids.UpstreamIncarnation("u1@1"), 6.0, NOW
        )

    def test_growing_list_of_instances(self) -> None:
        """The limit over all instances holds while their list grows."""
        incarnation = ids.UpstreamIncarnation("u1@1")
        names = [ids.InstanceId(f"i{number}") for number in range(60)]
        ramps = {name: ramp.WarmupRamp(name) for name in names}
        rate = 6.0
        sent = 0
        for step in range(200):
            now = ids.Instant(NOW + step / 100)
            instances = tuple(names[: 10 + step // 4])
            for instance_ramp in ramps.values():
                instance_ramp.set_instances(instances)
                if instance_ramp.has_token(incarnation, rate, now):
                    instance_ramp.take(incarnation, rate, now)
                    sent += 1
        assert sent <= 2 * (rate * 1.5 + 8)
