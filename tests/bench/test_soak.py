"""Tests of the soak: its checks, its proxy and a short episode."""

import asyncio
import dataclasses
import pathlib
import subprocess
import sys

import pytest

from bench import processes
from bench.soak import checks
from bench.soak import proxy
from bench.soak import record
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime import http_server
from stand_ins import upstream

ROOT = pathlib.Path(__file__).parent.parent.parent
Kind = record.Kind


def make_observed(request_id: str, kind: Kind, status: str, **values: object):
    """Return a request as its caller observed it."""
    fields: dict[str, object] = {
        "workspace": "one",
        "instance": "instance-1",
        "sent_at": 100.0,
        "ended_at": 100.2,
        "is_response_valid": True,
    }
    fields.update(values)
    return record.ObservedRequest(
        request_id=request_id, kind=kind, status=status, **fields
    )


def make_executed(
    request_id: str, **values: object
) -> upstream.ExecutedRequest:
    """Return a request as an upstream executed it."""
    fields: dict[str, object] = {"tenant": "one", "had_caller_key": False}
    fields.update(values)
    return upstream.ExecutedRequest(request_id=request_id, **fields)


def make_episode(
    *requests: record.ObservedRequest,
    executed: tuple[upstream.ExecutedRequest, ...] = (),
) -> record.EpisodeRecord:
    """Return a record that violates nothing but by its requests."""
    server = upstream.UpstreamServer("u1", "letters")
    server.executed_requests.extend(executed)
    return record.EpisodeRecord(
        observed_requests=list(requests),
        upstreams=[server],
        max_requests_per_second=2.0,
        recovery_seconds=1.0,
    )


def plant_notice(
    episode: record.EpisodeRecord,
    backoff_seconds: float,
    arrived_at_by_id: dict[str, float],
) -> None:
    """Add a notice in the response to request a, and later arrivals."""
    (server,) = episode.upstreams
    server.notices.append(
        upstream.Notice(
            request_id="a",
            responded_at=100.2,
            start=server.started_at_ms,
            backoff_seconds=backoff_seconds,
        )
    )
    server.arrivals.extend(
        upstream.Arrival(
            request_id=request_id,
            arrived_at=arrived_at,
            start=server.started_at_ms,
        )
        for request_id, arrived_at in arrived_at_by_id.items()
    )


VIOLATING_EPISODES = {
    "at most once": make_episode(
        make_observed("a", Kind.ORDER, "502"),
        executed=(make_executed("a"), make_executed("a")),
    ),
    "not run is true": make_episode(
        make_observed("a", Kind.READ, "503"), executed=(make_executed("a"),)
    ),
    "own whole answers": make_episode(
        make_observed("a", Kind.READ, "200", is_response_valid=False),
        executed=(make_executed("a"),),
    ),
    "workspaces and keys": make_episode(
        make_observed("a", Kind.READ, "200"),
        executed=(make_executed("a", tenant="two"),),
    ),
    "withdrawn keys": make_episode(
        make_observed("a", Kind.READ, "200", sent_at=106.0),
        executed=(make_executed("a"),),
    ),
    "leaving upstreams": make_episode(
        make_observed("a", Kind.READ, "200"),
        executed=(make_executed("a", arrived_at=100.1),),
    ),
    "leaving upstreams by their responses": make_episode(
        make_observed("a", Kind.READ, "200"),
        make_observed("b", Kind.READ, "200", sent_at=103.0, ended_at=103.4),
    ),
    "upstreams that want nothing for a time": make_episode(
        make_observed("a", Kind.READ, "503"),
        *(make_observed(f"r{n}", Kind.READ, "200") for n in range(3)),
    ),
    "configurations in force": make_episode(),
    "one holder": make_episode(),
    "rates": make_episode(
        *(make_observed(f"r{n}", Kind.READ, "200") for n in range(40)),
        executed=tuple(
            make_executed(f"r{n}", started_at=100.0) for n in range(40)
        ),
    ),
    "no request is lost": make_episode(
        make_observed("a", Kind.READ, "ConnectionResetError"),
        executed=(make_executed("a"),),
    ),
    "nothing is held": make_episode(
        make_observed("a", Kind.READ, "TimeoutError", ended_at=105.0)
    ),
    "ends in time": make_episode(),
    "recovery": make_episode(),
    "ready after a start": make_episode(),
}
VIOLATING_EPISODES["withdrawn keys"].withdrawn_at_by_workspace["one"] = 100.5
VIOLATING_EPISODES["leaving upstreams"].leavings.append(
    record.Leaving(upstream="u1", started_at=97.5, ended_at=101.0)
)
plant_notice(
    VIOLATING_EPISODES["leaving upstreams by their responses"],
    backoff_seconds=0.0,
    arrived_at_by_id={"b": 103.1},
)
plant_notice(
    VIOLATING_EPISODES["upstreams that want nothing for a time"],
    backoff_seconds=2.0,
    arrived_at_by_id={f"r{n}": 101.0 for n in range(3)},
)
VIOLATING_EPISODES["configurations in force"].route_probes.append(
    record.RouteProbe(
        instance="instance-1",
        prefix="/added-1/",
        is_added=True,
        changed_at=97.4,
        sent_at=100.0,
        status="404",
    )
)
VIOLATING_EPISODES["one holder"].double_grants.append("bucket 1")
VIOLATING_EPISODES["ends in time"].stop_seconds_by_instance[
    "instance-1"
].append(12.0)
VIOLATING_EPISODES["recovery"].recovery_seconds = None
VIOLATING_EPISODES["ready after a start"].readiness_failures.append(
    "instance-1"
)


class TestChecks:
    """Each check reports a planted violation."""

    @pytest.mark.parametrize("name", list(checks.CHECKS))
    def test_planted_violation(self, name: str) -> None:
        """Only the check of the violated guarantee reports it."""
        violated_checks = [
            check
            for check in checks.CHECKS
            if list(checks.CHECKS.get(check)(VIOLATING_EPISODES[name]))
        ]
        assert violated_checks == [name]

    def test_removed_route(self) -> None:
        """A route that is still served long after its removal is one too."""
        (probe,) = VIOLATING_EPISODES["configurations in force"].route_probes
        episode = make_episode()
        for is_added, status in ((False, "200"), (False, "404")):
            episode.route_probes.append(
                dataclasses.replace(probe, is_added=is_added, status=status)
            )
        assert len(list(checks.check_configurations(episode))) == 1

    @pytest.mark.parametrize("name", ["instance-1", record.ALL_INSTANCES])
    @pytest.mark.parametrize(
        "check", ["leaving upstreams", "configurations in force"]
    )
    def test_instance_that_is_not_in_touch(
        self, name: str, check: str
    ) -> None:
        """A change binds only instances that can reach the store."""
        loss = record.Disruption(name=name, started_at=90.0, ended_at=96.0)
        episode = dataclasses.replace(
            VIOLATING_EPISODES[check], contact_losses=[loss]
        )
        assert not list(checks.CHECKS.get(check)(episode))

    def test_other_instance_that_is_not_in_touch(self) -> None:
        """A leader without the store excuses its followers nothing."""
        loss = record.Disruption(
            name="instance-2", started_at=90.0, ended_at=110.0
        )
        episode = dataclasses.replace(
            VIOLATING_EPISODES["leaving upstreams"], contact_losses=[loss]
        )
        assert list(checks.check_leaving_upstreams(episode))

    def test_upstream_behind_a_faulty_link(self) -> None:
        """What was held up on the way is no violation."""
        fault = record.Disruption(name="u1", started_at=98.0, ended_at=99.0)
        episode = dataclasses.replace(
            VIOLATING_EPISODES["leaving upstreams"], link_faults=[fault]
        )
        assert not list(checks.check_leaving_upstreams(episode))

    def test_ignores_disrupted_instance(self) -> None:
        """A request lost by a killed instance is no violation."""
        lost_episode = VIOLATING_EPISODES["no request is lost"]
        episode = record.EpisodeRecord(
            observed_requests=lost_episode.observed_requests,
            upstreams=lost_episode.upstreams,
            max_requests_per_second=lost_episode.max_requests_per_second,
            recovery_seconds=1.0,
            disruptions=[
                record.Disruption(
                    name="instance-1", started_at=99.0, ended_at=101.0
                )
            ],
        )
        assert not list(checks.check_lost_requests(episode))


async def async_echo(
    request: http_server.ServerRequest,
) -> http_server.ServerResponse:
    """Respond with the path of the request."""
    return http_server.ServerResponse(status=200, body=request.path.encode())


async def async_call_in_modes(*modes: proxy.Mode) -> list[str]:
    """Return the results of calls on one connection, one per mode."""
    server = http_server.HttpServer(async_echo)
    await server.async_listen(processes.HOST, 0)
    results = []
    async with (
        proxy.async_run_proxy(server.port) as loopback_proxy,
        http_client.async_open(processes.HOST, loopback_proxy.port) as client,
    ):
        for mode in modes:
            loopback_proxy.set_mode(mode, delay_seconds=0.01)
            try:
                async with asyncio.timeout(0.5):
                    response = await client.async_call("GET", "/a")
                results.append(str(response.status))
            except (OSError, TimeoutError) as error:
                results.append(type(error).__name__)
    server.close()
    return results


class TestProxy:
    """Behaviour of the proxy in each mode."""

    def test_modes(self) -> None:
        """Responses are forwarded, delayed or dropped, or a reset occurs."""
        modes = proxy.Mode
        results = asyncio.run(
            async_call_in_modes(
                modes.PASS,
                modes.DELAY,
                modes.SILENT,
                modes.PASS,
                modes.ONE_WAY,
                modes.RESET,
                modes.PASS,
            )
        )
        assert results[:3] == ["200", "200", "TimeoutError"]
        assert results[3:5] == ["200", "TimeoutError"]
        assert results[5].startswith("Connection")
        assert results[6] == "200"


class TestEpisode:
    """A short episode with a fixed seed violates no guarantee."""

    @pytest.mark.parametrize("seed", [1])
    def test_seed(self, seed: int) -> None:
        """Real processes pass all checks under a few seconds of faults."""
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "bench.soak",
                "--first",
                str(seed),
                "--seconds",
                "6",
                "--instances",
                "3",
            ],
            capture_output=True,
            check=False,
            cwd=ROOT,
            text=True,
            timeout=180,
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
