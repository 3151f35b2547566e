"""Tests of statements against one instance over a loopback socket."""

import asyncio
from collections import abc
import contextlib
import dataclasses
from typing import Any

import pytest

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime.operators import access
from dragonflyshelf.runtime.operators import client
from dragonflyshelf.runtime.platform import kinds
from dragonflyshelf.runtime.platform import memory
from dragonflyshelf.runtime import server

CREATE = "create workspace w rate 1 burst 1"
HOST = "127.0.0.1"
KIND = states.ObjectKind.WORKSPACE
TOKENS = {"reader": "read-token", "writer": "write-token"}


class Faults:
    """Faults of the platform for the workspaces' updates."""

    def __init__(self) -> None:
        """Create no faults."""
        self.lose_answers = 0
        self.lose_reads = False
        self.before_put: abc.Callable[[], None] = lambda: None
        self.after_lost: abc.Callable[[], None] = lambda: None


class FaultyClient(memory.MemoryClient):
    """Client whose answers to updates of workspaces can be lost."""

    def __init__(self, shared: memory.SharedStore, faults: Faults) -> None:
        """Create a client of a store of the test."""
        super().__init__(shared)
        self._faults = faults

    async def async_get(
        self, kind: states.ObjectKind, name: ids.ObjectName
    ) -> Any:
        """Return an object unless reads are lost."""
        if self._faults.lose_reads:
            raise errors.PlatformUnavailable("the answer is lost")
        return await super().async_get(kind, name)

    async def async_put(
        self,
        kind: states.ObjectKind,
        name: ids.ObjectName,
        expected: ids.Version,
        write_id: ids.WriteId,
        value: object,
    ) -> ids.Version:
        """Change an object and perhaps lose the answer."""
        if kind is KIND:
            self._faults.before_put()
        version = await super().async_put(
            kind, name, expected, write_id, value
        )
        if kind is KIND and self._faults.lose_answers:
            self._faults.lose_answers -= 1
            self._faults.after_lost()
            raise errors.PlatformUnavailable("the answer is lost")
        return version


@dataclasses.dataclass(kw_only=True)
class Site:
    """One instance, its store and the faults of it."""

    shared: memory.SharedStore
    faults: Faults
    port: int

    async def async_run(self, text: str, token: str = "") -> Any:
        """Send one statement as an operator would."""
        async with client.async_open(HOST, self.port, token) as operator:
            return await operator.async_run(text)

    async def async_code(self, text: str, token: str = "") -> str:
        """Return the code of the error of a statement."""
        return (await self.async_error(text, token)).code

    async def async_error(self, text: str, token: str = "") -> Any:
        """Return the error of a statement."""
        with pytest.raises(client.StatementFailed) as caught:
            await self.async_run(text, token)
        return caught.value.answer

    def put(self, name: str, value: Any, kind: Any = KIND) -> None:
        """Change an object as somebody else would."""
        present = self.shared.objects.get(kind, name)
        version = present.version if present else 0
        self.shared.objects.put(kind, name, version, "other", value)
        self.shared.wake()

    def value(self, name: str) -> Any:
        """Return the plain value of a workspace."""
        return self.shared.objects.get(KIND, name).value


def workspace(rate: float) -> dict[str, Any]:
    """Return a plain workspace w."""
    return {"name": "w", "rate": rate, "burst": 1.0, "weight": 1.0}


@contextlib.asynccontextmanager
async def async_site(
    monkeypatch: pytest.MonkeyPatch, operators: dict[str, str] | None = None
) -> abc.AsyncIterator[Site]:
    """Run an instance with a faulty platform in its memory."""
    shared = memory.SharedStore()
    faults = Faults()
    monkeypatch.setitem(
        kinds.PLATFORM_KINDS._by_key,
        settings.PlatformKind.MEMORY,
        lambda config: FaultyClient(shared, faults),
    )
    config = settings.Settings(
        instance=settings.InstanceSettings(name="i1", data_centre="a"),
        listen=settings.ListenSettings(
            caller_port=0, peer_port=0, operator_port=0
        ),
        membership=settings.MembershipSettings(lease=600.0),
        operators=operators or {},
    )
    async with server.async_serving(config) as running:
        site = Site(shared=shared, faults=faults, port=running.operators.port)
        while not shared.objects.list(frozenset({states.ObjectKind.ROSTER})):
            await asyncio.sleep(0.01)
        yield site


def run(
    monkeypatch: pytest.MonkeyPatch,
    body: abc.Callable[[Site], abc.Awaitable[None]],
    operators: dict[str, str] | None = None,
) -> None:
    """Run the body of a test against a site."""

    async def async_body() -> None:
        async with async_site(monkeypatch, operators) as site:
            await body(site)

    asyncio.run(async_body())


class TestLostAnswers:
    """A lost answer is resolved before the operator hears anything."""

    def test_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An update whose answer was lost once is accepted once."""

        async def async_body(site: Site) -> None:
            site.faults.lose_answers = 1
            answer = await site.async_run(CREATE)
            stored = site.shared.objects.get(KIND, "w")
            assert answer.version == stored.version
            assert len(stored.write_ids) == 1

        run(monkeypatch, async_body)

    def test_overwritten(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An own update is recognised below another operator's."""

        async def async_body(site: Site) -> None:
            site.faults.lose_answers = 1
            site.faults.after_lost = lambda: site.put("w", workspace(7.0))
            answer = await site.async_run(CREATE)
            assert answer.command.startswith("create workspace w")
            assert site.value("w")["rate"] == 7.0

        run(monkeypatch, async_body)

    def test_unknown(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """What cannot be resolved is told as unknown."""

        async def async_body(site: Site) -> None:
            site.faults.lose_answers = 1
            site.faults.lose_reads = True
            error = await site.async_error(CREATE)
            assert error.code == errors.ResultUnknown.code
            assert error.outcome == states.Outcome.UNKNOWN.value

        run(monkeypatch, async_body)

    def test_dropped_after(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An update that may have run before a drop is no conflict."""

        async def async_body(site: Site) -> None:
            await site.async_run(CREATE)
            site.faults.lose_answers = 1
            site.faults.after_lost = lambda: site.put("w", None)
            error = await site.async_error("alter workspace w rate 3")
            assert error.code == errors.ResultUnknown.code
            assert error.outcome == states.Outcome.UNKNOWN.value

        run(monkeypatch, async_body)


class TestRaces:
    """Of two operators who race on an object, one wins."""

    def test_conflict(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The loser gets a coded conflict with the present version."""

        async def async_body(site: Site) -> None:
            await site.async_run(CREATE)

            def overtake() -> None:
                site.faults.before_put = lambda: None
                site.put("w", workspace(7.0))

            site.faults.before_put = overtake
            error = await site.async_error("alter workspace w rate 3")
            present = site.shared.objects.get(KIND, "w").version
            assert error.code == errors.VersionConflict.code
            assert f"version {present} now" in error.message
            assert site.value("w")["rate"] == 7.0

        run(monkeypatch, async_body)


class TestAccess:
    """Roles bound what an operator may do."""

    OPERATORS = {
        "reader": f"read:{http.digest_key(TOKENS['reader'].encode())}",
        "writer": f"change:{http.digest_key(TOKENS['writer'].encode())}",
    }

    def test_roles(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A reader may ask; only a writer may change."""

        async def async_body(site: Site) -> None:
            reader, writer = TOKENS["reader"], TOKENS["writer"]
            refused = errors.OperatorRefused.code
            assert await site.async_code("show services") == refused
            assert await site.async_code("show services", "x") == refused
            assert await site.async_code(CREATE) == refused
            await site.async_run("show services", reader)
            code = await site.async_code(CREATE, reader)
            assert code == errors.RoleMissing.code
            await site.async_run(CREATE, writer)
            answer = await site.async_run("show members everywhere", reader)
            assert not answer.missing

        run(monkeypatch, async_body, self.OPERATORS)

    def test_none_on_open_address(self) -> None:
        """Without operators only a loopback listener serves statements."""
        config = settings.Settings(
            instance=settings.InstanceSettings(name="i1", data_centre="a"),
            listen=settings.ListenSettings(host="0.0.0.0"),
        )
        with pytest.raises(errors.OperatorRefused):
            access.authenticate(config, {})


class TestSecrets:
    """A caller key is in the answer to its grant and nowhere else."""

    def test_grant(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """No table and no stored object has the key."""

        async def async_body(site: Site) -> None:
            await site.async_run(CREATE)
            answer = await site.async_run("grant key k to w")
            key = answer.caller_key
            stored = site.shared.objects.get(states.ObjectKind.CALLER_KEY, "k")
            assert stored.value["digest"] == http.digest_key(key.encode())
            assert key not in str(stored)
            for table in ("caller_keys", "timeline"):
                shown = await site.async_run(f"show {table}")
                assert "grant key k" in str(shown) or table != "timeline"
                assert key not in str(shown)
                assert stored.value["digest"] not in str(shown)

        run(monkeypatch, async_body)


class TestWait:
    """Waiting ends when every member has applied the version."""

    def test_in_force(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The answer lists each instance with its version."""

        async def async_body(site: Site) -> None:
            accepted = await site.async_run(CREATE)
            answer = await site.async_run("wait for workspace w")
            assert [row[:2] for row in answer.rows] == [
                ("i1", accepted.version)
            ]

        run(monkeypatch, async_body)

    def test_missing(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An instance that does not answer is named."""

        async def async_body(site: Site) -> None:
            await site.async_run(CREATE)
            member = membership.Member(
                instance="gone",
                incarnation=1,
                host=HOST,
                peer_port=1,
                operator_port=1,
            )
            site.put(
                "z",
                {
                    "data_centre": "z",
                    "members": [dataclasses.asdict(member)],
                },
                states.ObjectKind.ROSTER,
            )
            shown = "show members where instance = gone"
            while not (await site.async_run(shown)).rows:
                await asyncio.sleep(0.01)
            error = await site.async_error("wait for workspace w timeout 0.3")
            assert error.code == errors.NotInForce.code
            assert "gone" in error.message
            assert [one.instance for one in error.missing] == ["gone"]

        run(monkeypatch, async_body)

    def test_not_yet(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A version that nobody has is not in force."""

        async def async_body(site: Site) -> None:
            code = await site.async_code(
                "wait for workspace w version 999999 timeout 0.1"
            )
            assert code == errors.NotInForce.code

        run(monkeypatch, async_body)
