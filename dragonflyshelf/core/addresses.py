"""Addresses of the form ``host:port``."""

import dataclasses
from typing import Final

from dragonflyshelf.core import errors


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """Host and port of a TCP endpoint."""

    host: str
    port: int


NO_ADDRESS: Final = Address(host="", port=0)
"""Encodes a missing address in messages between instances."""


def parse(text: str) -> Address:
    """Parse ``host:port``; raises ``InvalidSettings`` if it is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise errors.InvalidSettings(f"{text!r} is not of the form host:port")
    return Address(host=host, port=int(port))
