"""Pause of the garbage collection while source code is parsed."""

from collections import abc
import contextlib
import gc


@contextlib.contextmanager
def collection_paused() -> abc.Iterator[None]:
    """Run no finalizers in a ``with`` block.

    In Python 3.11 ``ast.parse`` may raise ``SystemError`` if another parse
    runs within it. The finalizer of an unclosed resource does that:
    it warns, and the traceback of the warning parses source lines.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
