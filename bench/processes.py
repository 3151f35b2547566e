"""Instances as real processes on loopback, and calls to them."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Final

import h11

from dragonflyshelf.runtime import http_client

DATA_CENTRES: Final = ("a", "b", "c")
DEADLINE_MS: Final = 3000
HOST: Final = "127.0.0.1"
LOG_END_CHARS: Final = 2000
READY_SECONDS: Final = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ports:
    """Loopback ports of one instance."""

    callers: int
    ready: int
    relay: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A response; ``status`` is the error type if there was none."""

    status: str
    seal: str = ""
    body: bytes = b""


class Instance:
    """One instance, which can be restarted on the same ports."""

    def __init__(
        self, number: int, store_port: int, folder: pathlib.Path
    ) -> None:
        """Write the settings file; ``start`` starts the process."""
        self.name = f"instance-{number}"
        self.ports = Ports(
            **dict(zip(("callers", "ready", "relay"), free_ports(3)))
        )
        self._settings = folder / f"{self.name}.ini"
        self._log = folder / f"{self.name}.log"
        self._settings.write_text(
            f"[instance]\nname = {self.name}\n"
            f"data_centre = {DATA_CENTRES[number % len(DATA_CENTRES)]}\n"
            f"[entry]\ncallers = {HOST}:{self.ports.callers}\n"
            f"ready = {HOST}:{self.ports.ready}\n"
            f"relay_port = {self.ports.relay}\n"
            f"[store]\naddress = {HOST}:{store_port}\n"
            "[shutdown]\nsettle = 0.2\ndeadline = 4\n",
            encoding="utf-8",
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "dragonflyshelf",
                    "serve",
                    str(self._settings),
                ],
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def async_end(self, seconds: float) -> bool:
        """Wait for the process to exit; return whether it has exited."""
        assert self.process is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while self.is_running:
                    await asyncio.sleep(0.02)
        return not self.is_running

    async def async_wait_ready(self, seconds: float = READY_SECONDS) -> None:
        """Wait until the instance reports that it is ready.

        Raises ``TimeoutError`` with the tail of the instance's log.
        """
        try:
            async with asyncio.timeout(seconds):
                while not await self._async_is_ready():
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            end = self._log.read_text(encoding="utf-8")[-LOG_END_CHARS:]
            raise TimeoutError(
                f"{self.name} did not become ready; end of its log: {end}"
            ) from error

    async def _async_is_ready(self) -> bool:
        found = await async_call(self.ports.ready, "/-/readyz", {})
        return found.status == "200"


def free_ports(count: int) -> list[int]:
    """Return unused ports."""
    with contextlib.ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in found:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in found]


@contextlib.contextmanager
def running(
    store_ports: abc.Sequence[int], folder: pathlib.Path
) -> abc.Iterator[list[Instance]]:
    """Run one instance per store port; stop them all at the end."""
    made = [
        Instance(number, store_port, folder)
        for number, store_port in enumerate(store_ports)
    ]
    try:
        for one in made:
            one.start()
        yield made
    finally:
        _end_all(made)


def _end_all(instances: list[Instance]) -> None:
    for one in instances:
        one.send(signal.SIGCONT)
        one.send(signal.SIGTERM)
    for one in instances:
        if one.process is None:
            continue
        try:
            one.process.wait(READY_SECONDS)
        except subprocess.TimeoutExpired:
            one.process.kill()
            one.process.wait()


async def async_call(
    port: int, path: str, headers: dict[str, str], method: str = "GET"
) -> Answer:
    """Send a request on a new connection and return its response."""
    try:
        async with (
            asyncio.timeout(DEADLINE_MS / 1000 + 1),
            http_client.async_open(HOST, port) as client,
        ):
            answer = await client.async_call(
                method, path, headers=(("host", "a.b"), *headers.items())
            )
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        return Answer(status=type(error).__name__)
    found = dict(answer.headers)
    return Answer(
        status=str(answer.status),
        seal=found.get(b"response-seal", b"").decode(),
        body=answer.body,
    )
