"""Processes of one experiment: stand-ins and instances on loopback."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile

import msgspec

from dragonflyshelf.runtime import http_client
from stand_ins import account
from stand_ins import platform_faults

HOST = "127.0.0.1"
LOG_TAIL_BYTES = 2000
PLATFORM = "platform"
PORTS = range(10000, 32000)
READY_SECONDS = 20.0
READY_POLL_SECONDS = 0.05
STOP_SECONDS = 10.0
STATUS_OK = 200

DECODE_RUN = msgspec.json.Decoder(account.Run).decode


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceAddress:
    """Ports of one instance."""

    name: str
    data_centre: str
    caller_port: int
    operator_port: int
    peer_port: int
    platform_port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamAddress:
    """Address of one upstream stand-in."""

    name: str
    service: str
    data_centre: str
    port: int
    fenced: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClusterDescription:
    """What an experiment runs.

    ``code_folder`` is the checkout whose instances run, by default the
    present one; ``profile_folder`` is where instances leave a profile.
    """

    data_centres: tuple[str, ...] = ("a", "b", "c")
    instances: int = 8
    services: tuple[str, ...] = ("letters",)
    upstreams_per_service: int = 6
    upstream_delay: float = 0.0
    upstream_faults: str = "{}"
    unfenced_services: tuple[str, ...] = ()
    extra_settings: str = ""
    seed: int = 0
    code_folder: str = ""
    profile_folder: str = ""


def free_ports(count: int) -> list[int]:
    """Return ports that are free now.

    They lie below the range from which the system takes the ports of
    outgoing connections, so that none of these takes one meanwhile.
    """
    found: list[int] = []
    drawn = random.sample(PORTS, len(PORTS))
    for port in drawn:
        if len(found) == count:
            return found
        if _is_free(port):
            found.append(port)
    raise RuntimeError("not enough free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as bound:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            bound.bind((HOST, port))
        except OSError:
            return False
    return True


class Cluster:
    """Running processes by name."""

    def __init__(
        self, description: ClusterDescription, folder: pathlib.Path
    ) -> None:
        """Draw ports; nothing runs yet."""
        self.description = description
        self.folder = folder
        self.caller_key = ""
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        services = len(description.services)
        upstreams = description.upstreams_per_service * services
        self._ports = iter(
            free_ports(1 + 4 * description.instances + upstreams)
        )
        self.platform_port = next(self._ports)
        self.instances = self._draw_instances()
        self.upstreams = self._draw_upstreams()

    def _draw_instances(self) -> tuple[InstanceAddress, ...]:
        count = self.description.instances
        centres = self.description.data_centres
        return tuple(
            InstanceAddress(
                name=f"instance-{number}",
                data_centre=centres[number % len(centres)],
                caller_port=next(self._ports),
                operator_port=next(self._ports),
                peer_port=next(self._ports),
                platform_port=next(self._ports),
            )
            for number in range(count)
        )

    def _draw_upstreams(self) -> tuple[UpstreamAddress, ...]:
        per_service = self.description.upstreams_per_service
        services = self.description.services
        centres = self.description.data_centres
        return tuple(
            UpstreamAddress(
                name=f"{service}-{number}",
                service=service,
                data_centre=centres[number % len(centres)],
                port=next(self._ports),
                fenced=service not in self.description.unfenced_services,
            )
            for service in services
            for number in range(per_service)
        )

    def start_platform(self) -> None:
        """Start the platform stand-in, a listener for each instance."""
        listeners = {one.name: one.platform_port for one in self.instances}
        self._start(
            PLATFORM,
            [
                "stand_ins.platform",
                *("--port", str(self.platform_port)),
                *("--listeners", json.dumps(listeners)),
            ],
        )

    def start_upstream(self, upstream: UpstreamAddress) -> None:
        """Start one upstream stand-in."""
        fenced = "--fenced" if upstream.fenced else "--no-fenced"
        self._start(
            upstream.name,
            [
                "stand_ins.upstream",
                *("--name", upstream.name),
                *("--port", str(upstream.port)),
                *("--delay", str(self.description.upstream_delay)),
                *("--faults", self.description.upstream_faults),
                *("--seed", str(self.description.seed + upstream.port)),
                *("--journal", str(self._journal(upstream))),
                fenced,
            ],
        )

    def start_instance(self, instance: InstanceAddress) -> None:
        """Write the settings of an instance and start it."""
        path = self.folder / f"{instance.name}.ini"
        path.write_text(self._settings(instance), encoding="utf-8")
        arguments = ["dragonflyshelf", "serve", str(path)]
        profiles = self.description.profile_folder
        if profiles:
            out = str(pathlib.Path(profiles) / f"{instance.name}.prof")
            arguments = ["cProfile", "-o", out, "-m", *arguments]
        self._start(
            instance.name, arguments, self.description.code_folder or None
        )

    def start_all(self) -> None:
        """Start the stand-ins and all instances."""
        self.start_platform()
        for upstream in self.upstreams:
            self.start_upstream(upstream)
        for instance in self.instances:
            self.start_instance(instance)

    async def async_wait_ready(self) -> None:
        """Wait until every instance says that it is ready."""
        for instance in self.instances:
            try:
                async with asyncio.timeout(READY_SECONDS):
                    while not await async_is_ready(instance.operator_port):
                        await asyncio.sleep(READY_POLL_SECONDS)
            except TimeoutError as error:
                tail = self._log_tail(instance.name)
                text = f"{instance.name} is not ready; its log: {tail}"
                raise RuntimeError(text) from error

    def runs(self) -> list[account.Run]:
        """Return every run of every upstream, also of killed ones."""
        found: list[account.Run] = []
        for one in self.upstreams:
            path = self._journal(one)
            lines = path.read_bytes().splitlines() if path.exists() else []
            found.extend(DECODE_RUN(line) for line in lines)
        return found

    def _journal(self, upstream: UpstreamAddress) -> pathlib.Path:
        return self.folder / f"{upstream.name}.journal"

    def kill(self, name: str) -> None:
        """End a process at once, as a loss would."""
        process = self.processes_by_name[name]
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Stop a process until it is resumed."""
        self.processes_by_name[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self.processes_by_name[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Ask a process to end; return its exit status."""
        process = self.processes_by_name[name]
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_SECONDS)

    def _log_tail(self, name: str) -> str:
        log = (self.folder / f"{name}.log").read_bytes()
        return log[-LOG_TAIL_BYTES:].decode(errors="replace")

    def stop_all(self) -> None:
        """End every process that this cluster has started."""
        for process in self.processes_by_name.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGINT)
        for process in self.processes_by_name.values():
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _settings(self, instance: InstanceAddress) -> str:
        return (
            "[instance]\n"
            f"name = {instance.name}\n"
            f"data_centre = {instance.data_centre}\n"
            "[listen]\n"
            f"caller_port = {instance.caller_port}\n"
            f"peer_port = {instance.peer_port}\n"
            f"operator_port = {instance.operator_port}\n"
            "[platform]\n"
            "kind = http\n"
            f"port = {instance.platform_port}\n"
            f"{self.description.extra_settings}\n"
        )

    def _start(
        self, name: str, arguments: list[str], folder: str | None = None
    ) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        with log:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=log,
                stderr=log,
                cwd=folder,
            )


async def async_set_platform_faults(
    cluster: Cluster, faults: platform_faults.Faults
) -> None:
    """Switch the faults of the platform stand-in."""
    body = msgspec.json.encode(faults)
    await async_post(cluster.platform_port, "/faults", body)


async def async_set_upstream_faults(
    upstream: UpstreamAddress, **switches: object
) -> None:
    """Switch the named faults of an upstream stand-in."""
    body = msgspec.json.encode(switches)
    await async_post(upstream.port, "/_faults", body)


async def async_post(port: int, target: str, body: bytes = b"") -> bytes:
    """Send a control call to a stand-in and return the answer's body."""
    async with http_client.async_open(HOST, port) as client:
        answer = await client.async_call("POST", target, body)
        return answer.body


async def async_is_ready(port: int) -> bool:
    """Ask an instance's operators' listener whether it is ready."""
    async with http_client.async_open(HOST, port) as client:
        try:
            answer = await client.async_call("GET", "/readyz")
        except OSError:
            return False
        return answer.status == STATUS_OK


@contextlib.contextmanager
def running(description: ClusterDescription) -> abc.Iterator[Cluster]:
    """Run a cluster for the length of a ``with`` block."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(description, pathlib.Path(folder))
        try:
            cluster.start_all()
            yield cluster
        finally:
            cluster.stop_all()
