"""Tests of the load tool against an upstream stand-in."""

import asyncio

from bench import answers
from bench import load
from bench import plans
from stand_ins import load as upstream_load
from tests.bench import conftest
from tests.stand_ins import conftest as stand_ins

STREAM = plans.Stream(
    workspace="w", caller_key="bench-caller-key-w", service="s", rate=200.0
)


def plan(port: int, **changes: object) -> plans.LoadPlan:
    """Return a short plan for one port."""
    values = {"name": "t", "streams": (STREAM,), "ports": (port,)}
    return plans.LoadPlan(**{"seconds": 0.2, **values, **changes})


class TestArrivals:
    """The seed decides what is sent and when."""

    def test_same_seed(self) -> None:
        """Two workers of one seed and number have the same arrivals."""
        wanted = plan(1)
        first = plans.arrivals(wanted, 0, 2)
        assert first == plans.arrivals(wanted, 0, 2)
        assert first != plans.arrivals(wanted, 1, 2)

    def test_bound(self) -> None:
        """No more requests are sent than the plan allows."""
        assert len(plans.arrivals(plan(1, most_requests=3), 0, 1)) == 3

    def test_request_ids_differ(self) -> None:
        """No id is used twice over all workers."""
        wanted = plan(1, streams=(STREAM, STREAM))
        found = [
            one.request_id
            for worker in range(3)
            for one in plans.arrivals(wanted, worker, 3)
        ]
        assert len(found) == len(set(found))


class TestWorker:
    """Every request ends in one record."""

    def test_answers(self) -> None:
        """Each arrival is answered with its own request id."""

        async def async_check() -> None:
            async with stand_ins.async_upstream(
                upstream_load.Faults()
            ) as opened:
                wanted = plan(opened[2])
                worker = load.LoadWorker(wanted)
                found = plans.arrivals(wanted, 0, 1)
                await worker.async_run(found, 0.0)
                assert len(worker.answers) == len(found)
                for one in worker.answers:
                    assert one.status == 200
                    assert one.body_request_id == one.request_id

        asyncio.run(async_check())

    def test_silent_server(self) -> None:
        """A request without an answer ends by the timeout."""

        async def async_check() -> None:
            async with stand_ins.async_upstream(
                upstream_load.Faults(frozen=True)
            ) as opened:
                wanted = plan(opened[2], timeout=0.05, most_requests=2)
                worker = load.LoadWorker(wanted)
                await worker.async_run(plans.arrivals(wanted, 0, 1), 0.0)
                assert {one.error for one in worker.answers} == {"timeout"}

        asyncio.run(async_check())


class TestSummary:
    """Latencies count for answers, statuses for all."""

    def test_counts(self) -> None:
        """Refusals are counted and not timed."""
        found = [
            conftest.answer("a", latency=0.01),
            conftest.answer("b", latency=9.0, status=429),
        ]
        summary = answers.summarise(found)
        assert summary.requests == 2
        assert summary.by_status == {"200": 1, "429": 1}
        assert 9.9 < summary.p99_ms < 10.1
