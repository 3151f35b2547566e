"""Tests of dragonflyshelf.runtime.hangup."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest

from dragonflyshelf.platform import names

START_SECONDS = 60.0
"""Time in which a process starts and ends on a busy machine."""

SIGNAL_WHILE_IMPORTING = """
import builtins, os, runpy, signal, sys

import_module = builtins.__import__

def import_amid_signals(name, *arguments, **options):
    if name == "h11":
        builtins.__import__ = import_module
        os.kill(os.getpid(), signal.SIGHUP)
    return import_module(name, *arguments, **options)

builtins.__import__ = import_amid_signals
runpy.run_module(sys.argv.pop(1), run_name="__main__", alter_sys=True)
"""
"""Program that runs a module and gets SIGHUP while it loads libraries."""

RELOADED = "settings reloaded"
SETTINGS = """[instance]
name = one
data_centre = a
[entry]
callers = 127.0.0.1:0
ready = 127.0.0.1:0
relay_port = 0
[store]
address = 127.0.0.1:9
[shutdown]
settle = 0
"""


class TestSignalWhileStarting:
    """SIGHUP that killed an instance which had not loaded its libraries."""

    @pytest.mark.parametrize(
        "arguments", [["dragonflyshelf", "serve"], ["dragonflyshelf.platform"]]
    )
    def test_settings_are_reloaded(
        self, arguments: list[str], tmp_path: pathlib.Path
    ) -> None:
        """The instance starts and reads its settings again."""
        path = tmp_path / "one.ini"
        path.write_text(SETTINGS, encoding="utf-8")
        if arguments[1:]:
            arguments = [*arguments, str(path)]
        process = subprocess.Popen(
            [sys.executable, "-c", SIGNAL_WHILE_IMPORTING, *arguments],
            env={**os.environ, names.SETTINGS_PATH_VARIABLE: str(path)},
            stdout=subprocess.PIPE,
            text=True,
        )
        with process:
            assert process.stdout is not None
            lines = iter(process.stdout)
            assert any(RELOADED in line for line in lines)
            process.send_signal(signal.SIGTERM)
            assert process.wait(START_SECONDS) == 0
