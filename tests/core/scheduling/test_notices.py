"""Tests of what upstreams say in responses about new requests."""

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import notices
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world as worlds

Result = state.AttemptResult
DECLINED = errors.UpstreamDeclined("full")


def say(
    harness: worlds.SchedulerHarness, name: str, **values: object
) -> list[scheduling.Effect]:
    """Handle a notice of the upstream that ``worlds`` names so."""
    incarnation = worlds.upstream(name).incarnation
    return harness.handle(
        upstream_events.UpstreamNotice(
            incarnation=incarnation, **values  # type: ignore[arg-type]
        )
    )


class TestLeavingUpstream:
    """DRAIN: a leaving upstream was used until its registration changed."""

    def test_no_further_request(self) -> None:
        """It gets none, though it is still registered as ready."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        say(harness, "u1", is_leaving=True)
        refusal = harness.refusal(harness.request())
        assert refusal is not None
        assert isinstance(refusal.error, errors.NoUpstreamAvailable)

    def test_queued_requests(self) -> None:
        """What was queued for it goes to another upstream."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        exchanges = [harness.request() for _ in range(4)]
        harness.register(
            worlds.upstream("u1", slots=1), worlds.upstream("u2", slots=9)
        )
        say(harness, "u1", is_leaving=True)
        for exchange in exchanges:
            harness.finish(exchange)
        assert {harness.sent_to(exchange)[-1] for exchange in exchanges[2:]}
        assert harness.sent_to(harness.request()) == ["u2"]

    def test_retry(self) -> None:
        """A request that it declined is retried elsewhere."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        exchange = harness.request("/order/1")
        harness.register(worlds.upstream("u1"), worlds.upstream("u2"))
        say(harness, "u1", is_leaving=True)
        harness.finish(exchange, Result.DECLINED, error=DECLINED)
        assert harness.sent_to(exchange) == ["u1", "u2"]

    def test_unsent_attempts_are_returned(self) -> None:
        """What waits for a connection there is returned, once."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        effect = scheduling.ReturnUnsent(
            incarnation=worlds.upstream("u1").incarnation
        )
        assert effect in say(harness, "u1", is_leaving=True)
        assert effect not in say(harness, "u1", is_leaving=True)

    @pytest.mark.parametrize("is_removed", [False, True])
    def test_same_start_in_the_registry(self, is_removed: bool) -> None:
        """News of the same start does not bring it back."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        say(harness, "u1", is_leaving=True)
        if is_removed:
            harness.register()
        harness.register(worlds.upstream("u1", slots=7))
        assert harness.sent_to(harness.request()) == []

    def test_new_start(self) -> None:
        """An upstream that started again under its id is used."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        say(harness, "u1", is_leaving=True)
        harness.register(worlds.upstream("u1", started_at_ms=2))
        assert harness.sent_to(harness.request()) == ["u1"]

    def test_holder_of_a_shard_key(self) -> None:
        """A holder that leaves gets no further request for its keys."""
        registration = worlds.upstream("u1", "archive")
        harness = worlds.make_harness(registration)
        harness.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(registration.incarnation, "u1")
            )
        )
        say(harness, "u1", is_leaving=True)
        exchange = harness.request("/old/1", shard_key=ids.ShardKey(5))
        harness.advance(1.0)
        assert harness.sent_to(exchange) == []
        refusal = harness.refusal(exchange)
        assert refusal is not None
        assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_bounded_memory(self) -> None:
        """A start that left long ago is forgotten."""
        known = notices.UpstreamNotices()
        first = ids.UpstreamIncarnation("u1@1")
        known.record_leaving(first, ids.Instant(0.0))
        later = ids.Instant(notices.LEAVING_TTL_SECONDS)
        known.record_leaving(ids.UpstreamIncarnation("u2@1"), later)
        assert not known.is_leaving(first)


class TestUpstreamWithoutRoom:
    """BUDGET: an upstream that named a time got requests before its end."""

    def test_other_upstream(self) -> None:
        """Others are chosen until the time has passed."""
        harness = worlds.make_harness(
            worlds.upstream("u1"), worlds.upstream("u2", slots=99)
        )
        say(harness, "u1", backoff_seconds=2.0)
        for _ in range(8):
            assert harness.sent_to(harness.request()) == ["u2"]
        harness.advance(2.0)
        sent = {harness.sent_to(harness.request())[0] for _ in range(4)}
        assert "u1" in sent

    def test_shorter_time_changes_nothing(self) -> None:
        """A later notice does not shorten the time of an earlier one."""
        harness = worlds.make_harness(
            worlds.upstream("u1"), worlds.upstream("u2", slots=99)
        )
        say(harness, "u1", backoff_seconds=2.0)
        say(harness, "u1", backoff_seconds=0.1)
        harness.advance(1.0)
        assert harness.sent_to(harness.request()) == ["u2"]

    def test_waiting_request_is_sent_when_the_time_ends(self) -> None:
        """Without another upstream a request waits for a short time."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        say(harness, "u1", backoff_seconds=0.5)
        exchange = harness.request()
        assert harness.sent_to(exchange) == []
        harness.advance(0.6)
        assert harness.sent_to(exchange) == ["u1"]

    def test_long_time_is_refused_at_once(self) -> None:
        """What cannot start in time is refused, with the true time."""
        harness = worlds.make_harness(worlds.upstream("u1", slots=1))
        exchanges = [harness.request() for _ in range(4)]
        say(harness, "u1", backoff_seconds=1.9)
        refusals = [harness.refusal(exchange) for exchange in exchanges[2:]]
        refusals.append(harness.refusal(harness.request()))
        for refusal in refusals:
            assert refusal is not None
            assert refusal.error.retry_after == pytest.approx(1.9)
            assert refusal.error.outcome is states.Outcome.NOT_RUN

    def test_same_start_in_the_registry(self) -> None:
        """The time holds though the entry was removed and is back."""
        harness = worlds.make_harness(worlds.upstream("u1"))
        say(harness, "u1", backoff_seconds=1.9)
        harness.register()
        harness.register(worlds.upstream("u1"))
        assert harness.sent_to(harness.request()) == []

    def test_holder_of_a_shard_key(self) -> None:
        """Requests for its keys wait until the time has passed."""
        registration = worlds.upstream("u1", "archive")
        harness = worlds.make_harness(registration)
        harness.handle(
            scheduling.AssignmentsChanged(
                plan=worlds.plan(registration.incarnation, "u1")
            )
        )
        say(harness, "u1", backoff_seconds=0.5)
        exchange = harness.request("/old/1", shard_key=ids.ShardKey(5))
        harness.advance(0.4)
        assert harness.sent_to(exchange) == []
        harness.advance(0.2)
        assert harness.sent_to(exchange) == ["u1"]
