"""One statement of an operator: questions to tasks and instances."""

import asyncio
from collections import abc
import dataclasses
from typing import Any

import h11

from dragonflyshelf.codec import operators as codec
from dragonflyshelf.core import diagnostics
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import tables
from dragonflyshelf.core import settings
from dragonflyshelf.core.timeline import events
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime.operators import access

ASK_SECONDS = 5.0
INSTANCE_SECONDS = 3.0
PARALLEL_CALLS = 64
STATUS_OK = 200
TABLE_MEMBERS = "members"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Inboxes:
    """Inboxes of the tasks that know what operators ask for."""

    control: inbox.Inbox
    router: inbox.Inbox
    timeline: inbox.Inbox
    writes: inbox.Inbox

    def of(self, owner: diagnostics.Owner) -> inbox.Inbox:
        """Return the inbox of the task that owns a table."""
        return {
            diagnostics.Owner.CONTROL: self.control,
            diagnostics.Owner.ROUTER: self.router,
            diagnostics.Owner.TIMELINE: self.timeline,
        }[owner]


async def async_ask(
    target: inbox.Inbox,
    make: abc.Callable[[inbox.Inbox], Any],
    seconds: float = ASK_SECONDS,
) -> Any:
    """Send a question to a task and return its answer.

    Raises ``TimeoutError``.
    """
    reply = inbox.Inbox("reply")
    async with asyncio.timeout(seconds):
        target.post(make(reply))
        await reply.async_wait()
    return reply.pop()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Session:
    """What a statement needs to be run."""

    config: settings.Settings
    inboxes: Inboxes
    operator: access.Operator
    next_write_id: abc.Callable[[], ids.WriteId]

    async def async_table(self, name: str) -> tables.ResultTable:
        """Return a table of this instance."""
        return tables.from_rows(name, await self.async_rows(name))

    async def async_rows(self, name: str) -> diagnostics.Rows:
        """Return the typed rows of a table of this instance."""
        table = diagnostics.TABLES.get(name)
        answer = await async_ask(
            self.inboxes.of(table.owner),
            lambda reply: runtime_messages.TableWanted(
                table=name, reply_to=reply
            ),
        )
        return tuple(answer.rows)

    async def async_members(self) -> tuple[Any, ...]:
        """Return the rows of all members of the rosters."""
        return await self.async_rows(TABLE_MEMBERS)

    async def async_everywhere(
        self, name: str
    ) -> tuple[tables.ResultTable, tuple[codec.Missing, ...]]:
        """Return a table of all instances, and who did not answer."""
        members = await self.async_members()
        limit = asyncio.Semaphore(PARALLEL_CALLS)

        async def async_one(member: Any) -> Any:
            async with limit:
                return await self.async_call(
                    member, "/query", f'show "{name}"'.encode()
                )

        found = await asyncio.gather(*(async_one(one) for one in members))
        tables_by_instance = {}
        missing = []
        for member, answer in zip(members, found, strict=True):
            if isinstance(answer, codec.Missing):
                missing.append(answer)
                continue
            rows = codec.decode_query(answer)
            tables_by_instance[member.instance] = tables.ResultTable(
                columns=rows.columns, rows=rows.rows
            )
        return tables.merge(tables_by_instance), tuple(missing)

    async def async_call(
        self,
        member: Any,
        path: str,
        body: bytes,
        seconds: float = INSTANCE_SECONDS,
    ) -> bytes | codec.Missing:
        """Call another instance's listener as the same operator."""
        headers: tuple[tuple[str, str], ...] = ()
        if self.operator.authorization:
            headers = ((access.HEADER_TOKEN, self.operator.authorization),)
        try:
            async with (
                asyncio.timeout(seconds),
                http_client.async_open(
                    member.host, member.operator_port
                ) as client,
            ):
                answer = await client.async_call("POST", path, body, headers)
        except TimeoutError:
            return codec.Missing(
                instance=member.instance, reason="no answer in time"
            )
        except (OSError, h11.RemoteProtocolError) as error:
            return codec.Missing(instance=member.instance, reason=str(error))
        if answer.status != STATUS_OK:
            try:
                reason = codec.decode_error(answer.body).message
            except codec.MalformedError:
                reason = f"status {answer.status}"
            return codec.Missing(instance=member.instance, reason=reason)
        return answer.body

    def record(self, event: events.TimelineEvent) -> None:
        """Put an event on the time line."""
        self.inboxes.timeline.post(events.RecordEvent(event=event))

    def record_refusal(self, text: str, error: errors.RouterError) -> None:
        """Put a refused command on the time line."""
        self.record(
            events.TimelineEvent(
                kind=events.EventKind.COMMAND_REFUSED,
                code=error.code,
                detail=f"{self.operator.name}: {text}",
            )
        )
