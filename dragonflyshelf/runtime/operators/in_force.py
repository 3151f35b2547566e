"""Waiting until a version is in force, here or on every instance."""

import asyncio
from typing import Any

from dragonflyshelf.codec import operators as codec
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import kinds
from dragonflyshelf.core.language import statements
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime.operators import messages
from dragonflyshelf.runtime.operators import session

DEFAULT_TIMEOUT = 17.0
PATH_IN_FORCE = "/in_force"
RETRY_SECONDS = 0.1
ROUND_SECONDS = 2.0
ROUTER_TABLE = "exchanges"
COLUMNS = ("instance", "version", "seconds")


async def async_local(
    inboxes: session.Inboxes,
    key: platform.ObjectKey,
    version: ids.Version,
    seconds: float,
) -> ids.Version:
    """Wait until the control and router tasks have applied a version.

    The router gets a change before the control task answers, so its
    next answer comes after it has taken the change in. Raises
    ``TimeoutError``.
    """
    reply = inbox.Inbox("reply")
    try:
        async with asyncio.timeout(seconds):
            inboxes.control.post(
                messages.InForceWanted(
                    key=key, version=version, reply_to=reply
                )
            )
            await reply.async_wait()
    except TimeoutError:
        inboxes.control.post(messages.ForgetWaiter(reply_to=reply))
        raise
    found = reply.pop()
    await session.async_ask(
        inboxes.router,
        lambda reply: runtime_messages.TableWanted(
            table=ROUTER_TABLE, reply_to=reply
        ),
    )
    return ids.Version(found.version)


async def async_wait(
    asker: session.Session, statement: statements.Wait
) -> codec.Answer:
    """Wait for every member of the rosters, as they change."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    timeout = statement.timeout or DEFAULT_TIMEOUT
    version = await _async_version(asker, statement)
    done: dict[ids.InstanceId, tuple[Any, ...]] = {}
    missing: tuple[codec.Missing, ...] = ()
    while True:
        members = await asker.async_members()
        waited = loop.time() - started_at
        left = timeout - waited
        pending = [one for one in members if one.instance not in done]
        if not pending:
            return _done(members, done)
        if left <= 0:
            return _missing(statement, version, pending, missing)
        call = codec.InForceCall(
            kind=statement.kind.value,
            name=statement.name,
            version=version,
            timeout=min(left, ROUND_SECONDS),
        )
        missing = await _async_round(asker, call, pending, done, started_at)
        if missing:
            await asyncio.sleep(RETRY_SECONDS)


async def _async_version(
    asker: session.Session, statement: statements.Wait
) -> ids.Version:
    if statement.version:
        return statement.version
    key = platform.ObjectKey(kind=statement.kind, name=statement.name)
    answer = await session.async_ask(
        asker.inboxes.control,
        lambda reply: messages.VersionWanted(key=key, reply_to=reply),
    )
    return ids.Version(answer.version)


async def _async_round(
    asker: session.Session,
    call: codec.InForceCall,
    pending: list[Any],
    done: dict[ids.InstanceId, tuple[Any, ...]],
    started_at: float,
) -> tuple[codec.Missing, ...]:
    """Ask those who are pending; return who is still missing."""
    loop = asyncio.get_running_loop()
    limit = asyncio.Semaphore(session.PARALLEL_CALLS)
    missing = []

    async def async_one(member: Any) -> None:
        async with limit:
            answer = await asker.async_call(
                member,
                PATH_IN_FORCE,
                codec.encode(call),
                call.timeout + session.INSTANCE_SECONDS,
            )
        if isinstance(answer, codec.Missing):
            missing.append(answer)
            return
        found = codec.decode_query(answer)
        seconds = round(loop.time() - started_at, 4)
        done[member.instance] = (member.instance, found.rows[0][0], seconds)

    await asyncio.gather(*(async_one(one) for one in pending))
    return tuple(missing)


def _done(
    members: tuple[Any, ...], done: dict[ids.InstanceId, tuple[Any, ...]]
) -> codec.QueryAnswer:
    rows = (done[one.instance] for one in members)
    return codec.QueryAnswer(columns=COLUMNS, rows=tuple(sorted(rows)))


def _missing(
    statement: statements.Wait,
    version: ids.Version,
    pending: list[Any],
    missing: tuple[codec.Missing, ...],
) -> codec.ErrorAnswer:
    names = ", ".join(sorted(one.instance for one in pending))
    word = kinds.WORDS_BY_KIND[statement.kind]
    error = errors.NotInForce(
        f"{word} {statement.name} version {version} is not in force on"
        f" {names}"
    )
    answer = codec.of_error(error)
    return codec.ErrorAnswer(
        code=answer.code,
        message=answer.message,
        step=answer.step,
        peer=answer.peer,
        outcome=answer.outcome,
        missing=missing,
    )
