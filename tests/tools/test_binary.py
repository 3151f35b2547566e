"""Tests of the one executable file."""

import asyncio
from collections import abc
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys

import pytest

from bench import processes
from tools import binary

CHILD_FAULTS = 8
"""Index, after the name in ``stat``, of the faults of ended children."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Started:
    """A running instance and its ports."""

    process: subprocess.Popen[bytes]
    callers: int
    ready: int


def settings_text(ports: list[int]) -> str:
    """Return the settings of one instance alone."""
    return (
        "[instance]\nname = solo\ndata_centre = local\n[entry]\n"
        f"callers = {processes.HOST}:{ports[0]}\n"
        f"ready = {processes.HOST}:{ports[1]}\n"
        f"relay_port = {ports[2]}\n[store]\naddress = {processes.HOST}:1\n"
    )


@pytest.fixture(scope="module")
def executable(
    tmp_path_factory: pytest.TempPathFactory,
) -> pathlib.Path:
    """Build the file once."""
    path = tmp_path_factory.mktemp("dist") / "dragonflyshelf"
    binary.build(path)
    return path


@pytest.fixture
def started(
    executable: pathlib.Path, tmp_path: pathlib.Path
) -> abc.Iterator[Started]:
    """Run the file by an interpreter without any library."""
    ports = processes.free_ports(3)
    path = tmp_path / "solo.ini"
    path.write_text(settings_text(ports), encoding="utf-8")
    interpreter = getattr(sys, "_base_executable", sys.executable)
    process = subprocess.Popen(
        [interpreter, "-S", str(executable), "serve", str(path)],
        cwd=tmp_path,
        env={**os.environ, "SHIV_ROOT": str(tmp_path / "unpacked")},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    yield Started(process=process, callers=ports[0], ready=ports[1])
    process.kill()
    process.wait()


async def async_wait_listening(started: Started) -> None:
    """Wait until the instance answers, not ready without its store."""
    async with asyncio.timeout(processes.READY_SECONDS):
        while True:
            found = await processes.async_call(started.ready, "/-/readyz", {})
            if found.status == "503":
                return
            assert started.process.poll() is None
            await asyncio.sleep(0.1)


def children(process: subprocess.Popen[bytes]) -> str:
    """Return the ids of the present children."""
    tasks = pathlib.Path(f"/proc/{process.pid}/task")
    return "".join((one / "children").read_text() for one in tasks.iterdir())


def faults_of_children(process: subprocess.Popen[bytes]) -> int:
    """Return a count that is above 0 once any child has ended."""
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    return int(text.rpartition(")")[2].split()[CHILD_FAULTS])


class TestExecutable:
    """One file serves, in one process."""

    def test_serves_in_one_process(self, started: Started) -> None:
        """It unpacks, serves and ends without any child process."""
        asyncio.run(async_wait_listening(started))
        answer = asyncio.run(
            processes.async_call(started.callers, "/none/1", {})
        )
        assert answer.status == "503"
        assert children(started.process) == ""
        assert faults_of_children(started.process) == 0
        started.process.send_signal(signal.SIGTERM)
        assert started.process.wait(processes.READY_SECONDS) == 0
