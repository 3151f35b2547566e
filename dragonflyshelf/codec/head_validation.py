"""Strict validation of a raw request head before it is parsed.

``h11`` accepts some heads that other parsers interpret differently. They
are rejected to prevent request smuggling: if two parsers disagree about
where a request ends, a caller can inject bytes into another's request.
"""

from typing import Final

from dragonflyshelf.core import errors
from dragonflyshelf.core import settings

CRLF: Final = b"\r\n"
END_OF_HEAD: Final = b"\r\n\r\n"
LINE_FOLDS: Final = (b"\r\n ", b"\r\n\t")
"""Obsolete line folding (RFC 9112, section 5.2)."""

CONTENT_LENGTH: Final = b"\r\ncontent-length:"
MAX_CONTENT_LENGTH_DIGIT_COUNT: Final = 15
"""Maximum length of the value of a content-length header."""

TRANSFER_ENCODING: Final = b"\r\ntransfer-encoding:"
VERSION_PREFIX: Final = b"HTTP/"
VERSION_1_0: Final = b"HTTP/1.0"
SUPPORTED_VERSIONS: Final = frozenset({VERSION_1_0, b"HTTP/1.1"})


def is_complete(raw: bytes, config: settings.RequestSettings) -> bool:
    """Return whether the bytes begin with a complete, valid head.

    Raises ``BadRequest``, ``HeadTooLarge`` or ``VersionNotSupported``
    for a head that must not be passed to the parser.
    """
    end = raw.find(END_OF_HEAD)
    if end > config.head_bytes or (end < 0 and len(raw) > config.head_bytes):
        raise errors.HeadTooLarge(
            f"request head exceeds {config.head_bytes} bytes"
        )
    head = raw if end < 0 else raw[:end]
    crlf_count = head.count(CRLF)
    if head.count(b"\n") != crlf_count:
        raise errors.BadRequest(
            "request head has a line feed without carriage return"
        )
    if 0 < config.headers < crlf_count:
        raise errors.HeadTooLarge(
            f"request has more than {config.headers} headers"
        )
    if end < 0:
        return False
    _check_head(head, crlf_count)
    return True


def _check_head(head: bytes, crlf_count: int) -> None:
    if head.count(b"\r") != crlf_count:
        raise errors.BadRequest(
            "request head has a carriage return without line feed"
        )
    if any(fold in head for fold in LINE_FOLDS):
        raise errors.BadRequest("request head has a folded header line")
    version = head.partition(CRLF)[0].rpartition(b" ")[2]
    if (
        version.startswith(VERSION_PREFIX)
        and version not in SUPPORTED_VERSIONS
    ):
        raise errors.VersionNotSupported(
            "only HTTP/1.0 and HTTP/1.1 are supported"
        )
    _check_framing(head.lower(), version)


def _check_framing(head: bytes, version: bytes) -> None:
    length_count = head.count(CONTENT_LENGTH)
    if length_count > 1:
        raise errors.BadRequest("more than one content-length header")
    if length_count:
        value = (
            head.partition(CONTENT_LENGTH)[2].partition(CRLF)[0].strip(b" \t")
        )
        if not value.isdigit() or len(value) > MAX_CONTENT_LENGTH_DIGIT_COUNT:
            raise errors.BadRequest("content-length is not a valid number")
    if TRANSFER_ENCODING not in head:
        return
    if length_count:
        raise errors.BadRequest(
            "both content-length and transfer-encoding are present"
        )
    if version == VERSION_1_0:
        raise errors.BadRequest("transfer-encoding is not allowed in HTTP/1.0")
