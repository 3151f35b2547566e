"""Processes of the system, started as the deploy file says.

The settings are those of a small deployment of the pages, filled into the
template of the repository. Every instance has a loopback address of its own.
"""

import asyncio
import dataclasses
import os
import pathlib
import re
import signal
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")
READY_SECONDS = 30.0

PREPARE = None
"""What a process does before the program starts, None for nothing."""

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
LIMITS = {
    "CpuShare": 0.86,
    "Cores": 1,
    "LinkMbps": 1000.0,
    "MemoryMb": 300,
    "MaxFds": 4100,
}


@dataclasses.dataclass(kw_only=True)
class Node:
    """One process of the system."""

    name: str
    zone: str
    host: str
    ports: list
    store: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def front(self):
        """Return the address for clients."""
        return self.host, self.ports[0]

    @property
    def ready(self):
        """Return the address of the readiness check."""
        return self.host, self.ports[1]

    def fields(self):
        """Return the fields of the platform's settings file."""
        return {
            "NodeName": self.name,
            "Zone": self.zone,
            "Region": "region",
            "Limits": LIMITS,
            "Listen": {
                "Front": "%s:%d" % self.front,
                "ReadyAddr": "%s:%d" % self.ready,
            },
            "InternalPorts": self.ports[2:4],
            "Platform": {"Address": self.store},
            "Bounds": BOUNDS,
        }

    def start(self):
        """Write the settings file and start the process."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        path = self.folder / f"{self.name}.ini"
        path.write_text(render(template, self.fields()), encoding="utf-8")
        command = role["run"].split()
        command[0] = sys.executable
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "DRAGONFLYSHELF_NODE_FILE": str(path),
                },
                stdout=log,
                stderr=log,
                preexec_fn=PREPARE,
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def read_log(self):
        """Return what the process has logged."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    async def wait_ready(self):
        """Wait until the readiness check succeeds."""
        async with asyncio.timeout(READY_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self):
        """Return whether the readiness check succeeds."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


def render(template, fields):
    """Return the template filled in with the fields."""

    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part)
            if value is None:
                return None
        return value

    def replace_section(match):
        return match.group(2) if find(match.group(1)) is not None else ""

    text = SECTION.sub(replace_section, template)
    return PLACEHOLDER.sub(lambda match: str(find(match.group(1))), text)
