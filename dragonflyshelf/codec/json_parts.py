"""Division of JSON texts into their parts, without decoding them.

One value that is nested too deeply or has invalid escapes makes a decoder
reject all that stands beside it. The parts of a text are found by its
strings and brackets alone and without recursion, so that each can be decoded
by itself.
"""

from collections import abc
import re
from typing import Final

from dragonflyshelf.core import errors

TOKEN_PATTERN: Final = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},"]', re.DOTALL
)
"""Strings, and the brackets, commas and lone quotes outside of them."""

KEY_PATTERN: Final = re.compile(rb'\s*"([^"\\]*)"\s*:')
"""Key of a member, and what separates it from its value."""

OPENING: Final = frozenset(b"[{")
CLOSING: Final = frozenset(b"]}")
COMMA: Final = ord(",")
QUOTE: Final = b'"'


def find_members(data: bytes) -> dict[bytes, bytes]:
    """Return the encoded values of a table by their keys.

    Members whose keys have escapes are left out. Raises ``InvalidObject`` if
    ``data`` is no table.
    """
    members = {}
    for part in _divide(data, b"{"):
        key = KEY_PATTERN.match(part)
        if key is not None:
            members[key.group(1)] = part[key.end() :].strip()
    return members


def find_items(data: bytes) -> list[bytes]:
    """Return the encoded items of a list.

    Raises ``InvalidObject`` if ``data`` is no list.
    """
    items = [part.strip() for part in _divide(data, b"[")]
    return [] if items == [b""] else items


def join_members(members: abc.Mapping[bytes, bytes]) -> bytes:
    """Return the table that has these encoded values by key."""
    parts = (b'"%s":%s' % member for member in members.items())
    return b"{%s}" % b",".join(parts)


def _divide(data: bytes, opening: bytes) -> list[bytes]:
    """Return what stands between the brackets and commas of a text."""
    text = data.strip()
    if not text.startswith(opening):
        raise errors.InvalidObject("the text has another type")
    parts = []
    depth = 0
    part_start = 1
    for token in TOKEN_PATTERN.finditer(text):
        if token.group() == QUOTE:
            raise errors.InvalidObject("a string is cut short")
        character = text[token.start()]
        if character in OPENING:
            depth += 1
        elif character in CLOSING:
            depth -= 1
        elif character != COMMA:
            continue
        is_end = not depth
        if is_end or (depth == 1 and character == COMMA):
            parts.append(text[part_start : token.start()])
            part_start = token.end()
        if is_end:
            break
    if depth or part_start != len(text):
        raise errors.InvalidObject("the text is cut short or goes on")
    return parts
