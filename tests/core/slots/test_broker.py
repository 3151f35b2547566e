"""Tests of the assignment of slots."""

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core.slots import const
from dragonflyshelf.core.slots import messages
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world as worlds
from tests.core.slots import data_centre

Result = state.AttemptResult
U1 = worlds.upstream("u1").incarnation


def ask(
    harness: worlds.SchedulerHarness, number: int, remaining: float = 2.0
) -> ids.UpstreamIncarnation:
    """Return the upstream that a broker assigns to a request."""
    request = messages.SlotRequest(
        number=number,
        service=worlds.LETTERS,
        objective=0.5,
        remaining=remaining,
    )
    (effect,) = harness.handle(
        messages.SlotRequested(link="i2", request=request)
    )
    assert isinstance(effect, messages.AssignSlot)
    assert (effect.link, effect.assignment.number) == ("i2", number)
    return effect.assignment.incarnation


def report(
    harness: worlds.SchedulerHarness,
    number: int,
    result: state.AttemptResult = Result.RESPONDED,
) -> None:
    """Report the end of an attempt to a broker."""
    harness.handle(
        messages.SlotReported(
            link="i2",
            report=messages.SlotReport(
                number=number, result=result, seconds=0.2
            ),
        )
    )


class TestBroker:
    """A broker assigns what its data centre has, and no more."""

    def test_free_slots_only(self) -> None:
        """A slot is assigned again when its end was reported."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=2))
        assert [ask(harness, number) for number in range(3)] == [
            U1,
            U1,
            messages.NO_UPSTREAM,
        ]
        report(harness, 0)
        report(harness, 0)
        assert ask(harness, 3) == U1
        assert ask(harness, 4) == messages.NO_UPSTREAM

    def test_own_requests_count(self) -> None:
        """What the instance of the broker has sent itself takes slots."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        harness.request()
        assert ask(harness, 1) == messages.NO_UPSTREAM

    def test_slot_that_is_not_reported(self) -> None:
        """It is free again some time after the request's deadline."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        assert ask(harness, 1, remaining=2.0) == U1
        harness.advance(2.0 + const.TERM_MARGIN_SECONDS - 0.1)
        assert ask(harness, 2) == messages.NO_UPSTREAM
        harness.advance(0.1)
        assert ask(harness, 3) == U1

    @pytest.mark.parametrize("remaining", [float("inf"), float("nan"), -1e30])
    def test_odd_deadline(self, remaining: float) -> None:
        """A slot is free again in the end, whatever the request says."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        assert ask(harness, 1, remaining=remaining) == U1
        harness.now = ids.Instant(
            harness.now + const.MAX_TERM_SECONDS + const.TERM_MARGIN_SECONDS
        )
        assert ask(harness, 2) == U1

    @pytest.mark.parametrize(
        "values",
        [
            {"is_draining": True},
            {"data_centre": ids.DataCentreId("b")},
            {"warmup_left_seconds": 3.0},
        ],
    )
    def test_unsuitable_upstream(self, values: dict[str, object]) -> None:
        """Leaving, remote and cold upstreams are not assigned."""
        harness = worlds.make_harness(worlds.upstream("u1", **values))
        assert ask(harness, 1) == messages.NO_UPSTREAM

    @pytest.mark.parametrize(
        "values", [{"is_leaving": True}, {"backoff_seconds": 1.0}]
    )
    def test_notice(self, values: dict[str, float]) -> None:
        """What an upstream has said of itself is kept to."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        harness.handle(
            upstream_events.UpstreamNotice(
                incarnation=U1, **values  # type: ignore[arg-type]
            )
        )
        assert ask(harness, 1) == messages.NO_UPSTREAM


class TestInstanceWithABadLink:
    """One instance that reaches no upstream does not take them from all."""

    def test_unreachable_once(self) -> None:
        """An upstream is left out only after failures in a row."""
        harness = worlds.make_harness(
            worlds.upstream("u1"), worlds.upstream("u2")
        )
        for number in range(2):
            ask(harness, number)
            report(harness, number, Result.UNREACHABLE)
        assert {ask(harness, 2), ask(harness, 3)} == {
            U1,
            worlds.upstream("u2").incarnation,
        }

    def test_all_unreachable(self) -> None:
        """If nearly all were left out, none is."""
        harness = worlds.make_harness(
            worlds.upstream("u1"), worlds.upstream("u2")
        )
        for number in range(12):
            ask(harness, number)
            report(harness, number, Result.UNREACHABLE)
        assert ask(harness, 12) != messages.NO_UPSTREAM


class TestClient:
    """An instance sends a request to the upstream that is assigned."""

    def make_harness(self) -> worlds.SchedulerHarness:
        """Return an instance that has a broker, and two upstreams."""
        harness = worlds.make_harness(
            worlds.upstream("u1"), worlds.upstream("u2")
        )
        harness.handle(messages.BrokerChanged(is_available=True))
        return harness

    def assign(
        self,
        harness: worlds.SchedulerHarness,
        exchange: ids.ExchangeId,
        incarnation: ids.UpstreamIncarnation,
    ) -> list[scheduling.Effect]:
        """Handle an assignment and return its effects."""
        return harness.handle(
            messages.SlotAssignment(number=exchange, incarnation=incarnation)
        )

    def reports(
        self, effects: list[scheduling.Effect]
    ) -> list[messages.SlotReport]:
        """Return the reports among effects."""
        return [
            effect
            for effect in effects
            if isinstance(effect, messages.SlotReport)
        ]

    @pytest.mark.parametrize("name", ["u1", "u2"])
    def test_assigned_upstream(self, name: str) -> None:
        """It gets the request, and the end is reported once."""
        harness = self.make_harness()
        exchange = harness.request()
        assert harness.sent_to(exchange) == []
        self.assign(harness, exchange, worlds.upstream(name).incarnation)
        assert harness.sent_to(exchange) == [name]
        (end,) = self.reports(harness.finish(exchange))
        assert (end.number, end.result) == (exchange, Result.RESPONDED)
        finished = scheduling.ExchangeFinished(
            exchange=exchange, cancelled=False
        )
        assert not self.reports(harness.handle(finished))

    def test_cancelled_request(self) -> None:
        """Its slot is reported too, before and after it was sent."""
        harness = self.make_harness()
        waiting, sent = harness.request(), harness.request()
        self.assign(harness, sent, U1)
        for exchange in (waiting, sent):
            effects = harness.handle(
                scheduling.ExchangeFinished(exchange=exchange, cancelled=True)
            )
            assert len(self.reports(effects)) == int(exchange == sent)
        assert len(self.reports(self.assign(harness, waiting, U1))) == 1
        assert harness.sent_to(waiting) == []

    def test_silent_broker(self) -> None:
        """The request is placed here soon, and others at once."""
        harness = self.make_harness()
        exchange = harness.request()
        harness.advance(const.REQUEST_TIMEOUT_SECONDS + 0.03)
        assert len(harness.sent_to(exchange)) == 1
        assert len(harness.sent_to(harness.request())) == 1
        assert len(self.reports(self.assign(harness, exchange, U1))) == 1
        harness.advance(const.AVOIDANCE_SECONDS)
        assert harness.sent_to(harness.request()) == []

    @pytest.mark.parametrize("incarnation", ["", "u9@1"])
    def test_no_free_slot(self, incarnation: str) -> None:
        """An upstream of another data centre is preferred then."""
        harness = worlds.make_harness(
            worlds.upstream("u1"),
            worlds.upstream("u2", data_centre=ids.DataCentreId("b")),
        )
        harness.handle(messages.BrokerChanged(is_available=True))
        exchange = harness.request()
        self.assign(harness, exchange, ids.UpstreamIncarnation(incarnation))
        assert harness.sent_to(exchange) == ["u2"]

    def test_leaving_upstream(self) -> None:
        """DRAIN: an assigned upstream that leaves does not get it."""
        harness = self.make_harness()
        exchange = harness.request()
        harness.register(
            worlds.upstream("u1", is_draining=True), worlds.upstream("u2")
        )
        effects = self.assign(harness, exchange, U1)
        assert harness.sent_to(exchange) == ["u2"]
        assert len(self.reports(effects)) == 1

    def test_divided_service(self) -> None:
        """The holder of a key is not asked for."""
        registration = worlds.upstream("u1", "archive")
        harness = worlds.make_harness(registration)
        harness.handle(messages.BrokerChanged(is_available=True))
        harness.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(registration.incarnation, "u1")
            )
        )
        exchange = harness.request("/old/1", shard_key=ids.ShardKey(5))
        assert harness.sent_to(exchange) == ["u1"]

    def test_deadline(self) -> None:
        """A request whose deadline passes while it waits ends."""
        harness = self.make_harness()
        exchange = harness.request(deadline=ids.Instant(harness.now + 0.01))
        harness.advance(0.02)
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert not self.reports(
            self.assign(harness, exchange, ids.UpstreamIncarnation(""))
        )


class TestPlacementAmongMany:
    """Load patterns of a data centre of 39 instances and 12 upstreams.

    Without assignment an instance meets the same upstream once in 15 s,
    and requests queue at some upstreams while others are idle.
    """

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(
        ("rate", "credit"), [(74.0, 0.95), (74.0 * 1.7, 0.9)]
    )
    def test_usual_load_and_burst(
        self, seed: int, rate: float, credit: float
    ) -> None:
        """Nearly all is served in time at the usual load and in a burst."""
        model = data_centre.DataCentre(seed)
        assert model.run(12.0, rate).credit >= credit

    def test_relay_that_stops(self) -> None:
        """A relay that is silent costs no more than what it has gained."""
        credits_by_mode = {"silent": 0.0, "none": 0.0}
        for seed in range(6):
            silent = data_centre.DataCentre(seed)
            silent.relay_is_silent = True
            credits_by_mode["silent"] += silent.run(8.0, 74.0).credit / 6
            without = data_centre.DataCentre(seed, has_broker=False)
            credits_by_mode["none"] += without.run(8.0, 74.0).credit / 6
        assert credits_by_mode["silent"] >= credits_by_mode["none"] - 0.05
