"""Stand-in for an upstream: runs requests and keeps an account of them.

Control calls, all with JSON bodies:

* ``POST /_router/grants`` takes a ``Grant`` and answers the start id,
  or 409 with the higher term it has seen;
* ``POST /_router/release`` ends the grants of a term;
* ``GET /_account`` returns every run since the start;
* ``POST /_faults`` sets ``Faults``.
"""

import asyncio
import dataclasses
import json
import secrets
import time

import defopt
import h11
import msgspec

STATUS_CONFLICT = 409
STATUS_OK = 200
HEADER_OUTCOME = b"x-outcome"
NOT_RUN = b"not-run"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShardEpoch:
    """The epoch of one shard."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """A leader's right to send, for some shards, for ``ttl_ms``."""

    service: str
    instance: str
    term: int
    ttl_ms: int
    shards: tuple[ShardEpoch, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Release:
    """The end of the grants of one shard, or of all."""

    instance: str
    term: int
    shards: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One request that ran; ``at`` is wall-clock time in seconds."""

    request_id: str
    method: str
    target: str
    shard: int
    epoch: int
    term: int
    instance: str
    at: float


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Faults that are switched on; the delay is in seconds."""

    delay: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Granted:
    """The epoch of a shard and until when it may be served."""

    epoch: int
    until: float


class UpstreamStandIn:
    """State of the upstream that all connections share."""

    def __init__(self, name: str, fenced: bool, delay: float) -> None:
        """Create an upstream that has no grants."""
        self.name = name
        self.fenced = fenced
        self.start_id = secrets.token_hex(8)
        self.term = 0
        self.until = 0.0
        self.granted_by_shard: dict[int, Granted] = {}
        self.runs: list[Run] = []
        self.faults = Faults(delay=delay)

    def grant(self, grant: Grant) -> bool:
        """Take in a grant; return False for an old term."""
        if grant.term < self.term:
            return False
        self.term = grant.term
        self.until = time.monotonic() + grant.ttl_ms / 1000
        for one in grant.shards:
            present = self.granted_by_shard.get(one.shard)
            if present is None or present.epoch <= one.epoch:
                self.granted_by_shard[one.shard] = Granted(
                    epoch=one.epoch, until=self.until
                )
        return True

    def release(self, release: Release) -> bool:
        """Forget shards; return False for an old term."""
        if release.term < self.term:
            return False
        for shard in release.shards:
            self.granted_by_shard.pop(shard, None)
        return True

    def allows(self, run: Run) -> bool:
        """Tell whether the fence of a request is valid now."""
        if not self.fenced:
            return True
        now = time.monotonic()
        if run.term < self.term or now > self.until:
            return False
        if run.shard < 0:
            return True
        granted = self.granted_by_shard.get(run.shard)
        if granted is None:
            return False
        return granted.epoch == run.epoch and now <= granted.until


class UpstreamConnection(asyncio.Protocol):
    """One connection; requests on it run one after the other."""

    def __init__(self, state: UpstreamStandIn) -> None:
        """Create the protocol."""
        self._state = state
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the transport."""
        self._transport = None

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        self._http.receive_data(data)
        self._advance()

    def _advance(self) -> None:
        while self._transport is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                self._transport.close()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._head = event
                self._body = bytearray()
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._on_request()
            else:
                self._transport.close()
                return

    def _on_request(self) -> None:
        assert self._head is not None
        target = self._head.target.decode()
        if target.startswith("/_"):
            self._control(target)
            return
        delay = self._state.faults.delay
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._run)
            return
        self._run()

    def _run(self) -> None:
        if self._transport is None:
            return
        assert self._head is not None
        run = self._describe(self._head)
        if not self._state.allows(run):
            self._answer(
                STATUS_CONFLICT,
                b'{"message": "fence is not valid"}',
                ((HEADER_OUTCOME, NOT_RUN),),
            )
            return
        self._state.runs.append(run)
        body = {"upstream": self._state.name, "request_id": run.request_id}
        self._answer(STATUS_OK, json.dumps(body).encode())

    def _describe(self, head: h11.Request) -> Run:
        headers = dict(head.headers)
        return Run(
            request_id=headers.get(b"x-request-id", b"").decode(),
            method=head.method.decode(),
            target=head.target.decode(),
            shard=int(headers.get(b"x-router-shard", b"-1")),
            epoch=int(headers.get(b"x-router-epoch", b"0")),
            term=int(headers.get(b"x-router-term", b"0")),
            instance=headers.get(b"x-router-instance", b"").decode(),
            at=time.time(),
        )

    def _control(self, target: str) -> None:
        state = self._state
        body = bytes(self._body)
        ok = True
        value: object = None
        if target == "/_router/grants":
            ok = state.grant(msgspec.json.decode(body, type=Grant))
            value = {"start_id": state.start_id, "term": state.term}
        elif target == "/_router/release":
            ok = state.release(msgspec.json.decode(body, type=Release))
            value = {"start_id": state.start_id, "term": state.term}
        elif target == "/_account":
            value = state.runs
        elif target == "/_faults":
            state.faults = msgspec.json.decode(body, type=Faults)
        status = STATUS_OK if ok else STATUS_CONFLICT
        self._answer(status, msgspec.json.encode(value))

    def _answer(
        self,
        status: int,
        body: bytes,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        if self._transport is None:
            return
        response = h11.Response(
            status_code=status,
            headers=[
                (b"content-type", b"application/json"),
                (b"content-length", b"%d" % len(body)),
                *headers,
            ],
        )
        data = self._http.send(response) or b""
        assert self._head is not None
        if self._head.method != b"HEAD":
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._transport.write(data)
        if self._http.our_state is h11.MUST_CLOSE:
            self._transport.close()
            return
        self._http.start_next_cycle()
        asyncio.get_running_loop().call_soon(self._advance)


async def async_main(state: UpstreamStandIn, host: str, port: int) -> None:
    """Serve until the process is ended."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: UpstreamConnection(state), host, port
    )
    bound = server.sockets[0].getsockname()[1]
    print(f"upstream stand-in {state.name} listens on {bound}", flush=True)
    await asyncio.Event().wait()


def main(
    *,
    name: str,
    port: int,
    host: str = "127.0.0.1",
    fenced: bool = True,
    delay: float = 0.0,
) -> None:
    """Run an upstream stand-in.

    :param name: name of the upstream
    :param port: port to bind
    :param host: address to bind
    :param fenced: whether it checks grants
    :param delay: time that each request takes, in seconds
    """
    state = UpstreamStandIn(name, fenced, delay)
    asyncio.run(async_main(state, host, port))


if __name__ == "__main__":
    defopt.run(main)
