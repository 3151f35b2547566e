"""One connection of an upstream stand-in."""

import asyncio
from collections import abc
import json
import time
import typing

import h11
import msgspec

from stand_ins import account
from stand_ins import load

if typing.TYPE_CHECKING:
    from stand_ins import upstream

STATUS_CONFLICT = 409
STATUS_DEADLINE = 504
STATUS_FAILED = 500
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
CONTROL_PREFIX = "/_"
HEADER_DEADLINE = b"x-deadline-ms"
HEADER_INSTANCE = b"x-router-instance"
HEADER_OUTCOME = b"x-outcome"
NOT_RUN = ((HEADER_OUTCOME, b"not-run"),)
REPORTS = frozenset({"/health", "/load"})
ROUTER_PREFIX = "/_router/"

Headers = tuple[tuple[bytes, bytes], ...]


class UpstreamConnection(asyncio.Protocol):
    """One connection; requests on it run one after the other."""

    def __init__(self, state: "upstream.UpstreamStandIn") -> None:
        """Create the protocol."""
        self._state = state
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._running = False
        self._timer: asyncio.TimerHandle | None = None
        self._one_way = 0.0
        self.controls = False
        self.silent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]
        state = self._state
        state.connections.add(self)
        state.counts.connections = len(state.connections)
        state.counts.most_connections = max(
            state.counts.most_connections, len(state.connections)
        )

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the transport; what runs is cancelled."""
        self._transport = None
        self._state.connections.discard(self)
        self._state.counts.connections = len(self._state.connections)
        if self._running:
            self._state.counts.cancelled += 1
            self._end_run()

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        if self.silent:
            return
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
        is_control = target.startswith(CONTROL_PREFIX) or target in REPORTS
        if target.startswith(ROUTER_PREFIX) or not is_control:
            self._one_way = self._delay_of(self._head)
            self._later(self._one_way, self._handle)
            return
        self.controls = True
        self._handle()

    def _handle(self) -> None:
        if self._transport is None:
            return
        assert self._head is not None
        state = self._state
        if state.faults.frozen and not self.controls:
            state.held.append(self._handle)
            return
        target = self._head.target.decode()
        if target.startswith(CONTROL_PREFIX) or target in REPORTS:
            status, value = state.control(target, bytes(self._body))
            self._answer(status, msgspec.json.encode(value))
            return
        self._start_run()

    def _start_run(self) -> None:
        assert self._head is not None
        state = self._state
        now = time.monotonic()
        run = account.describe(
            self._head, bytes(self._body), state.name, time.time()
        )
        remaining = self._remaining(self._head)
        if remaining <= 0:
            state.counts.deadlines += 1
            self._refuse(STATUS_DEADLINE, "deadline has passed")
            return
        if not state.fences.allows(run, now):
            state.counts.fenced_off += 1
            self._refuse(STATUS_CONFLICT, "fence is not valid")
            return
        verdict = state.load.arrive(now)
        if verdict is load.Verdict.RUN:
            self._run(run, state.load.service_time(now), remaining)
        elif verdict is load.Verdict.FAILED:
            state.counts.toppled += 1
            self._answer(STATUS_FAILED, b'{"message": "toppled"}')
        elif verdict is load.Verdict.SHED:
            state.counts.shed += 1
            self._refuse(STATUS_UNAVAILABLE, "no slot is free")
        else:
            state.counts.refused_draining += 1
            self._refuse(STATUS_UNAVAILABLE, "draining")

    def _run(self, run: account.Run, needed: float, remaining: float) -> None:
        state = self._state
        state.record(run)
        state.load.in_flight += 1
        self._running = True
        counts = state.counts
        counts.in_flight = state.load.in_flight
        counts.most_in_flight = max(counts.most_in_flight, counts.in_flight)
        if needed > remaining:
            self._later(remaining, self._miss_deadline)
            return
        body = {"upstream": state.name, "request_id": run.request_id}
        data = json.dumps(body).encode()
        self._later(needed, lambda: self._finish(data))

    def _finish(self, data: bytes) -> None:
        if self._transport is None:
            return
        if self._state.faults.frozen:
            self._state.held.append(lambda: self._finish(data))
            return
        self._end_run()
        self._state.counts.answered += 1
        self._later(self._one_way, lambda: self._answer(STATUS_OK, data))

    def _miss_deadline(self) -> None:
        if self._transport is None:
            return
        self._end_run()
        self._state.counts.deadlines += 1
        self._answer(STATUS_DEADLINE, b'{"message": "deadline"}')

    def _end_run(self) -> None:
        self._running = False
        if self._timer is not None:
            self._timer.cancel()
        self._state.load.in_flight -= 1
        self._state.counts.in_flight = self._state.load.in_flight

    def _later(self, delay: float, action: abc.Callable[[], None]) -> None:
        if not delay:
            action()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, action)

    def _delay_of(self, head: h11.Request) -> float:
        faults = self._state.faults
        if not faults.one_way_by_instance:
            return faults.one_way
        instance = dict(head.headers).get(HEADER_INSTANCE, b"").decode()
        return faults.one_way_by_instance.get(instance, faults.one_way)

    def _remaining(self, head: h11.Request) -> float:
        text = dict(head.headers).get(HEADER_DEADLINE, b"")
        return int(text) / 1000 if text.isdigit() else float("inf")

    def _refuse(self, status: int, text: str) -> None:
        body = json.dumps({"message": text}).encode()
        self._answer(status, body, NOT_RUN)

    def _answer(self, status: int, body: bytes, extra: Headers = ()) -> None:
        if self._transport is None or self.silent:
            return
        response = h11.Response(
            status_code=status,
            headers=[
                (b"content-type", b"application/json"),
                (b"content-length", b"%d" % len(body)),
                *extra,
            ],
        )
        assert self._head is not None
        data = self._http.send(response) or b""
        if self._head.method != b"HEAD":
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._transport.write(self._spoil(data))
        if self._http.our_state is h11.MUST_CLOSE:
            self._transport.close()
            return
        self._http.start_next_cycle()
        asyncio.get_running_loop().call_soon(self._advance)

    def _spoil(self, data: bytes) -> bytes:
        faults, count = self._state.faults, self._state.counts.answered
        if self.controls or not count:
            return data
        if faults.cut_every and count % faults.cut_every == 0:
            assert self._transport is not None
            self._transport.write(data[: len(data) // 2])
            self._transport.close()
            return b""
        if faults.double_every and count % faults.double_every == 0:
            return data + data
        if faults.mute_every and count % faults.mute_every == 0:
            self.silent = True
            return b""
        return data
