"""Processor time and memory of a running process, from ``/proc``."""

import dataclasses
import os
import pathlib

KIB = 1024
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
USER_FIELD = 11
SYSTEM_FIELD = 12


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Processor seconds so far and resident bytes now."""

    cpu_seconds: float
    resident_bytes: int


def usage(pid: int) -> Usage:
    """Return the usage of a process."""
    folder = pathlib.Path(f"/proc/{pid}")
    text = (folder / "stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    resident = 0
    for line in (folder / "status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            resident = int(line.split()[1]) * KIB
    return Usage(cpu_seconds=ticks / TICKS_PER_SECOND, resident_bytes=resident)
