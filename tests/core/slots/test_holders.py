"""Tests of the assignment of holders' slots by a broker."""

import dataclasses

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core import settings
from dragonflyshelf.core.slots import const
from dragonflyshelf.core.slots import messages
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world as worlds
from tests.core.slots import holder_centres

Result = state.AttemptResult
HOLDER = worlds.upstream("u1", "archive")
U1 = HOLDER.incarnation
KEY = ids.ShardKey(5)
RESET = errors.UpstreamFailed("reset", outcome=states.Outcome.UNKNOWN)
REQUEST = messages.SlotRequest(
    number=1,
    service=worlds.ARCHIVE,
    objective=0.5,
    remaining=2.0,
    shard_key=KEY,
    patience=1.0,
    objective_left=0.5,
)


def make_harness(**values: object) -> worlds.SchedulerHarness:
    """Return an instance that knows one holder with two slots."""
    registration = worlds.upstream("u1", "archive", **values)
    routes = (
        worlds.route("old", "archive"),
        worlds.route(
            "new",
            "archive",
            kind=worlds.routing.RequestKind.NON_IDEMPOTENT,
        ),
    )
    harness = worlds.make_harness(
        registration, config=worlds.configuration(routes=routes)
    )
    harness.handle(
        scheduling.AssignmentsChanged(
            plan=worlds.plan(registration.incarnation, "u1")
        )
    )
    return harness


class BrokerHarness:
    """A broker, and what it has sent to its members."""

    def __init__(self, **values: object) -> None:
        """Create a broker that knows one holder."""
        self.harness = make_harness(**values)

    def responses(
        self, effects: list[scheduling.Effect]
    ) -> dict[int, messages.SlotAssignment]:
        """Return the responses among effects by number."""
        return {
            effect.assignment.number: effect.assignment
            for effect in effects
            if isinstance(effect, messages.AssignSlot)
        }

    def ask(self, number: int, **values: object) -> messages.SlotAssignment:
        """Return the first response to a request."""
        request = dataclasses.replace(
            REQUEST, number=number, **values  # type: ignore[arg-type]
        )
        effects = self.harness.handle(
            messages.SlotRequested(link="i2", request=request)
        )
        return self.responses(effects)[number]

    def report(
        self, number: int, **values: object
    ) -> dict[int, messages.SlotAssignment]:
        """Report the end of an attempt; return the responses."""
        fields: dict[str, object] = {"result": Result.RESPONDED}
        fields.update(values)
        return self.responses(
            self.harness.handle(
                messages.SlotReported(
                    link="i2",
                    report=messages.SlotReport(
                        number=number,
                        seconds=0.2,
                        **fields,  # type: ignore[arg-type]
                    ),
                )
            )
        )

    def fill(self) -> None:
        """Assign all that the holder has room for: numbers 1 to 3."""
        for number in range(1, 4):
            assert self.ask(number).incarnation == U1


class TestQueueOfAHolder:
    """The requests of all members wait in one queue for each holder."""

    def test_full_holder(self) -> None:
        """A request is acknowledged, and assigned when a slot is free."""
        broker = BrokerHarness()
        broker.fill()
        response = broker.ask(4)
        assert response.is_queued
        assert response.incarnation == messages.NO_UPSTREAM
        assert broker.report(1)[4].incarnation == U1

    def test_own_request(self) -> None:
        """Requests of the broker's instance wait in the same queue."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4)
        exchange = broker.harness.request("/old/1", shard_key=KEY)
        assert broker.report(1)[4].incarnation == U1
        assert not broker.harness.sent_to(exchange)
        broker.report(2)
        assert broker.harness.sent_to(exchange) == ["u1"]

    def test_priority(self) -> None:
        """The more urgent request is first."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4, priority=2)
        broker.ask(5, priority=1)
        assert list(broker.report(1)) == [5]

    def test_objective_missed(self) -> None:
        """One that can meet its objective is before one that can't."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4, objective_left=0.0)
        broker.ask(5, objective_left=0.9)
        assert list(broker.report(1)) == [5]
        assert list(broker.report(2)) == [4]

    def test_wait_too_long(self) -> None:
        """What cannot start in time is refused at once."""
        broker = BrokerHarness()
        broker.fill()
        responses = [broker.ask(number) for number in range(4, 10)]
        assert responses[0].is_queued
        assert not responses[-1].is_queued
        assert responses[-1].retry_after > 0

    def test_places_of_returners(self) -> None:
        """Those that are refused together are not told the same time."""
        broker = BrokerHarness()
        broker.fill()
        times = []
        for number in range(4, 12):
            response = broker.ask(number, objective_left=0.9)
            if not response.is_queued:
                times.append(response.retry_after)
        assert len(times) >= 3
        assert times[0] < times[1] < times[2]

    def test_late_request(self) -> None:
        """One that misses its objective anyway may wait for its turn."""
        broker = BrokerHarness()
        broker.fill()
        assert broker.ask(4, objective_left=0.0).is_queued

    def test_expired(self) -> None:
        """What has waited too long is refused."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4, patience=0.5)
        broker.harness.effects.clear()
        broker.harness.advance(0.6)
        responses = broker.responses(broker.harness.effects)
        assert responses[4].retry_after > 0

    def test_withdrawn(self) -> None:
        """A request whose caller has left gets no slot."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4)
        broker.ask(5)
        broker.report(4, result=Result.CANCELLED)
        assert list(broker.report(1)) == [5]

    def test_lost_member(self) -> None:
        """What a member that is lost had queued gets no slot."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4)
        broker.harness.handle(messages.LinkClosed(link="i2"))
        assert not broker.report(1)
        assert not broker.harness.core.dispatcher.has_waiting

    def test_turned_away(self) -> None:
        """A holder that resets is full: it gets less, after a pause."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4)
        turned_away = broker.report(
            1, result=Result.FAILED, is_turned_away=True
        )
        assert not turned_away
        assert not broker.report(2, result=Result.FAILED)
        broker.harness.effects.clear()
        broker.harness.advance(0.35)
        assert not broker.responses(broker.harness.effects)
        assert list(broker.report(3)) == [4]

    def test_holder_that_is_down(self) -> None:
        """A holder whose port refuses connections gets a pause, too."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4)
        for number in range(1, 4):
            assert not broker.report(number, result=Result.UNREACHABLE)

    @pytest.mark.parametrize("value", [float("nan"), -1.0, float("inf")])
    def test_odd_times(self, value: float) -> None:
        """A request with odd times is answered."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4, patience=value, objective_left=value, remaining=value)


class TestWhatABrokerLeavesToItsMembers:
    """A request that no holder can take is placed by its instance."""

    @pytest.mark.parametrize(
        "values", [{"is_draining": True}, {"warmup_left_seconds": 3.0}]
    )
    def test_unsuitable_holder(self, values: dict[str, object]) -> None:
        """Holders that leave are not assigned, nor those that warm up.

        The senders to the latter are fixed among few instances.
        """
        response = BrokerHarness(**values).ask(1)
        assert response.incarnation == messages.NO_UPSTREAM
        assert not response.is_queued
        assert not response.retry_after

    @pytest.mark.parametrize(
        "values", [{"service": worlds.LETTERS}, {"service": "none"}]
    )
    def test_undivided_service(self, values: dict[str, object]) -> None:
        """A service that is not known as divided has no holders."""
        response = BrokerHarness().ask(1, **values)
        assert response.incarnation == messages.NO_UPSTREAM

    def test_holder_that_leaves(self) -> None:
        """What waits for a holder that begins to leave is returned."""
        broker = BrokerHarness()
        broker.fill()
        broker.ask(4)
        effects = broker.harness.handle(
            upstream_events.UpstreamNotice(incarnation=U1, is_leaving=True)
        )
        response = broker.responses(effects)[4]
        assert response.incarnation == messages.NO_UPSTREAM
        assert not response.retry_after


class TestNewBroker:
    """A successor counts what its members have under way."""

    def test_slots_in_use(self) -> None:
        """They are free when their end is reported."""
        broker = BrokerHarness()
        for number in range(1, 4):
            broker.harness.handle(
                messages.SlotInUseReported(
                    link="i2",
                    slot=messages.SlotInUse(
                        number=number,
                        service=worlds.ARCHIVE,
                        incarnation=U1,
                        remaining=2.0,
                    ),
                )
            )
        assert broker.ask(4).is_queued
        assert broker.report(1)[4].incarnation == U1

    def test_unknown_holder(self) -> None:
        """A slot of an upstream that is gone is not counted."""
        broker = BrokerHarness()
        broker.harness.handle(
            messages.SlotInUseReported(
                link="i2",
                slot=messages.SlotInUse(
                    number=1,
                    service=worlds.ARCHIVE,
                    incarnation=ids.UpstreamIncarnation("u9@1"),
                    remaining=2.0,
                ),
            )
        )
        assert broker.ask(2).incarnation == U1


class MemberHarness:
    """An instance whose broker assigns holders' slots."""

    def __init__(self) -> None:
        """Create an instance that knows of the broker."""
        self.harness = make_harness()
        self.harness.handle(messages.BrokerChanged(is_available=True))
        self.respond(messages.CAPABILITY_QUERY_NUMBER)

    def respond(
        self, number: int, **values: object
    ) -> list[scheduling.Effect]:
        """Let the broker respond; return the effects."""
        fields: dict[str, object] = {"incarnation": messages.NO_UPSTREAM}
        fields.update(values)
        return self.harness.handle(
            messages.SlotAssignment(
                number=number,
                serves_holders=True,
                **fields,  # type: ignore[arg-type]
            )
        )

    def request(self, path: str = "/old/1") -> ids.ExchangeId:
        """Send a request to the divided service."""
        return self.harness.request(path, shard_key=KEY)


class TestMember:
    """An instance asks the broker for the slot of a holder."""

    def test_request(self) -> None:
        """It states the key and the times, and sends when assigned."""
        member = MemberHarness()
        exchange = member.request()
        request = member.harness.effects[-1]
        assert isinstance(request, messages.SlotRequest)
        assert request.shard_key == KEY
        assert 0 < request.patience < request.remaining
        assert request.objective_left == 0.5
        assert not member.harness.sent_to(exchange)
        member.respond(exchange, incarnation=U1)
        assert member.harness.sent_to(exchange) == ["u1"]

    def test_broker_of_an_older_build(self) -> None:
        """A broker that does not know holders is not asked for them."""
        harness = make_harness()
        harness.handle(messages.BrokerChanged(is_available=True))
        exchange = harness.request("/old/1", shard_key=KEY)
        assert harness.sent_to(exchange) == ["u1"]

    def test_queued(self) -> None:
        """An acknowledged request waits until its latest start."""
        member = MemberHarness()
        exchange = member.request()
        member.respond(exchange, is_queued=True)
        member.harness.advance(0.9)
        assert not member.harness.sent_to(exchange)
        member.harness.advance(0.4)
        assert member.harness.sent_to(exchange) == ["u1"]

    def test_refused(self) -> None:
        """A request without a place is refused with the broker's time."""
        member = MemberHarness()
        exchange = member.request()
        member.respond(exchange, retry_after=0.7)
        refusal = member.harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.retry_after == 0.7
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_lost_broker(self) -> None:
        """What waited is placed by the instance if no other one comes."""
        member = MemberHarness()
        unanswered, queued = member.request(), member.request()
        member.respond(queued, is_queued=True)
        member.harness.handle(messages.BrokerChanged(is_available=False))
        member.harness.advance(const.REQUEST_TIMEOUT_SECONDS + 0.03)
        assert member.harness.sent_to(unanswered) == ["u1"]
        assert not member.harness.sent_to(queued)
        member.harness.advance(const.SUCCESSOR_WAIT_SECONDS)
        assert member.harness.sent_to(queued) == ["u1"]

    def test_silent_broker(self) -> None:
        """While it is avoided, its members send as much as it would have."""
        member = MemberHarness()
        member.harness.handle(
            scheduling.InstancesChanged(
                instances=tuple(ids.InstanceId(f"i{n}") for n in range(29))
            )
        )
        member.request()
        member.harness.advance(const.REQUEST_TIMEOUT_SECONDS + 0.03)
        burst = [member.request() for _ in range(5)]
        assert not any(member.harness.sent_to(number) for number in burst)

    def test_late_refusal(self) -> None:
        """A broker that has queued a request is not avoided for a delay."""
        member = MemberHarness()
        exchange = member.request()
        member.respond(exchange, is_queued=True)
        member.harness.advance(1.0 + const.EXPIRY_MARGIN_SECONDS + 0.03)
        assert member.harness.sent_to(exchange) == ["u1"]
        assert not member.harness.sent_to(member.request())

    def test_successor(self) -> None:
        """What waits asks the new broker, and not its own queue."""
        member = MemberHarness()
        exchange = member.request()
        member.respond(exchange, is_queued=True)
        member.harness.handle(messages.BrokerChanged(is_available=False))
        member.harness.advance(const.REQUEST_TIMEOUT_SECONDS + 0.03)
        member.harness.handle(messages.BrokerChanged(is_available=True))
        (request,) = member.respond(messages.CAPABILITY_QUERY_NUMBER)
        assert isinstance(request, messages.SlotRequest)
        assert request.number == exchange
        member.respond(exchange, incarnation=U1)
        assert member.harness.sent_to(exchange) == ["u1"]

    def test_new_broker(self) -> None:
        """It is told what is under way, and when that ends."""
        member = MemberHarness()
        exchange = member.request()
        member.respond(exchange, incarnation=U1)
        member.harness.handle(messages.BrokerChanged(is_available=False))
        member.harness.handle(messages.BrokerChanged(is_available=True))
        (in_use,) = member.respond(messages.CAPABILITY_QUERY_NUMBER)
        assert isinstance(in_use, messages.SlotInUse)
        assert (in_use.number, in_use.incarnation) == (exchange, U1)
        assert any(
            isinstance(effect, messages.SlotReport)
            for effect in member.harness.finish(exchange)
        )

    def test_caller_that_leaves(self) -> None:
        """A request that waits is withdrawn."""
        member = MemberHarness()
        exchange = member.request()
        member.respond(exchange, is_queued=True)
        effects = member.harness.handle(
            scheduling.ExchangeFinished(exchange=exchange, cancelled=True)
        )
        (report,) = effects
        assert isinstance(report, messages.SlotReport)
        assert report.result is Result.CANCELLED

    def test_late_acknowledgement(self) -> None:
        """A request that was placed already is withdrawn."""
        member = MemberHarness()
        exchange = member.request()
        member.harness.advance(const.REQUEST_TIMEOUT_SECONDS + 0.03)
        assert member.harness.sent_to(exchange) == ["u1"]
        (report,) = member.respond(exchange, is_queued=True)
        assert isinstance(report, messages.SlotReport)

    def test_retry(self) -> None:
        """An idempotent request that was turned away asks again."""
        member = MemberHarness()
        exchange = member.request()
        member.respond(exchange, incarnation=U1)
        effects = member.harness.finish(
            exchange, Result.FAILED, error=RESET, is_turned_away=True
        )
        report, request = effects
        assert isinstance(report, messages.SlotReport)
        assert report.is_turned_away
        assert isinstance(request, messages.SlotRequest)

    def test_non_idempotent_request(self) -> None:
        """After a reset it may have run: it is not sent again."""
        member = MemberHarness()
        exchange = member.request("/new/1")
        member.respond(exchange, incarnation=U1)
        member.harness.finish(
            exchange, Result.FAILED, error=RESET, is_turned_away=True
        )
        refusal = member.harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.UNKNOWN
        member.respond(exchange, incarnation=U1)
        assert member.harness.sent_to(exchange) == ["u1"]


class TestLoadOnFullHolders:
    """Replays of 87 instances in three data centres, 12 holders.

    Holders have six slots and a queue of 24, and reset what comes on top.
    """

    def check(self, model: holder_centres.HolderCentres) -> None:
        """Check the targets: 1 of 50 turned away, 1 of 200 ends so.

        Each request ends once, and runs once if it must not run twice.
        """
        assert model.turned_away_count * 50 <= model.arrival_count
        request_count = len(model.end_counts)
        assert model.failed_count * 200 <= request_count
        assert set(model.end_counts.values()) == {1}
        assert not model.arrived_at_by_id
        assert all(
            model.run_counts[exchange] <= 1 for exchange in model.unsafe
        )

    def check_refusals(self, model: holder_centres.HolderCentres) -> None:
        """Check that four of five refusals come in the first 10 ms."""
        prompt_count = sum(
            seconds <= 0.01 for seconds in model.refused_after_seconds
        )
        assert prompt_count >= 0.8 * len(model.refused_after_seconds)

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(
        ("hot_share", "rate"), [(0.4, 70.0), (0.15, 120.0), (0.0, 250.0)]
    )
    def test_hot_key_and_burst(
        self, seed: int, hot_share: float, rate: float
    ) -> None:
        """A hot key, and more than all holders can serve."""
        model = holder_centres.HolderCentres(
            seed, hot_share=hot_share, unsafe_share=0.2
        )
        model.run(8.0, rate)
        self.check(model)
        self.check_refusals(model)

    @pytest.mark.parametrize("seed", range(3))
    def test_lost_broker(self, seed: int) -> None:
        """One falls silent amid a hot key; another follows it."""
        model = holder_centres.HolderCentres(
            seed, hot_share=0.4, unsafe_share=0.2
        )
        model.schedule(2.0, lambda: model.silent_relays.add(0))
        model.schedule(2.7, lambda: model.set_broker(0, None))
        model.schedule(3.0, lambda: model.set_broker(0, 3))
        model.run(8.0, 70.0)
        self.check(model)

    @pytest.mark.parametrize("seed", range(3))
    def test_hot_range_moves(self, seed: int) -> None:
        """The range of a hot key has no holder for 0.8 s.

        All that waits for it comes at once then.
        """
        model = holder_centres.HolderCentres(
            seed, hot_share=0.6, unsafe_share=0.2
        )
        model.schedule(2.0, lambda: model.move_first_range(False))
        model.schedule(2.8, lambda: model.move_first_range(True))
        model.run(5.0, 100.0)
        self.check(model)

    @pytest.mark.parametrize("seed", range(3))
    def test_cold_return(self, seed: int) -> None:
        """A third of the holders turn cold: they get what they tolerate.

        That is their rate and half of it, and 5 requests, in any second.
        """
        rate = worlds.service("archive").warmup_rate
        seconds = holder_centres.WARMUP_SECONDS
        model = holder_centres.HolderCentres(seed, unsafe_share=0.2)
        model.schedule(2.0, lambda: model.turn_cold(4))
        cold_from = model.now + 2.0
        model.run(8.0, 100.0)
        self.check(model)
        for holder in model.upstreams[:4]:
            arrivals = [
                at - cold_from
                for at in model.arrived_at_by_holder[holder.registration.id]
                if 0.1 < at - cold_from < seconds
            ]
            assert len(arrivals) >= 0.7 * rate * seconds
            assert all(
                sum(first <= at < first + 1.0 for at in arrivals)
                <= 1.5 * rate + 5
                for first in arrivals
            )

    @pytest.mark.parametrize("seed", range(3))
    def test_all_power_back(self, seed: int) -> None:
        """All brokers change at full load: none counts what is under way.

        Their members tell them.
        """
        model = holder_centres.HolderCentres(seed, unsafe_share=0.2)
        for centre in range(holder_centres.DATA_CENTRE_COUNT):
            model.schedule(
                3.0, lambda centre=centre: model.set_broker(centre, centre + 3)
            )
        model.run(8.0, 250.0)
        self.check(model)


class TestWithoutBrokersOfHolders:
    """The default: each instance counts the room of holders for itself."""

    def test_nothing_is_asked_for(self) -> None:
        """A broker that serves holders is not asked for one."""
        config = dataclasses.replace(
            worlds.make_settings(), slots=settings.SlotSettings()
        )
        harness = worlds.make_harness(HOLDER, process=config)
        harness.handle(
            scheduling.AssignmentsChanged(plan=worlds.plan(U1, "u1"))
        )
        harness.handle(messages.BrokerChanged(is_available=True))
        harness.handle(
            messages.SlotAssignment(
                number=messages.CAPABILITY_QUERY_NUMBER,
                incarnation=messages.NO_UPSTREAM,
                serves_holders=True,
            )
        )
        exchange = harness.request("/old/1", shard_key=KEY)
        assert harness.sent_to(exchange) == ["u1"]
        assert not any(
            isinstance(effect, messages.SlotRequest | messages.SlotInUse)
            for effect in harness.effects
        )
