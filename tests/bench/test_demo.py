"""Tests of the demo with real processes."""

import subprocess
import sys


class TestDemo:
    """A short demo succeeds and its audit finds no violation."""

    def test_three_instances(self) -> None:
        """Requests are served before and after an instance is killed."""
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "bench.demo",
                "--count",
                "3",
                "--requests",
                "320",
            ],
            capture_output=True,
            check=False,
            text=True,
            timeout=120,
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
        assert "audit: nothing wrong" in completed.stdout
        assert "order 200" in completed.stdout
        assert "old 200" in completed.stdout
