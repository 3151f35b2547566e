"""Messages between the operators' listener and the control task."""

import dataclasses
from typing import Any

from dragonflyshelf.core.configuration import commands
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import statements
from dragonflyshelf.core.platform import messages
from dragonflyshelf.runtime import inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlanWanted:
    """Ask the owner of the view for the plan of a command."""

    command: statements.Command
    write_id: ids.WriteId
    new_key: commands.NewKey
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ExplainWanted:
    """Ask the owner of the view for an explanation."""

    statement: statements.ExplainKey | statements.ExplainRequest
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """Answer: the statement is refused."""

    error: errors.RouterError


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explained:
    """Answer: the rows of an explanation."""

    rows: tuple[Any, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VersionWanted:
    """Ask for the present version of an object."""

    key: messages.ObjectKey
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InForceWanted:
    """Ask to be told once a version is in force here."""

    key: messages.ObjectKey
    version: ids.Version
    reply_to: inbox.Inbox


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InForce:
    """Answer: the object has this version, or a newer one, here."""

    version: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForgetWaiter:
    """The sender of ``InForceWanted`` no longer waits."""

    reply_to: inbox.Inbox
