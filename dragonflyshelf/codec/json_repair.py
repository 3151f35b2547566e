"""Removal of values that cannot be decoded from JSON.

Another writer may have left one value that is nested too deeply or has
invalid escapes; decoding would fail for all that stands beside it.
"""

import re
from typing import Final

import msgspec

TOKEN_PATTERN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
"""Strings, which may contain brackets, and the brackets outside of them."""

OPENING: Final = frozenset({b"[", b"{"})
CLOSING: Final = frozenset({b"]", b"}"})


def remove_invalid_values(data: bytes, level: int) -> bytes:
    """Return JSON in which invalid lists and tables at a level are null.

    ``level`` is the number of brackets around them. The structure of the
    text is read without recursion.
    """
    kept: list[bytes] = []
    kept_end = 0
    depth = 0
    start = 0
    for token in TOKEN_PATTERN.finditer(data):
        if token.group() in OPENING:
            if depth == level:
                start = token.start()
            depth += 1
        elif token.group() in CLOSING:
            depth -= 1
            if depth == level and not _is_valid(data[start : token.end()]):
                kept.extend((data[kept_end:start], b"null"))
                kept_end = token.end()
    return b"".join((*kept, data[kept_end:]))


def _is_valid(value: bytes) -> bool:
    try:
        msgspec.json.decode(value, type=msgspec.Raw)
    except (msgspec.MsgspecError, RecursionError):
        return False
    return True
