"""Frame of a case: the platform's store, processes, record and exit code."""

import asyncio
import contextlib
import os
import pathlib
import socket
import sys
import tempfile
import time
import traceback

import deployment

from stand_ins import store

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
MAX_SECONDS = 110.0


class Case:
    """What all cases share; ``has_trouble`` is false with ``TROUBLE=0``."""

    def __init__(self, folder):
        """Create the case of a folder."""
        self.folder = pathlib.Path(folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.lines = []
        self.events = []
        self.nodes = []
        self.targets = []
        self.store = None
        self.version = 0

    def note(self, text):
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def event(self, instant, text):
        """Add what was sent, answered or run at an instant."""
        self.events.append((instant, text))

    def note_answer(self, answer):
        """Add when a request was sent and how it was answered."""
        self.event(answer.sent_at, f"sent {answer.id}")
        result = answer.status or answer.error
        self.event(answer.ended_at, f"answered {answer.id}: {result}")

    def note_runs(self):
        """Add what the targets have run."""
        for target in self.targets:
            for run in target.runs:
                key = "" if run.key is None else f" key {run.key}"
                text = f"{run.target} runs {run.id}{key}"
                self.event(run.started_at, text)
                if run.ended_at < float("inf"):
                    self.event(run.ended_at, f"{run.target} ends {run.id}")

    def at(self, instant):
        """Return an instant in seconds since the start of the case."""
        return instant - self.started_at

    def write_record(self):
        """Write the notes, and then the events in order of time."""
        events = [
            f"{self.at(instant):8.3f} {text}"
            for instant, text in sorted(self.events)
        ]
        text = "".join(f"{line}\n" for line in [*self.lines, "", *events])
        (self.folder / "record.txt").write_text(text, encoding="utf-8")

    def put(self, kind, name, spec):
        """Write an object to the store, as the operator or a target does."""
        objects = self.store.objects
        try:
            objects.create(kind, name, spec)
        except Exception:
            objects.replace(kind, name, spec, None)
        self.store.notify_watches()

    def remove(self, kind, name):
        """Remove an object from the store."""
        self.store.objects.remove(kind, name)
        self.store.notify_watches()

    def register(self, target):
        """Write the entry of a target."""
        self.put("servers", target.name, target.entry())

    def configure(self, routes, services, limits=None):
        """Write the next version of the configuration."""
        self.version += 7
        spec = {
            "Version": f"r{self.version}",
            "Routes": table(routes),
            "Services": table(services),
        }
        if limits:
            spec["Limits"] = limits
        self.put("config", "main", spec)

    @contextlib.asynccontextmanager
    async def running(self, node_count, work_folder):
        """Run the store and the processes; end them all at the end."""
        self.store = store.StoreServer()
        await self.store.async_listen("127.0.0.1")
        address = f"127.0.0.1:{self.store.port}"
        try:
            hosts = [f"127.0.0.{11 + n}" for n in range(node_count)]
            ports = find_ports(hosts)
            for number, host in enumerate(hosts):
                node = deployment.Node(
                    name=f"front-{number + 1}",
                    zone=f"zone-{'abc'[number % 3]}",
                    host=host,
                    ports=ports,
                    store=address,
                    folder=pathlib.Path(work_folder),
                )
                self.nodes.append(node)
                node.start()
            yield
        finally:
            for node in self.nodes:
                node.stop()
            for target in self.targets:
                target.close()
            self.store.close()

    async def wait_ready(self):
        """Wait until all processes are ready."""
        await asyncio.gather(*(node.wait_ready() for node in self.nodes))


def table(records):
    """Return records as a table of columns and rows."""
    columns = sorted({name for record in records for name in record})
    rows = [[record.get(name) for name in columns] for record in records]
    return {"Columns": columns, "Rows": rows}


def find_ports(hosts, count=4):
    """Return ports that are free on all of these loopback addresses."""
    while True:
        with contextlib.ExitStack() as stack:
            sockets = [
                stack.enter_context(socket.socket()) for _ in range(count)
            ]
            for bound in sockets:
                bound.bind((hosts[0], 0))
            ports = [bound.getsockname()[1] for bound in sockets]
            try:
                for host in hosts[1:]:
                    for port in ports:
                        other = stack.enter_context(socket.socket())
                        other.bind((host, port))
            except OSError:
                continue
            return ports


def main(folder, run):
    """Run a case and exit with its result."""
    case = Case(folder)
    result = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as work_folder:
            try:
                result = asyncio.run(bounded(case, run, work_folder))
            finally:
                logs = os.environ.get("CASE_LOGS")
                if logs:
                    for node in case.nodes:
                        path = pathlib.Path(logs) / f"{node.name}.log"
                        path.write_text(node.read_log(), encoding="utf-8")
    except BaseException:
        case.note("could not run:\n" + traceback.format_exc())
        traceback.print_exc()
    case.note(f"exit {result}")
    case.note_runs()
    case.write_record()
    print("\n".join(case.lines[-12:]))
    sys.exit(result)


async def bounded(case, run, work_folder):
    """Run a case for a limited time."""
    async with asyncio.timeout(MAX_SECONDS):
        return await run(case, work_folder)


def find_shared_keys(all_targets):
    """Yield each grant of a key on which another target is at work.

    That is a grant to one target while another one works on a request with
    a key of it, and before the hold under which that one began has run out.
    """
    runs = [run for target in all_targets for run in target.runs]
    for target in all_targets:
        for call in target.calls:
            if call.kind != "grant":
                continue
            for run in runs:
                if run.target == target.name or run.key is None:
                    continue
                if not call.first <= run.key <= call.last:
                    continue
                if run.started_at < call.at < run.ended_at:
                    if call.at < run.hold_until:
                        yield call, run
