"""What is done for each type of statement."""

import asyncio
from collections import abc
import dataclasses
import secrets
from typing import Any, Final

from dragonflyshelf.codec import http
from dragonflyshelf.codec import operators as codec
from dragonflyshelf.core.configuration import commands
from dragonflyshelf.core.configuration import explain
from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import keys
from dragonflyshelf.core.language import kinds
from dragonflyshelf.core.language import printer
from dragonflyshelf.core.language import statements
from dragonflyshelf.core.language import tables
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import registry
from dragonflyshelf.core import states
from dragonflyshelf.core.timeline import audit
from dragonflyshelf.core.timeline import events
from dragonflyshelf.runtime.operators import in_force
from dragonflyshelf.runtime.operators import messages
from dragonflyshelf.runtime.operators import session
from dragonflyshelf.runtime.platform import coordinator as platform_tasks

APPLY_SECONDS = 1.0
HIDDEN_FIELDS = frozenset({"digest"})
KEY_BYTES = 24
TABLE_SERVICES = "services"
WRITE_SECONDS = 20.0

Runner = abc.Callable[[session.Session, Any], abc.Awaitable[codec.Answer]]
RUNNERS: Final[registry.Registry[type, Runner]] = registry.Registry(
    "statements"
)


async def async_run(
    asker: session.Session, statement: statements.Statement
) -> codec.Answer:
    """Run a statement and return its answer, or raise."""
    return await RUNNERS.get(type(statement))(asker, statement)


@RUNNERS.register(statements.Show)
async def async_show(
    asker: session.Session, show: statements.Show
) -> codec.Answer:
    """Show rows of one instance or of all."""
    if show.table not in diagnostics.TABLES:
        raise errors.BadStatement(
            f"there is no table {show.table!r}",
            column=show.column,
            expected=tuple(sorted(diagnostics.TABLES)),
        )
    missing: tuple[codec.Missing, ...] = ()
    if keys.asks_for_key(show):
        services = await asker.async_rows(TABLE_SERVICES)
        show = keys.with_shard(show, services)
    if show.everywhere:
        table, missing = await asker.async_everywhere(show.table)
    else:
        table = await asker.async_table(show.table)
    answer = codec.of_table(tables.evaluate(show, table))
    return dataclasses.replace(answer, missing=missing)


@RUNNERS.register(statements.ExplainKey)
@RUNNERS.register(statements.ExplainRequest)
async def async_explain(
    asker: session.Session,
    statement: statements.ExplainKey | statements.ExplainRequest,
) -> codec.Answer:
    """Show the decisions about a key or a request."""
    answer = await session.async_ask(
        asker.inboxes.control,
        lambda reply: messages.ExplainWanted(
            statement=statement, reply_to=reply
        ),
    )
    columns = tuple(one.name for one in dataclasses.fields(explain.ExplainRow))
    return codec.QueryAnswer(
        columns=columns,
        rows=tuple(dataclasses.astuple(one) for one in answer.rows),
    )


@RUNNERS.register(statements.Wait)
async def async_wait(
    asker: session.Session, statement: statements.Wait
) -> codec.Answer:
    """Wait until a version is in force on every instance."""
    return await in_force.async_wait(asker, statement)


@RUNNERS.register(statements.Audit)
async def async_audit(
    asker: session.Session, statement: statements.Audit
) -> codec.Answer:
    """Check every promise against what all instances answer."""
    tables_by_name = {}
    missing: dict[ids.InstanceId, codec.Missing] = {}
    for name in audit.TABLES:
        table, absent = await asker.async_everywhere(name)
        tables_by_name[name] = table
        missing.update({one.instance: one for one in absent})
    records = audit.Records(tables_by_name, len(missing))
    columns = tuple(one.name for one in dataclasses.fields(audit.Finding))
    return codec.QueryAnswer(
        columns=columns,
        rows=tuple(dataclasses.astuple(one) for one in audit.audit(records)),
        missing=tuple(missing.values()),
    )


@RUNNERS.register(statements.DryRun)
async def async_dry_run(
    asker: session.Session, statement: statements.DryRun
) -> codec.Answer:
    """Show what a command would change."""
    plan = await _async_plan(asker, statement.command)
    answer = _answer(statement.command, plan, ids.Version(0))
    return dataclasses.replace(answer, dry_run=True, caller_key="")


@RUNNERS.register(statements.Alter)
@RUNNERS.register(statements.Create)
@RUNNERS.register(statements.Drop)
@RUNNERS.register(statements.GrantKey)
@RUNNERS.register(statements.WithdrawKey)
async def async_command(
    asker: session.Session, command: statements.Command
) -> codec.Answer:
    """Carry out a command; the answer means that it is durable."""
    text = printer.print_statement(command)
    try:
        plan = await _async_plan(asker, command)
        version = await _async_write(asker, plan)
    except errors.RouterError as error:
        asker.record_refusal(text, error)
        raise
    asker.record(
        events.TimelineEvent(
            kind=events.EventKind.COMMAND_ACCEPTED,
            version=version,
            detail=f"{asker.operator.name}: {text}",
        )
    )
    return _answer(command, plan, version)


async def _async_plan(
    asker: session.Session, command: statements.Command
) -> commands.Plan:
    secret = secrets.token_urlsafe(KEY_BYTES)
    new_key = commands.NewKey(
        secret=secret, digest=http.digest_key(secret.encode())
    )
    answer = await session.async_ask(
        asker.inboxes.control,
        lambda reply: messages.PlanWanted(
            command=command,
            write_id=asker.next_write_id(),
            new_key=new_key,
            reply_to=reply,
        ),
    )
    if isinstance(answer, messages.Refused):
        raise answer.error
    return answer


async def _async_write(
    asker: session.Session, plan: commands.Plan
) -> ids.Version:
    """Return the version of a durable change, or raise what is known."""
    write = plan.write
    word = kinds.WORDS_BY_KIND[write.key.kind]
    name = f"{word} {write.key.name}"
    unknown = errors.ResultUnknown(
        f"the platform did not say whether {name} changed;"
        f" write id {write.write_id}",
        outcome=states.Outcome.UNKNOWN,
    )
    try:
        finished = await session.async_ask(
            asker.inboxes.writes,
            lambda reply: platform_tasks.WriteRequest(
                write=write, reply_to=reply
            ),
            WRITE_SECONDS,
        )
    except TimeoutError as error:
        raise unknown from error
    if finished.result is states.WriteResult.UNKNOWN:
        raise unknown
    if finished.result is states.WriteResult.CONFLICT:
        raise errors.VersionConflict(
            f"{name} has version {finished.version} now,"
            f" not {write.expected}",
            step=states.Step.COMMAND,
        )
    if finished.result is not states.WriteResult.DONE:
        raise errors.PlatformUnavailable(f"{name} was not changed")
    asker.inboxes.control.post(finished)
    await _async_applied(asker, write.key, finished.version)
    return ids.Version(finished.version)


async def _async_applied(
    asker: session.Session, key: platform.ObjectKey, version: ids.Version
) -> None:
    """Wait a little, so that the next statement here sees the change."""
    try:
        await in_force.async_local(asker.inboxes, key, version, APPLY_SECONDS)
    except TimeoutError:
        await asyncio.sleep(0)


def _answer(
    command: statements.Command, plan: commands.Plan, version: ids.Version
) -> codec.CommandAnswer:
    return codec.CommandAnswer(
        command=printer.print_statement(command),
        version=version,
        write_id=plan.write.write_id,
        caller_key=plan.secret,
        forced=plan.forced,
        before=_describe(plan.before),
        after=_describe(plan.write.value),
    )


def _describe(value: Any) -> str:
    if value is None:
        return "nothing"
    return " ".join(
        f"{field.name}={printer.word(getattr(value, field.name))}"
        for field in dataclasses.fields(value)
        if field.name not in HIDDEN_FIELDS
    )
