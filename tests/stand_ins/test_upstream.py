"""Tests of the upstream stand-in over a socket."""

import asyncio
import json

import pytest

from dragonflyshelf.runtime import http_client
from stand_ins import load
from tests.stand_ins import conftest


class TestAccount:
    """Every run is in the account, with what came with it."""

    def test_run_is_recorded(self) -> None:
        """A request that is answered has a run of its id."""

        async def async_check() -> None:
            async with conftest.async_upstream(load.Faults()) as opened:
                state, client, _ = opened
                await client.async_call(
                    "POST", "/s/k", headers=(("x-request-id", "r1"),)
                )
                assert [run.request_id for run in state.runs] == ["r1"]
                assert not state.runs[0].saw_caller_key

        asyncio.run(async_check())

    @pytest.mark.parametrize(
        "headers, body",
        [
            ((("x-caller-key", "x"),), b""),
            ((("authorization", "Bearer x"),), b""),
            ((), b"bench-caller-key-1"),
        ],
    )
    def test_caller_key_is_seen(
        self, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """A caller key anywhere in the request is noticed."""

        async def async_check() -> None:
            async with conftest.async_upstream(load.Faults()) as opened:
                state, client, _ = opened
                await client.async_call("POST", "/s/k", body, headers)
                assert state.runs[0].saw_caller_key

        asyncio.run(async_check())


class TestRefusals:
    """A refusal says that nothing ran, and nothing did."""

    @pytest.mark.parametrize(
        "faults, fenced, status",
        [
            (load.Faults(draining=True), False, 503),
            (load.Faults(), True, 409),
        ],
    )
    def test_not_run(
        self, faults: load.Faults, fenced: bool, status: int
    ) -> None:
        """Draining and a missing grant are refused."""

        async def async_check() -> None:
            async with conftest.async_upstream(faults, fenced) as opened:
                state, client, _ = opened
                answer = await client.async_call("GET", "/s/k")
                assert answer.status == status
                assert dict(answer.headers)[b"x-outcome"] == b"not-run"
                assert not state.runs

        asyncio.run(async_check())

    def test_deadline_has_passed(self) -> None:
        """A request without time left does not run."""

        async def async_check() -> None:
            async with conftest.async_upstream(load.Faults()) as opened:
                state, client, _ = opened
                answer = await client.async_call(
                    "GET", "/s/k", headers=(("x-deadline-ms", "0"),)
                )
                assert answer.status == 504
                assert not state.runs

        asyncio.run(async_check())


class TestFrozen:
    """A frozen upstream goes on later as if nothing had happened."""

    def test_held_until_resumed(self) -> None:
        """The answer comes once the freeze is over."""

        async def async_check() -> None:
            async with conftest.async_upstream(
                load.Faults(frozen=True)
            ) as opened:
                state, client, _ = opened
                call = asyncio.create_task(client.async_call("GET", "/s/k"))
                while not state.held:
                    await asyncio.sleep(0)
                state.set_faults(b'{"frozen": false}')
                assert (await call).status == 200

        asyncio.run(async_check())


class TestSilence:
    """Connections that went silent stay so; new ones work."""

    def test_only_present_connections(self) -> None:
        """A new connection is answered."""

        async def async_check() -> None:
            async with conftest.async_upstream(load.Faults()) as opened:
                state, client, port = opened
                await client.async_call("GET", "/s/k")
                (old,) = state.connections
                state.control("/_silence", b"")
                assert old.silent
                async with http_client.async_open(
                    conftest.HOST, port
                ) as other:
                    answer = await other.async_call("GET", "/s/k")
                    assert json.loads(answer.body)["upstream"] == "one"

        asyncio.run(async_check())


class TestCancellation:
    """A caller that goes away ends the run."""

    def test_counted(self) -> None:
        """The run stays in the account and counts as cancelled."""

        async def async_check() -> None:
            async with conftest.async_upstream(
                load.Faults(delay=60.0)
            ) as opened:
                state, client, _ = opened
                call = asyncio.create_task(client.async_call("GET", "/s/k"))
                while not state.runs:
                    await asyncio.sleep(0)
                call.cancel()
                while not state.counts.cancelled:
                    await asyncio.sleep(0)
                assert state.load.in_flight == 0

        asyncio.run(async_check())
