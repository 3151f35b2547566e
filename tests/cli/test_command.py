"""Tests of the command, run as a subprocess."""

import pathlib
import socket
import subprocess
import sys

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.runtime import process

ROOT = pathlib.Path(__file__).parent.parent.parent


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command until it exits."""
    return subprocess.run(
        [sys.executable, "-m", "dragonflyshelf", *arguments],
        capture_output=True,
        check=False,
        cwd=ROOT,
        text=True,
    )


class TestCheck:
    """``check`` prints all problems of a settings file."""

    def test_valid_file(self) -> None:
        """The exit status for a valid file is 0."""
        completed = run_command("check", "examples/single.ini")
        assert (completed.returncode, completed.stderr) == (0, "")

    def test_invalid_file(self, tmp_path: pathlib.Path) -> None:
        """Each problem is a line with a code, position and option."""
        path = tmp_path / "bad.ini"
        path.write_text("[instance]\nname = a\n[log]\nlevel = loud\n")
        completed = run_command("check", str(path))
        assert completed.returncode == process.EXIT_USAGE
        code = errors.InvalidSettings.code
        assert completed.stderr.splitlines() == [
            f"{code} {path}:1: [instance] data_centre: is required",
            f"{code} {path}:4: [log] level: 'loud' is not one of"
            " debug, error, info, warning",
        ]

    def test_missing_file(self, tmp_path: pathlib.Path) -> None:
        """The exit status for a missing file is 2; the code is printed."""
        completed = run_command("check", str(tmp_path / "none.ini"))
        assert completed.returncode == process.EXIT_USAGE
        assert completed.stderr.startswith(errors.InvalidSettings.code)


class TestServe:
    """``serve`` runs an instance or prints why it cannot."""

    def test_address_in_use(self, tmp_path: pathlib.Path) -> None:
        """The exit status for an address in use is 1; the code is printed."""
        path = tmp_path / "one.ini"
        with socket.socket() as occupied_socket:
            occupied_socket.bind(("127.0.0.1", 0))
            occupied_socket.listen()
            port = occupied_socket.getsockname()[1]
            path.write_text(
                "[instance]\nname = a\ndata_centre = b\n"
                "[entry]\ncallers = 127.0.0.1:0\n"
                f"ready = 127.0.0.1:{port}\nrelay_port = 0\n"
                "[store]\naddress = 127.0.0.1:1\n"
            )
            completed = run_command("serve", str(path))
        assert completed.returncode == process.EXIT_FAILURE
        assert completed.stderr.startswith(errors.BindFailed.code)


class TestUsage:
    """Usage errors and help."""

    @pytest.mark.parametrize("arguments", [[], ["serve"], ["none"]])
    def test_usage_error(self, arguments: list[str]) -> None:
        """The exit status is 2, and the usage is printed to standard error."""
        completed = run_command(*arguments)
        assert completed.returncode == process.EXIT_USAGE
        assert "usage:" in completed.stderr

    def test_help(self) -> None:
        """The help lists the commands."""
        completed = run_command("--help")
        assert completed.returncode == 0
        for name in ("check", "serve", "settings", "version"):
            assert name in completed.stdout
