"""Stand-in for an upstream: runs requests and keeps an account of them.

Control calls, all with JSON bodies:

* ``POST /_router/grants`` takes a ``fences.Grant`` and answers the start
  id, or 409 with the higher term it has seen;
* ``POST /_router/release`` ends the grants of some shards;
* ``GET /health`` and ``GET /load`` report, late or wrong if so set;
* ``GET /_account`` returns every run since the start;
* ``GET /_counts`` returns ``account.Counts``;
* ``POST /_faults`` sets the switches of ``load.Faults`` that it names;
* ``POST /_cold`` starts cold without a word: grants are forgotten;
* ``POST /_silence`` makes all present connections silent for good.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json
import time
from typing import BinaryIO

import defopt
import msgspec

from dragonflyshelf.core import registry
from stand_ins import account
from stand_ins import connection
from stand_ins import fences
from stand_ins import load

STATUS_CONFLICT = 409
STATUS_NOT_FOUND = 404
STATUS_OK = 200
REPORT_INTERVAL = 0.05
REPORTS_KEPT = 2000

Answer = tuple[int, object]
Control = abc.Callable[["UpstreamStandIn", bytes], Answer]
CONTROLS: registry.Registry[str, Control] = registry.Registry(
    "upstream control calls"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """What the health and load endpoints say, as of ``at``."""

    at: float
    in_flight: int
    draining: bool


class UpstreamStandIn:
    """State of the upstream that all connections share."""

    def __init__(
        self,
        name: str,
        fenced: bool,
        faults: load.Faults,
        seed: int = 0,
        journal: BinaryIO | None = None,
    ) -> None:
        """Create an upstream that has no grants."""
        self.name = name
        self._journal = journal
        self.faults = faults
        self.fences = fences.Fences(fenced)
        self.load = load.LoadModel(faults, seed, time.monotonic())
        self.runs: list[account.Run] = []
        self.counts = account.Counts()
        self.connections: set[connection.UpstreamConnection] = set()
        self.held: list[abc.Callable[[], None]] = []
        self.reports: list[Report] = []

    def set_faults(self, body: bytes) -> None:
        """Change the switches that a JSON object names."""
        merged = msgspec.to_builtins(self.faults) | json.loads(body)
        self.faults = msgspec.convert(merged, load.Faults)
        self.load.faults = self.faults
        if not self.faults.frozen:
            held, self.held = self.held, []
            for resume in held:
                resume()

    def record(self, run: account.Run) -> None:
        """Keep a run, in the journal first, which survives a kill."""
        if self._journal is not None:
            self._journal.write(msgspec.json.encode(run) + b"\n")
        self.runs.append(run)

    def control(self, target: str, body: bytes) -> Answer:
        """Carry out a control call."""
        if target not in CONTROLS:
            return STATUS_NOT_FOUND, None
        return CONTROLS.get(target)(self, body)

    def note_report(self) -> None:
        """Keep the present state for late reports."""
        self.reports.append(
            Report(
                at=time.monotonic(),
                in_flight=self.load.in_flight,
                draining=self.faults.draining,
            )
        )
        del self.reports[:-REPORTS_KEPT]

    def report(self) -> Report:
        """Return the state as of ``report_lag`` seconds ago."""
        wanted = time.monotonic() - self.faults.report_lag
        if self.faults.report_misleads or not self.reports:
            return Report(at=wanted, in_flight=0, draining=False)
        for one in reversed(self.reports):
            if one.at <= wanted:
                return one
        return self.reports[0]

    @CONTROLS.register("/_router/grants")
    def _grant(self, body: bytes) -> Answer:
        grant = msgspec.json.decode(body, type=fences.Grant)
        accepted = self.fences.grant(grant, time.monotonic())
        return self._fence_answer(accepted)

    @CONTROLS.register("/_router/release")
    def _release(self, body: bytes) -> Answer:
        release = msgspec.json.decode(body, type=fences.Release)
        return self._fence_answer(self.fences.release(release))

    def _fence_answer(self, accepted: bool) -> Answer:
        value = {
            "start_id": self.fences.start_id,
            "term": self.fences.term,
            "clock_ms": int(time.monotonic() * 1000),
        }
        return STATUS_OK if accepted else STATUS_CONFLICT, value

    @CONTROLS.register("/health")
    def _health(self, body: bytes) -> Answer:
        return STATUS_OK, {"draining": self.report().draining}

    @CONTROLS.register("/load")
    def _load(self, body: bytes) -> Answer:
        report = self.report()
        slots = self.faults.slots
        return STATUS_OK, {"in_flight": report.in_flight, "slots": slots}

    @CONTROLS.register("/_account")
    def _account(self, body: bytes) -> Answer:
        return STATUS_OK, self.runs

    @CONTROLS.register("/_counts")
    def _counts(self, body: bytes) -> Answer:
        return STATUS_OK, self.counts

    @CONTROLS.register("/_faults")
    def _faults(self, body: bytes) -> Answer:
        self.set_faults(body)
        return STATUS_OK, self.faults

    @CONTROLS.register("/_cold")
    def _cold(self, body: bytes) -> Answer:
        self.fences.reset()
        self.load.start_cold(time.monotonic())
        return STATUS_OK, None

    @CONTROLS.register("/_silence")
    def _silence(self, body: bytes) -> Answer:
        for one in self.connections:
            one.silent = not one.controls
        return STATUS_OK, None


async def async_main(state: UpstreamStandIn, host: str, port: int) -> None:
    """Serve until the process is ended."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: connection.UpstreamConnection(state), host, port
    )
    bound = server.sockets[0].getsockname()[1]
    print(f"upstream stand-in {state.name} listens on {bound}", flush=True)
    while True:
        state.note_report()
        await asyncio.sleep(REPORT_INTERVAL)


def main(
    *,
    name: str,
    port: int,
    host: str = "127.0.0.1",
    fenced: bool = True,
    delay: float = 0.0,
    faults: str = "{}",
    seed: int = 0,
    journal: str = "",
) -> None:
    """Run an upstream stand-in.

    :param name: name of the upstream
    :param port: port to bind
    :param host: address to bind
    :param fenced: whether it checks grants
    :param delay: mean time that each request takes, in seconds
    :param faults: JSON object of the switches that are on at the start
    :param seed: seed of the service times
    :param journal: file to which each run is appended, none if empty
    """
    with contextlib.ExitStack() as stack:
        opened = None
        if journal:
            opened = stack.enter_context(open(journal, "ab", buffering=0))
        state = UpstreamStandIn(
            name, fenced, load.Faults(delay=delay), seed, opened
        )
        state.set_faults(faults.encode())
        asyncio.run(async_main(state, host, port))


if __name__ == "__main__":
    defopt.run(main)
