"""One instance in a process of its own, with lowered limits.

The bounds are those of the machine that the settings describe: a process
that uses more memory or descriptors would have ended there.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import Any
from typing import Final

from bench import processes
from dragonflyshelf.runtime import http_server
from stand_ins import configuration
from stand_ins import store
from stand_ins import upstream
from tests.crowd import crowds

HOST: Final = crowds.HOST
MEMORY_MB: Final = 128
"""Memory of the machine; the least that a machine of the pages has is 160."""

DESCRIPTOR_COUNT: Final = 512
"""Descriptors of the machine; the least of the pages is 1,638."""

BYTES_PER_MIB: Final = 1024 * 1024
SAMPLE_SECONDS: Final = 0.05
"""Interval between two counts of the descriptors."""

STOP_SECONDS: Final = 10.0
READ_TIMEOUT_SECONDS: Final = 1.0
IDLE_TIMEOUT_SECONDS: Final = 2.0
MAX_HEAD_BYTES: Final = 16384
MAX_BODY_BYTES: Final = 64 * BYTES_PER_MIB
RESPONSE_BYTES: Final = 4 * BYTES_PER_MIB
"""Size of the response to a request whose id begins with "large"."""

UPSTREAM_SLOT_COUNT: Final = 400


class LargeUpstream(upstream.UpstreamServer):
    """Upstream whose response to one path is large."""

    def _make_response(
        self, status: int, *headers: tuple[str, str], body: bytes = b""
    ) -> http_server.ServerResponse:
        if body.startswith(b"large"):
            body += bytes(RESPONSE_BYTES)
        return super()._make_response(status, *headers, body=body)


@dataclasses.dataclass(kw_only=True)
class CrowdedInstance:
    """Running instance and the most that it has used."""

    process: subprocess.Popen[bytes]
    ports: processes.Ports
    metrics_port: int
    log_path: pathlib.Path
    peak_descriptor_count: int = 0

    @property
    def is_running(self) -> bool:
        """Return whether the process still runs."""
        return self.process.poll() is None

    @property
    def peak_memory_mb(self) -> float:
        """Return the largest resident memory so far, in MiB."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(
            line for line in status.splitlines() if line.startswith("VmHWM:")
        )
        return int(line.split()[1]) / 1024

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def async_watch_descriptors(self) -> None:
        """Keep the largest number of descriptors until cancelled."""
        while self.is_running:
            self.peak_descriptor_count = max(
                self.peak_descriptor_count, self.count_descriptors()
            )
            await asyncio.sleep(SAMPLE_SECONDS)

    async def async_wait_served(self) -> None:
        """Wait until an ordinary caller and the balancer get answers.

        Callers repeat what was refused or not answered.
        """
        async with asyncio.timeout(processes.READY_SECONDS):
            while self.is_running:
                with contextlib.suppress(AssertionError):
                    return await self._async_check_served()
                await asyncio.sleep(SAMPLE_SECONDS)

    async def _async_check_served(self) -> None:
        ready = await processes.async_call(self.ports.ready, "/-/readyz", {})
        assert ready.status == "200", ready
        response = await processes.async_call(
            self.ports.callers,
            "/read/small",
            {
                "x-api-key": crowds.CALLER_KEY,
                "request-id": "ordinary",
                "deadline-ms": "3000",
            },
        )
        assert response.status == "200", response

    async def async_endure(self, crowd: crowds.Crowd, port: int) -> None:
        """Check that the machine bears the crowd and serves others after."""
        await crowd.async_run(port)
        await self.async_wait_served()
        assert self.is_running
        print(
            f"peak: {self.peak_memory_mb:.0f} MiB,"
            f" {self.peak_descriptor_count} descriptors"
        )
        failures = self.read_task_failures()
        assert not failures, failures[:1]
        count = self.peak_descriptor_count
        assert count <= DESCRIPTOR_COUNT, f"{count} descriptors"
        memory_mb = self.peak_memory_mb
        assert memory_mb <= MEMORY_MB, f"{memory_mb:.0f} MiB"

    def read_task_failures(self) -> list[str]:
        """Return the lines of the log about tasks that failed."""
        lines = self.log_path.read_text(encoding="utf-8").splitlines()
        return [line for line in lines if "failed to handle" in line]


def write_settings(
    path: pathlib.Path, ports: processes.Ports, store_port: int, metrics: int
) -> None:
    """Write the settings file of the instance."""
    path.write_text(
        "[instance]\nname = crowded\ndata_centre = a\n"
        f"memory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTOR_COUNT}\n"
        f"[entry]\ncallers = {HOST}:{ports.callers}\n"
        f"ready = {HOST}:{ports.ready}\nrelay_port = {ports.relay}\n"
        f"metrics_port = {metrics}\n"
        f"[store]\naddress = {HOST}:{store_port}\n"
        "[shutdown]\nsettle = 0.1\ndeadline = 2\n"
        "[log]\nlevel = warning\n",
        encoding="utf-8",
    )


@contextlib.contextmanager
def run_process(
    folder: pathlib.Path, store_port: int
) -> abc.Iterator[CrowdedInstance]:
    """Run the instance; stop it at the end."""
    callers, ready, relay, metrics = processes.find_free_ports(4)
    ports = processes.Ports(callers=callers, ready=ready, relay=relay)
    settings_path = folder / "crowded.ini"
    write_settings(settings_path, ports, store_port, metrics)
    log_path = folder / "crowded.log"
    with log_path.open("ab") as log_file:
        process = subprocess.Popen(
            [sys.executable, "-m", "dragonflyshelf", "serve", settings_path],
            stdout=log_file,
            stderr=log_file,
        )
    try:
        yield CrowdedInstance(
            process=process,
            ports=ports,
            metrics_port=metrics,
            log_path=log_path,
        )
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def make_configuration() -> dict[str, Any]:
    """Return the configuration, with short timeouts of callers."""
    spec: dict[str, Any] = configuration.build_configuration(
        1, [crowds.CALLER_KEY], rate=100000
    )
    services = spec["Services"]
    services["Columns"].append("MaxConnections")
    for row in services["Rows"]:
        row.append(UPSTREAM_SLOT_COUNT)
    spec["Limits"] = {
        "MaxHeaderBytes": MAX_HEAD_BYTES,
        "MaxBodyBytes": MAX_BODY_BYTES,
        "HeaderTimeoutS": READ_TIMEOUT_SECONDS,
        "IdleTimeoutS": IDLE_TIMEOUT_SECONDS,
    }
    return spec


@contextlib.asynccontextmanager
async def async_run_crowded() -> abc.AsyncIterator[CrowdedInstance]:
    """Run a ready instance with a store and an upstream."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        store_server = await stack.enter_async_context(store.async_run_store())
        store_server.objects.create("config", "main", make_configuration())
        letters = LargeUpstream(
            "u1", "letters", run_seconds=0.01, slots=UPSTREAM_SLOT_COUNT
        )
        await letters.async_listen(HOST)
        stack.callback(letters.close)
        store_server.objects.create(
            "servers", "u1", letters.make_registration(HOST, "a")
        )
        instance = stack.enter_context(run_process(folder, store_server.port))
        await instance.async_wait_served()
        watch = asyncio.create_task(instance.async_watch_descriptors())
        stack.callback(watch.cancel)
        yield instance
