"""Messages between the control task and the shutdown."""

import dataclasses

from dragonflyshelf.runtime import inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """Hand over all leaderships and leave the roster."""

    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Drained:
    """Nothing is led any more and the roster is left."""
