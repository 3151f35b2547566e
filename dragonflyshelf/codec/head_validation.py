"""Strict check of the raw head of a request before it is parsed.

The parser accepts some shapes that other parsers read differently. A
head with such a shape is refused, because two parsers that disagree
about where a request ends let one caller write into another's request.
"""

from typing import Final

from dragonflyshelf.core import errors
from dragonflyshelf.core import settings

CRLF: Final = b"\r\n"
END_OF_HEAD: Final = b"\r\n\r\n"
FOLDS: Final = (b"\r\n ", b"\r\n\t")
LENGTH: Final = b"\r\ncontent-length:"
LENGTH_DIGITS: Final = 15
TRANSFER_ENCODING: Final = b"\r\ntransfer-encoding:"
VERSION: Final = b"HTTP/"
VERSION_1_0: Final = b"HTTP/1.0"
VERSIONS: Final = frozenset({VERSION_1_0, b"HTTP/1.1"})


def is_complete(raw: bytes, config: settings.RequestSettings) -> bool:
    """Tell whether the bytes begin with a whole head.

    Raises ``BadRequest``, ``HeadTooLarge`` or ``VersionNotSupported``
    for a head that may not go on to the parser.
    """
    end = raw.find(END_OF_HEAD)
    if end > config.head_bytes or (end < 0 and len(raw) > config.head_bytes):
        raise errors.HeadTooLarge("head is over its bound in bytes")
    head = raw if end < 0 else raw[:end]
    pairs = head.count(CRLF)
    if head.count(b"\n") != pairs:
        raise errors.BadRequest("head has a line feed without a return")
    if pairs > config.headers:
        raise errors.HeadTooLarge("head has too many headers")
    if end < 0:
        return False
    _check(head, pairs)
    return True


def _check(head: bytes, pairs: int) -> None:
    if head.count(b"\r") != pairs:
        raise errors.BadRequest("head has a return without a line feed")
    if any(fold in head for fold in FOLDS):
        raise errors.BadRequest("head has a folded header")
    version = head.partition(CRLF)[0].rpartition(b" ")[2]
    if version.startswith(VERSION) and version not in VERSIONS:
        raise errors.VersionNotSupported("only HTTP/1.0 and 1.1 are served")
    _check_framing(head.lower(), version)


def _check_framing(head: bytes, version: bytes) -> None:
    lengths = head.count(LENGTH)
    if lengths > 1:
        raise errors.BadRequest("head has two lengths")
    if lengths:
        value = head.partition(LENGTH)[2].partition(CRLF)[0].strip(b" \t")
        if not value.isdigit() or len(value) > LENGTH_DIGITS:
            raise errors.BadRequest("length is not a number")
    if TRANSFER_ENCODING not in head:
        return
    if lengths:
        raise errors.BadRequest("head has a length and a transfer coding")
    if version == VERSION_1_0:
        raise errors.BadRequest("HTTP/1.0 has no transfer coding")
