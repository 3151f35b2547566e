"""Tests of the decisions about requests."""

import pytest

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.ownership import messages as ownership
from dragonflyshelf.core import states
from tests.core.dispatch import conftest

BROKEN = errors.UpstreamFailed("cut", outcome=states.Outcome.UNKNOWN)
NOT_RUN = errors.UpstreamRefused("shed")


def sent(effects: list[dispatch.Effect]) -> list[ids.UpstreamId]:
    """Return the upstreams to which something is sent."""
    return [
        one.admitted.upstream
        for one in effects
        if isinstance(one, dispatch.SendUpstream)
    ]


def refused(effects: list[dispatch.Effect]) -> list[errors.RouterError]:
    """Return the errors that origins get."""
    return [one.error for one in effects if isinstance(one, dispatch.Refuse)]


class TestSlots:
    """No upstream gets more than its slots."""

    def test_spread_and_queue(self, router: conftest.Router) -> None:
        """Requests are spread, and wait when all slots are taken."""
        found = [router.request() for _ in range(6)]
        names = [name for _, effects in found for name in sent(effects)]
        assert sorted(names) == ["u1", "u1", "u2", "u2"]
        assert len(sent(router.finish(found[0][0]))) == 1
        assert len(sent(router.finish(found[1][0]))) == 1
        assert sent(router.finish(found[2][0])) == []

    def test_cancelled_in_queue(self, router: conftest.Router) -> None:
        """A caller that goes away leaves the queue."""
        found = [router.request() for _ in range(5)]
        assert router.end(found[4][0]) == []
        assert sent(router.finish(found[0][0])) == []

    def test_cancelled_while_sent(self, router: conftest.Router) -> None:
        """A cancelled request frees its slot."""
        found = [router.request() for _ in range(5)]
        effects = router.end(found[0][0])
        assert len(sent(effects)) == 1
        assert any(isinstance(one, dispatch.CancelAttempt) for one in effects)

    def test_deadline_in_queue(self, router: conftest.Router) -> None:
        """A request whose deadline passes in the queue is refused."""
        for _ in range(4):
            router.request()
        router.request(seconds=0.2)
        errors_seen = refused(router.wait(0.4))
        assert [type(one) for one in errors_seen] == [errors.DeadlineExceeded]
        assert errors_seen[0].outcome is states.Outcome.NOT_RUN


class TestRetries:
    """Nothing that may have run is repeated unless idempotent."""

    def test_idempotent_after_break(self, router: conftest.Router) -> None:
        """A broken GET goes to an upstream again."""
        exchange, _ = router.request()
        effects = router.finish(exchange, error=BROKEN, answered=False)
        assert len(sent(effects)) == 1

    def test_post_after_break(self, router: conftest.Router) -> None:
        """A broken POST is not repeated and its outcome is unknown."""
        exchange, _ = router.request(method=b"POST")
        effects = router.finish(exchange, error=BROKEN, answered=False)
        assert sent(effects) == []
        assert refused(effects)[0].outcome is states.Outcome.UNKNOWN

    def test_post_not_run(self, router: conftest.Router) -> None:
        """A POST that provably did not run goes out again."""
        exchange, _ = router.request(method=b"POST")
        effects = router.finish(exchange, error=NOT_RUN, answered=False)
        assert len(sent(effects)) == 1

    def test_unknown_stays(self, router: conftest.Router) -> None:
        """A last not-run does not hide that an attempt may have run."""
        exchange, _ = router.request()
        router.finish(exchange, error=BROKEN, answered=False)
        fresh = errors.UpstreamRefused("shed")
        effects = []
        for _ in range(3):
            effects = router.finish(exchange, error=fresh, answered=False)
            if refused(effects):
                break
        assert refused(effects)[0].outcome is states.Outcome.UNKNOWN

    def test_answer_begun(self, router: conftest.Router) -> None:
        """An answer that has begun is never sent again."""
        exchange, _ = router.request()
        effects = router.finish(exchange, error=BROKEN, answered=True)
        assert sent(effects) == []
        assert refused(effects) == []

    @pytest.mark.parametrize("length", [-1, 10_000_000])
    def test_body_gone(self, router: conftest.Router, length: int) -> None:
        """A body that may not be kept whole is not sent again."""
        exchange, _ = router.request(
            method=b"PUT", has_body=True, body_length=length
        )
        fresh = errors.UpstreamRefused("shed")
        effects = router.finish(exchange, error=fresh, answered=False)
        assert sent(effects) == []
        assert len(refused(effects)) == 1

    def test_budget(self, router: conftest.Router) -> None:
        """Retries end with the budget."""
        outcomes = []
        for _ in range(60):
            exchange, _ = router.request()
            effects = router.finish(exchange, error=BROKEN, answered=False)
            outcomes.append(len(sent(effects)))
            router.finish(exchange)
        assert 20 <= sum(outcomes) < 30

    def test_fence_refused(self, router: conftest.Router) -> None:
        """A keyed request refused by a fence is routed anew later."""
        exchange, effects = router.request(target=b"/keyed/x")
        assert sent(effects) == ["k1"]
        effects = router.finish(exchange, error=NOT_RUN, answered=False)
        assert effects == []
        assert sent(router.wait(0.2)) == ["k1"]


class TestForwarding:
    """The leader sends, everyone else forwards."""

    def test_forwards(self, router: conftest.Router) -> None:
        """A request goes to the instance that leads."""
        router.lead(conftest.OTHER)
        _, effects = router.request()
        assert isinstance(effects[0], dispatch.Forward)
        assert effects[0].instance == conftest.OTHER

    def test_wrong_leader(self, router: conftest.Router) -> None:
        """A forwarded request to a former leader is not run."""
        router.lead(conftest.OTHER)
        admitted = messages.Admitted(
            service=ids.ServiceName("keyed"),
            workspace=ids.WorkspaceId("w"),
            priority=states.Priority.URGENT,
            idempotent=True,
            shard=ids.ShardId(0),
            upstream=ids.UpstreamId("k1"),
        )
        _, effects = router.forward(admitted)
        assert isinstance(refused(effects)[0], errors.WrongLeader)
        assert refused(effects)[0].outcome is states.Outcome.NOT_RUN

    def test_not_held_yet(self, router: conftest.Router) -> None:
        """A request waits until the leadership may be used."""
        router.lead(conftest.OWN, term=2)
        _, effects = router.request(target=b"/keyed/x")
        assert effects == []
        router.hold("u1", "u2", "k1", term=2)
        assert sent(router.wait(0.2)) == ["k1"]

    def test_lapsed_lease(self, router: conftest.Router) -> None:
        """Without a lease nothing is admitted or sent."""
        router.handle(dispatch.LeaseChanged(until=ids.Instant(router.now)))
        _, effects = router.request()
        assert isinstance(refused(effects)[0], errors.StaleInstance)

    def test_sealed_shard(self, router: conftest.Router) -> None:
        """A sealed shard is quiet once the last attempt has ended."""
        exchange, effects = router.request(target=b"/keyed/x")
        key = router.core.exchanges_by_id[exchange].fence
        assert key is not None
        assert router.handle(dispatch.SealShard(key=key)) == []
        _, effects = router.request(target=b"/keyed/x")
        assert sent(effects) == []
        quiet = [
            one
            for one in router.finish(exchange)
            if isinstance(one, dispatch.ShardQuiet)
        ]
        assert [one.key for one in quiet] == [key]


class TestCallerKeys:
    """Only granted keys are served."""

    def test_withdrawn(self, router: conftest.Router) -> None:
        """A withdrawn key is refused from the next request on."""
        router.put(
            states.ObjectKind.CALLER_KEY,
            objects.CallerKey(
                key_id=ids.CallerKeyId("key"),
                digest=conftest.DIGEST,
                workspace=ids.WorkspaceId("w"),
                withdrawn=True,
            ),
        )
        _, effects = router.request()
        assert isinstance(refused(effects)[0], errors.CallerKeyRefused)

    def test_unknown(self, router: conftest.Router) -> None:
        """A key that no one granted is refused."""
        _, effects = router.request(digest=ids.KeyDigest("e" * 64))
        assert isinstance(refused(effects)[0], errors.CallerKeyRefused)


class TestAvailability:
    """Work goes only where it may."""

    def test_draining_upstream(self, router: conftest.Router) -> None:
        """A draining upstream gets no new work."""
        upstream = router.upstream("u1", "open")
        draining = objects.Upstream(
            **{
                name: getattr(upstream, name)
                for name in upstream.__slots__
                if name != "state"
            },
            state=states.AdminState.DRAINING,
        )
        router.put(states.ObjectKind.UPSTREAM, draining)
        found = [sent(router.request()[1]) for _ in range(3)]
        assert found == [["u2"], ["u2"], []]

    def test_closed_data_centre(self, router: conftest.Router) -> None:
        """No upstream of a data centre that is out gets new work."""
        router.put(
            states.ObjectKind.DATA_CENTRE,
            objects.DataCentre(
                name=ids.DataCentreId("a"), state=states.AdminState.OUT
            ),
        )
        _, effects = router.request()
        assert sent(effects) == []

    def test_all_cold(self, router: conftest.Router) -> None:
        """When all start cold, each gets one request at first."""
        for name in ("u1", "u2"):
            router.handle(
                ownership.UpstreamStarted(
                    upstream=ids.UpstreamId(name), start_id=ids.StartId("s")
                )
            )
        found = [sent(router.request()[1]) for _ in range(6)]
        assert sorted(name for one in found for name in one) == ["u1", "u2"]
        later = router.wait(1.0)
        assert sent(later) == []

    def test_ejected(self, router: conftest.Router) -> None:
        """An upstream that fails again and again is left out."""
        failing = 0
        for _ in range(20):
            exchange, effects = router.request(method=b"POST")
            if sent(effects) == ["u1"]:
                failing += 1
                router.finish(exchange, error=BROKEN, answered=False)
            else:
                router.finish(exchange)
            router.now += 0.01
        assert failing <= 10
