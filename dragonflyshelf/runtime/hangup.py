"""SIGHUP before the event loop of the process handles it.

This module loads no library, so that it can be used before they are.
"""

import signal
import threading
import types

_WAS_RECEIVED = threading.Event()


def hold() -> None:
    """Record SIGHUP from now on, in place of ending the process."""
    signal.signal(signal.SIGHUP, _record)


def was_received() -> bool:
    """Return whether SIGHUP arrived while it was recorded."""
    return _WAS_RECEIVED.is_set()


def _record(number: int, frame: types.FrameType | None) -> None:
    _WAS_RECEIVED.set()
