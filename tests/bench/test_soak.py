"""Tests of the soak: its checks, its proxy and a short episode."""

import asyncio
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


def seen(request_id: str, kind: Kind, status: str, **values: object):
    """Return a request as its caller observed it."""
    fields: dict[str, object] = {
        "workspace": "one",
        "instance": "instance-1",
        "sent_at": 100.0,
        "ended_at": 100.2,
        "is_whole": True,
    }
    fields.update(values)
    return record.Seen(
        request_id=request_id, kind=kind, status=status, **fields
    )


def run(request_id: str, **values: object) -> upstream.ExecutedRequest:
    """Return a request as an upstream executed it."""
    fields: dict[str, object] = {"tenant": "one", "had_caller_key": False}
    fields.update(values)
    return upstream.ExecutedRequest(request_id=request_id, **fields)


def made(
    *callers: record.Seen, runs: tuple[upstream.ExecutedRequest, ...] = ()
) -> record.Record:
    """Return a record that violates nothing but by its requests."""
    server = upstream.UpstreamServer("u1", "letters")
    server.executed_requests.extend(runs)
    return record.Record(
        seen=list(callers),
        upstreams=[server],
        rate=2.0,
        recovered_after=1.0,
    )


VIOLATIONS = {
    "at most once": made(
        seen("a", Kind.ORDER, "502"), runs=(run("a"), run("a"))
    ),
    "not run is true": made(seen("a", Kind.READ, "503"), runs=(run("a"),)),
    "own whole answers": made(
        seen("a", Kind.READ, "200", is_whole=False), runs=(run("a"),)
    ),
    "workspaces and keys": made(
        seen("a", Kind.READ, "200"), runs=(run("a", tenant="two"),)
    ),
    "withdrawn keys": made(
        seen("a", Kind.READ, "200", sent_at=106.0), runs=(run("a"),)
    ),
    "one holder": made(),
    "rates": made(
        *(seen(f"r{n}", Kind.READ, "200") for n in range(40)),
        runs=tuple(run(f"r{n}", started_at=100.0) for n in range(40)),
    ),
    "no request is lost": made(
        seen("a", Kind.READ, "ConnectionResetError"), runs=(run("a"),)
    ),
    "nothing is held": made(
        seen("a", Kind.READ, "TimeoutError", ended_at=105.0)
    ),
    "ends in time": made(),
    "recovery": made(),
    "ready after a start": made(),
}
VIOLATIONS["withdrawn keys"].withdrawn_at["one"] = 100.5
VIOLATIONS["one holder"].held_twice.append("bucket 1")
VIOLATIONS["ends in time"].ends["instance-1"].append(12.0)
VIOLATIONS["recovery"].recovered_after = None
VIOLATIONS["ready after a start"].not_ready.append("instance-1")


class TestChecks:
    """Each check reports a planted violation."""

    @pytest.mark.parametrize("name", list(checks.CHECKS))
    def test_planted(self, name: str) -> None:
        """Only the check of the violated guarantee reports it."""
        found = [
            other
            for other in checks.CHECKS
            if list(checks.CHECKS.get(other)(VIOLATIONS[name]))
        ]
        assert found == [name]

    def test_disturbed_instance_is_excused(self) -> None:
        """A request lost by a killed instance is no violation."""
        lost = VIOLATIONS["no request is lost"]
        excused = record.Record(
            seen=lost.seen,
            upstreams=lost.upstreams,
            rate=lost.rate,
            recovered_after=1.0,
            disturbed=[
                record.Disturbed(instance="instance-1", begin=99.0, end=101.0)
            ],
        )
        assert not list(checks.check_lost(excused))


async def async_echo(
    request: http_server.ServerRequest,
) -> http_server.ServerAnswer:
    """Respond with the path of the request."""
    return http_server.ServerAnswer(status=200, body=request.path.encode())


async def async_through(*modes: proxy.Mode) -> list[str]:
    """Return the results of calls on one connection, one per mode."""
    server = http_server.HttpServer(async_echo)
    await server.async_listen(processes.HOST, 0)
    found = []
    async with (
        proxy.async_proxy(server.port) as link,
        http_client.async_open(processes.HOST, link.port) as client,
    ):
        for mode in modes:
            link.set_mode(mode, delay=0.01)
            try:
                async with asyncio.timeout(0.5):
                    answer = await client.async_call("GET", "/a")
                found.append(str(answer.status))
            except (OSError, TimeoutError) as error:
                found.append(type(error).__name__)
    server.close()
    return found


class TestProxy:
    """Behaviour of the proxy in each mode."""

    def test_modes(self) -> None:
        """Responses are forwarded, delayed or dropped, or a reset occurs."""
        modes = proxy.Mode
        found = asyncio.run(
            async_through(
                modes.PASS,
                modes.DELAY,
                modes.SILENT,
                modes.PASS,
                modes.ONE_WAY,
                modes.RESET,
                modes.PASS,
            )
        )
        assert found[:3] == ["200", "200", "TimeoutError"]
        assert found[3:5] == ["200", "TimeoutError"]
        assert found[5].startswith("Connection")
        assert found[6] == "200"


class TestEpisode:
    """A short episode with a fixed seed violates no guarantee."""

    @pytest.mark.parametrize("seed", [1])
    def test_seed(self, seed: int) -> None:
        """Real processes pass all checks under a few seconds of faults."""
        done = subprocess.run(
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
        assert done.returncode == 0, done.stdout + done.stderr
