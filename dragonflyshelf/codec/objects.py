"""Platform objects as JSON, by ``msgspec``."""

from typing import Any

import msgspec

from dragonflyshelf.core.configuration import objects as configuration
from dragonflyshelf.core import errors
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core.ownership import objects as ownership
from dragonflyshelf.core import states

TYPES_BY_KIND = {
    states.ObjectKind.CALLER_KEY: configuration.CallerKey,
    states.ObjectKind.DATA_CENTRE: configuration.DataCentre,
    states.ObjectKind.INSTANCE: configuration.Instance,
    states.ObjectKind.ROSTER: membership.Roster,
    states.ObjectKind.SEGMENT: ownership.Segment,
    states.ObjectKind.SERVICE: configuration.Service,
    states.ObjectKind.UPSTREAM: configuration.Upstream,
    states.ObjectKind.WORKSPACE: configuration.Workspace,
}


def to_plain(value: Any) -> Any:
    """Return an object's value as plain JSON types."""
    return msgspec.to_builtins(value)


def from_plain(kind: states.ObjectKind, plain: Any) -> Any:
    """Return the typed value of an object, or raise."""
    try:
        return msgspec.convert(plain, TYPES_BY_KIND[kind])
    except msgspec.ValidationError as error:
        raise errors.PlatformUnavailable(
            f"{kind.value} object is not valid: {error}"
        ) from error
