"""Messages by which instances obtain tokens from the leader."""

import dataclasses

from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenRequest:
    """Request of an instance for tokens of a workspace."""

    workspace: ids.WorkspaceId
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TokenAllocation:
    """Response of the leader to a token request.

    ``tokens`` is 0 if none is available; ``wait`` is then the number of
    seconds until one is expected.
    """

    workspace: ids.WorkspaceId
    tokens: int
    wait: float
