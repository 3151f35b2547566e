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
LOG_TAIL_CHAR_COUNT: Final = 2000
READY_SECONDS: Final = 20.0
PROMISED_CHANGE_SECONDS: Final = 2.5
"""Time in which an instance acts on a change in the store."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ports:
    """Loopback ports of one instance."""

    callers: int
    ready: int
    relay: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
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
            **dict(zip(("callers", "ready", "relay"), find_free_ports(3)))
        )
        self._settings_path = folder / f"{self.name}.ini"
        self._log_path = folder / f"{self.name}.log"
        self._settings_path.write_text(
            f"[instance]\nname = {self.name}\n"
            f"data_centre = {DATA_CENTRES[number % len(DATA_CENTRES)]}\n"
            f"[entry]\ncallers = {HOST}:{self.ports.callers}\n"
            f"ready = {HOST}:{self.ports.ready}\n"
            f"relay_port = {self.ports.relay}\n"
            f"[store]\naddress = {HOST}:{store_port}\n"
            "[shutdown]\nsettle = 0.2\ndeadline = 4\n"
            f"[promises]\napply = {PROMISED_CHANGE_SECONDS}\n"
            f"drain = {PROMISED_CHANGE_SECONDS}\n",
            encoding="utf-8",
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self._log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "dragonflyshelf",
                    "serve",
                    str(self._settings_path),
                ],
                stdout=log_file,
                stderr=log_file,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(signal_number)

    async def async_wait_exit(self, timeout_seconds: float) -> bool:
        """Wait for the process to exit; return whether it has exited."""
        assert self.process is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while self.is_running:
                    await asyncio.sleep(0.02)
        return not self.is_running

    async def async_wait_ready(
        self, timeout_seconds: float = READY_SECONDS
    ) -> None:
        """Wait until the instance reports that it is ready.

        Raises ``TimeoutError`` with the tail of the instance's log.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                while not await self._async_is_ready():
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            log_tail = self._log_path.read_text(encoding="utf-8")[
                -LOG_TAIL_CHAR_COUNT:
            ]
            raise TimeoutError(
                f"{self.name} did not become ready; end of its log: {log_tail}"
            ) from error

    async def _async_is_ready(self) -> bool:
        response = await async_call(self.ports.ready, "/-/readyz", {})
        return response.status == "200"


def find_free_ports(count: int) -> list[int]:
    """Return unused ports."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for bound_socket in sockets:
            bound_socket.bind((HOST, 0))
        return [bound_socket.getsockname()[1] for bound_socket in sockets]


@contextlib.contextmanager
def run_instances(
    store_ports: abc.Sequence[int], folder: pathlib.Path
) -> abc.Iterator[list[Instance]]:
    """Run one instance per store port; stop them all at the end."""
    instances = [
        Instance(number, store_port, folder)
        for number, store_port in enumerate(store_ports)
    ]
    try:
        for instance in instances:
            instance.start()
        yield instances
    finally:
        _stop_all(instances)


def _stop_all(instances: list[Instance]) -> None:
    for instance in instances:
        instance.send_signal(signal.SIGCONT)
        instance.send_signal(signal.SIGTERM)
    for instance in instances:
        if instance.process is None:
            continue
        try:
            instance.process.wait(READY_SECONDS)
        except subprocess.TimeoutExpired:
            instance.process.kill()
            instance.process.wait()


async def async_call(
    port: int, path: str, headers: dict[str, str], method: str = "GET"
) -> Response:
    """Send a request on a new connection and return its response."""
    try:
        async with (
            asyncio.timeout(DEADLINE_MS / 1000 + 1),
            http_client.async_open(HOST, port) as client,
        ):
            response = await client.async_call(
                method, path, headers=(("host", "a.b"), *headers.items())
            )
    except (OSError, TimeoutError, h11.ProtocolError) as error:
        return Response(status=type(error).__name__)
    headers_by_name = dict(response.headers)
    return Response(
        status=str(response.status),
        seal=headers_by_name.get(b"response-seal", b"").decode(),
        body=response.body,
    )
