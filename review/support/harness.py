"""Small deployment on loopback: instances, stand-ins and a record."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import h11

from dragonflyshelf.runtime import http_client

HOST = "127.0.0.1"
PORTS = range(20000, 32000)
ROOT = pathlib.Path(__file__).resolve().parents[2]
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
READY_SECONDS = 20.0
STOP_SECONDS = 10.0
BOUNDS = {
    "ConfigApplyS": 2,
    "ContactS": 3,
    "DrainS": 2,
    "GraceS": 6,
    "HoldMaxS": 10,
    "RevokeS": 5,
    "RetryBudgetRatio": 0.2,
    "RetryBudgetSlack": 56,
    "BudgetWindowS": 10,
}
"""Bounds of the small deployments of the pages."""

SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")


class Record:
    """Appends events to ``record.txt`` of a case, with their time."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Create an empty record."""
        self._path = folder / "record.txt"
        self._path.write_text("", encoding="utf-8")
        self._started_at = time.monotonic()

    def add(self, event: str, **fields: Any) -> None:
        """Append an event."""
        seconds = round(time.monotonic() - self._started_at, 3)
        line = json.dumps({"s": seconds, "event": event, **fields})
        with self._path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")


def is_troubled() -> bool:
    """Return whether the disruption of the case is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_ports(count: int, host: str = HOST) -> list[int]:
    """Return unused ports, none of those that clients' sockets get."""
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            port = random.choice(PORTS)
            bound = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                bound.bind((host, port))
                ports.append(port)
    return ports


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the platform does."""

    def look_up(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        return value

    def fill_section(match: re.Match[str]) -> str:
        return match.group(2) if look_up(match.group(1)) else ""

    def fill(match: re.Match[str]) -> str:
        value = look_up(match.group(1))
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(fill, SECTION.sub(fill_section, template))


class Instance:
    """One instance, started with the command of the deploy file."""

    def __init__(
        self, name: str, zone: str, store_port: int, folder: pathlib.Path
    ) -> None:
        """Write the settings file, filled in from the template."""
        self.name = name
        front, ready, relay, metrics = find_free_ports(4)
        self.port = front
        self.ready_port = ready
        self._log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.ini"
        template = (ROOT / "deploy/settings.ini").read_text(encoding="utf-8")
        fields = {
            "NodeName": name,
            "Zone": zone,
            "Region": "loop",
            "Limits": {"CpuShare": 0.86, "Cores": 1, "LinkMbps": 1000.0},
            "Listen": {
                "Front": f"{HOST}:{front}",
                "ReadyAddr": f"{HOST}:{ready}",
            },
            "InternalPorts": [relay, metrics],
            "Platform": {"Address": f"{HOST}:{store_port}"},
            "Bounds": BOUNDS,
        }
        self._settings_path.write_text(
            render(template, fields), encoding="utf-8"
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        path = os.pathsep.join((str(ROOT / "target/deps"), str(ROOT)))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": path,
            "DRAGONFLYSHELF_NODE_FILE": str(self._settings_path),
        }
        with self._log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "dragonflyshelf.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log_file,
                stderr=log_file,
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def stop(self) -> None:
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        if self.process is None:
            return
        try:
            self.process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def read_events(self) -> list[str]:
        """Return the events that the instance has logged."""
        events = []
        for line in self._log_path.read_text(encoding="utf-8").splitlines():
            with contextlib.suppress(ValueError):
                events.append(str(json.loads(line).get("event")))
        return events

    async def async_wait_ready(self) -> None:
        """Wait until the instance says that it is ready."""
        async with asyncio.timeout(READY_SECONDS):
            while (await async_call(self.ready_port, "/-/readyz")).status:
                answer = await async_call(self.ready_port, "/-/readyz")
                if answer.status == 200:
                    return
                await asyncio.sleep(0.05)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Answer to a request; ``status`` is -1 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


async def async_call(
    port: int,
    path: str,
    headers: abc.Mapping[str, str] | None = None,
    method: str = "GET",
    body: bytes = b"",
    timeout: float = 4.0,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    fields = {"host": "a.b", **(headers or {})}
    try:
        async with (
            asyncio.timeout(timeout),
            http_client.async_open(HOST, port) as client,
        ):
            response = await client.async_call(
                method, path, body, tuple(fields.items())
            )
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        return Answer(status=-1, headers={}, body=repr(error).encode())
    return Answer(
        status=response.status,
        headers={
            name.decode(): value.decode("latin-1")
            for name, value in response.headers
        },
        body=response.body,
    )


@contextlib.contextmanager
def run_instances(
    store_ports: abc.Sequence[int], zones: abc.Sequence[str]
) -> abc.Iterator[list[Instance]]:
    """Run one instance for each store port; end all of them after."""
    folder = pathlib.Path(tempfile.mkdtemp())
    instances = [
        Instance(f"front-{zone}-{number}", zone, port, folder)
        for number, (port, zone) in enumerate(zip(store_ports, zones), 1)
    ]
    try:
        for instance in instances:
            instance.start()
        yield instances
    finally:
        for instance in instances:
            instance.stop()
        shutil.rmtree(folder, ignore_errors=True)


def run(async_case: abc.Callable[[Record], Any], file: str) -> None:
    """Run a case and exit with its result."""
    folder = pathlib.Path(file).resolve().parent
    record = Record(folder)
    try:
        is_broken = asyncio.run(async_case(record))
    except Exception as error:
        record.add("could not run", error=repr(error))
        sys.exit(EXIT_NOT_RUN)
    record.add("result", broken=is_broken)
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
