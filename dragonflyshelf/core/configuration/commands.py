"""From a command to one conditional update, by what the view holds.

A planner is registered for each type of command. It reads the view and
returns the update, which runs against the version that it was planned
on; so a change that it did not see makes the update fail.
"""

from collections import abc
import dataclasses
from typing import Any, Final

from dragonflyshelf.core.configuration import checks
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import kinds
from dragonflyshelf.core.language import statements
from dragonflyshelf.core.platform import messages
from dragonflyshelf.core import registry
from dragonflyshelf.core import states

NO_VERSION: Final = ids.Version(0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewKey:
    """A caller key that was drawn for this command, if it grants one."""

    secret: str = dataclasses.field(repr=False)
    digest: ids.KeyDigest


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Context:
    """What a planner works on."""

    view: view.ObjectView
    write_id: ids.WriteId
    new_key: NewKey


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """An update that passed all checks, and what it overrides.

    ``secret`` is the caller key to show once; ``forced`` names the
    checks that fail and that the operator forced.
    """

    write: messages.WriteObject
    before: Any
    forced: tuple[str, ...] = ()
    secret: str = dataclasses.field(default="", repr=False)


Planner = abc.Callable[[Any, Context], Plan]
PLANNERS: Final[registry.Registry[type, Planner]] = registry.Registry(
    "commands"
)


def plan(command: statements.Command, context: Context) -> Plan:
    """Return the update of a command, or raise why it is refused."""
    return PLANNERS.get(type(command))(command, context)


def present(
    shared: view.ObjectView,
    kind: states.ObjectKind,
    name: str,
    expected: ids.Version | None = None,
) -> view.Known:
    """Return an object of the expected version, or raise.

    Raises ``NoSuchObject`` or ``VersionConflict``.
    """
    word = kinds.WORDS_BY_KIND[kind]
    known = shared.get(kind, name)
    if known is None and kinds.of(kind).has_default:
        value = kinds.of(kind).type(name=name)
        known = view.Known(version=NO_VERSION, value=value)
    if known is None:
        raise errors.NoSuchObject(f"there is no {word} {name}")
    if expected is not None and expected != known.version:
        raise errors.VersionConflict(
            f"{word} {name} has version {known.version}, not {expected}",
            step=states.Step.COMMAND,
        )
    return known


def _write(
    context: Context,
    kind: states.ObjectKind,
    name: str,
    version: ids.Version,
    value: Any,
) -> messages.WriteObject:
    return messages.WriteObject(
        key=messages.ObjectKey(kind=kind, name=ids.ObjectName(name)),
        expected=version,
        write_id=context.write_id,
        value=value,
    )


def _checked(
    context: Context,
    write: messages.WriteObject,
    before: Any,
    forced: bool = False,
    secret: str = "",
) -> Plan:
    change = checks.Change(
        view=context.view, key=write.key, before=before, after=write.value
    )
    overridden = checks.run(change, forced)
    return Plan(write=write, before=before, forced=overridden, secret=secret)


def _must_be_new(
    shared: view.ObjectView, kind: states.ObjectKind, name: str
) -> None:
    known = shared.get(kind, name)
    if known is not None:
        word = kinds.WORDS_BY_KIND[kind]
        raise errors.ObjectExists(
            f"{word} {name} exists already, with version {known.version}"
        )


@PLANNERS.register(statements.Create)
def plan_create(command: statements.Create, context: Context) -> Plan:
    """Plan a new object."""
    _must_be_new(context.view, command.kind, command.name)
    given = {one.name: one.value for one in command.settings}
    value = kinds.of(command.kind).type(name=command.name, **given)
    write = _write(context, command.kind, command.name, NO_VERSION, value)
    return _checked(context, write, None, command.forced)


@PLANNERS.register(statements.Alter)
def plan_alter(command: statements.Alter, context: Context) -> Plan:
    """Plan changed settings of an object."""
    known = present(context.view, command.kind, command.name, command.expected)
    given = {one.name: one.value for one in command.settings}
    value = dataclasses.replace(known.value, **given)
    write = _write(context, command.kind, command.name, known.version, value)
    return _checked(context, write, known.value, command.forced)


@PLANNERS.register(statements.Drop)
def plan_drop(command: statements.Drop, context: Context) -> Plan:
    """Plan the end of an object."""
    known = present(context.view, command.kind, command.name, command.expected)
    if known.version == NO_VERSION:
        word = kinds.WORDS_BY_KIND[command.kind]
        raise errors.NoSuchObject(f"there is no {word} {command.name}")
    write = _write(context, command.kind, command.name, known.version, None)
    return _checked(context, write, known.value, command.forced)


@PLANNERS.register(statements.GrantKey)
def plan_grant(command: statements.GrantKey, context: Context) -> Plan:
    """Plan a caller key; the plan carries the key to show once."""
    kind = states.ObjectKind.CALLER_KEY
    _must_be_new(context.view, kind, command.key_id)
    value = objects.CallerKey(
        key_id=command.key_id,
        digest=context.new_key.digest,
        workspace=command.workspace,
    )
    write = _write(context, kind, command.key_id, NO_VERSION, value)
    return _checked(context, write, None, secret=context.new_key.secret)


@PLANNERS.register(statements.WithdrawKey)
def plan_withdraw(command: statements.WithdrawKey, context: Context) -> Plan:
    """Plan the end of a caller key's use; its object stays."""
    kind = states.ObjectKind.CALLER_KEY
    known = present(context.view, kind, command.key_id, command.expected)
    value = dataclasses.replace(known.value, withdrawn=True)
    write = _write(context, kind, command.key_id, known.version, value)
    return _checked(context, write, known.value)
