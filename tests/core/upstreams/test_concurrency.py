"""Tests of the limit on requests at an upstream that may be full."""

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import concurrency
from dragonflyshelf.core.upstreams import const
from dragonflyshelf.core.upstreams import objects
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world as worlds

NOW = ids.Instant(10.0)
RESET = errors.UpstreamFailed("reset", outcome=states.Outcome.UNKNOWN)
Result = state.AttemptResult


class TestConcurrencyLimit:
    """The limit falls at once and rises with each response."""

    def test_request_turned_away(self) -> None:
        """It is halved, after a pause that doubles up to its maximum."""
        limit = concurrency.ConcurrencyLimit(7.0)
        now = NOW
        for pause in (0.4, 0.8, concurrency.MAX_PAUSE_SECONDS):
            limit.record_full(4, 0.4, now)
            assert not limit.has_room(0, ids.Instant(now + pause - 0.01))
            now = ids.Instant(now + pause + 0.01)
            assert limit.has_room(0, now)
        assert not limit.has_room(2, now)

    def test_many_turned_away_at_once(self) -> None:
        """What was sent before a pause does not make it longer."""
        limit = concurrency.ConcurrencyLimit(7.0)
        for _ in range(5):
            limit.record_full(6, 0.4, NOW)
        assert limit.has_room(2, ids.Instant(NOW + 0.41))
        assert not limit.has_room(3, ids.Instant(NOW + 0.41))

    def test_responses(self) -> None:
        """Each response raises it by one, up to the maximum."""
        limit = concurrency.ConcurrencyLimit(3.0)
        limit.record_full(0, 0.4, NOW)
        later = ids.Instant(NOW + 1.0)
        assert not limit.has_room(1, later)
        limit.record_response()
        assert limit.has_room(1, later)
        for _ in range(5):
            limit.record_response()
        assert limit.has_room(2, later)
        assert not limit.has_room(3, later)


class TestFullHolder:
    """Full holders that reset: a key takes all of the requests.

    Requests are sent again when there may be room, not at once.
    """

    def make_harness(self, **values: object) -> worlds.SchedulerHarness:
        """Return a harness with one holder of all keys."""
        registration = worlds.upstream("u1", "archive", slots=6, **values)
        harness = worlds.make_harness(registration)
        harness.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(registration.incarnation, "u1")
            )
        )
        return harness

    def request(self, harness: worlds.SchedulerHarness) -> ids.ExchangeId:
        """Send a request to the holder."""
        return harness.request("/old/1", shard_key=ids.ShardKey(5))

    def reset(
        self, harness: worlds.SchedulerHarness, exchange: ids.ExchangeId
    ) -> None:
        """Let the holder turn a request away."""
        harness.finish(
            exchange, Result.FAILED, error=RESET, is_turned_away=True
        )

    def test_retry_waits(self) -> None:
        """A request that was turned away is not sent again at once."""
        harness = self.make_harness()
        exchange = self.request(harness)
        self.reset(harness, exchange)
        assert harness.sent_to(exchange) == ["u1"]
        harness.advance(const.DEFAULT_SERVICE_TIME_SECONDS + 0.05)
        assert harness.sent_to(exchange) == ["u1", "u1"]

    def test_burst(self) -> None:
        """A burst of 30 requests brings a full holder seven, not 30."""
        harness = self.make_harness()
        burst = [self.request(harness) for _ in range(30)]
        for exchange in list(burst):
            if harness.sent_to(exchange):
                self.reset(harness, exchange)
        assert sum(len(harness.sent_to(exchange)) for exchange in burst) == 7

    def test_lost_response(self) -> None:
        """A holder that has just reported a free slot is not full."""
        harness = self.make_harness()
        report = objects.LoadReport(running=1, waiting=0, slots=6)
        harness.finish(self.request(harness), report=report)
        exchange = self.request(harness)
        self.reset(harness, exchange)
        assert harness.sent_to(exchange) == ["u1", "u1"]

    def test_outdated_report(self) -> None:
        """A report from before the load came does not hide a full holder."""
        harness = self.make_harness()
        report = objects.LoadReport(running=1, waiting=0, slots=6)
        harness.finish(self.request(harness), report=report)
        burst = [self.request(harness) for _ in range(3)]
        for exchange in burst:
            if harness.sent_to(exchange):
                self.reset(harness, exchange)
        assert sum(len(harness.sent_to(exchange)) for exchange in burst) == 4

    def test_undivided_service(self) -> None:
        """Upstreams of undivided services are chosen as before."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        exchange = harness.request()
        self.reset(harness, exchange)
        assert harness.sent_to(exchange) == ["u1", "u1"]
