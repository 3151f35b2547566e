"""Tests of the single executable file."""

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

CHILD_FAULTS_INDEX = 8
"""Index of ``cminflt`` in the fields of ``/proc/PID/stat`` after the name.

The kernel adds the page faults of a child after it has ended.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunningInstance:
    """A running instance and its ports."""

    process: subprocess.Popen[bytes]
    callers: int
    ready: int


def make_settings_text(ports: list[int]) -> str:
    """Return settings of an instance whose store is unreachable."""
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
    """Build the executable file once for the module."""
    path = tmp_path_factory.mktemp("dist") / "dragonflyshelf"
    binary.build(path)
    return path


@pytest.fixture
def running_instance(
    executable: pathlib.Path, tmp_path: pathlib.Path
) -> abc.Iterator[RunningInstance]:
    """Run the file with an interpreter without site-packages."""
    ports = processes.find_free_ports(3)
    path = tmp_path / "solo.ini"
    path.write_text(make_settings_text(ports), encoding="utf-8")
    interpreter = getattr(sys, "_base_executable", sys.executable)
    process = subprocess.Popen(
        [interpreter, "-S", str(executable), "serve", str(path)],
        cwd=tmp_path,
        env={**os.environ, "SHIV_ROOT": str(tmp_path / "unpacked")},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    yield RunningInstance(process=process, callers=ports[0], ready=ports[1])
    process.kill()
    process.wait()


async def async_wait_listening(running_instance: RunningInstance) -> None:
    """Wait until the instance responds; without a store with 503."""
    async with asyncio.timeout(processes.READY_SECONDS):
        while True:
            response = await processes.async_call(
                running_instance.ready, "/-/readyz", {}
            )
            if response.status == "503":
                return
            assert running_instance.process.poll() is None
            await asyncio.sleep(0.1)


def child_process_ids(process: subprocess.Popen[bytes]) -> str:
    """Return the process ids of the current children."""
    tasks_path = pathlib.Path(f"/proc/{process.pid}/task")
    return "".join(
        (task / "children").read_text() for task in tasks_path.iterdir()
    )


def page_faults_of_children(process: subprocess.Popen[bytes]) -> int:
    """Return the page faults of ended children; 0 if there was none."""
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    return int(text.rpartition(")")[2].split()[CHILD_FAULTS_INDEX])


class TestExecutable:
    """The executable file serves in a single process."""

    def test_serves_in_one_process(
        self, running_instance: RunningInstance
    ) -> None:
        """Unpacking, serving and shutdown start no child process."""
        asyncio.run(async_wait_listening(running_instance))
        response = asyncio.run(
            processes.async_call(running_instance.callers, "/none/1", {})
        )
        assert response.status == "503"
        assert child_process_ids(running_instance.process) == ""
        assert page_faults_of_children(running_instance.process) == 0
        running_instance.process.send_signal(signal.SIGTERM)
        assert running_instance.process.wait(processes.READY_SECONDS) == 0
