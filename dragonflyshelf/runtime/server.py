"""One instance: all of its tasks, wired to each other."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import signal
import time
import typing

from absl import logging

from dragonflyshelf.core import ids
from dragonflyshelf.core.limits import messages as limits
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.callers import listener
from dragonflyshelf.runtime.control import coordinator as control
from dragonflyshelf.runtime.grants import coordinator as grants
from dragonflyshelf.runtime.operators import coordinator as operators
from dragonflyshelf.runtime.peers import coordinator as peers
from dragonflyshelf.runtime.platform import coordinator as platform
from dragonflyshelf.runtime.router import coordinator as router
from dragonflyshelf.runtime.timeline import clock
from dragonflyshelf.runtime.timeline import coordinator as timeline

_LOGGER = logging.get_absl_logger()


@dataclasses.dataclass(kw_only=True)
class Server:
    """The tasks of a running instance."""

    callers: listener.CallerListenerTask
    control: control.ControlTask
    operators: operators.OperatorsListener
    peers: peers.PeersTask
    router: router.RouterTask


@contextlib.asynccontextmanager
async def async_serving(
    config: settings.Settings,
) -> abc.AsyncIterator[Server]:
    """Run an instance for the length of a ``with`` block."""
    incarnation = ids.Incarnation(time.time_ns())
    async with contextlib.AsyncExitStack() as stack:
        router_task = router.RouterTask(config, incarnation)
        writes = platform.PlatformWriteTask(config.platform)
        ready: list[control.ControlTask] = []
        operators_listener = operators.OperatorsListener(
            lambda: bool(ready) and ready[0].ready
        )
        host = config.listen.host
        await operators_listener.async_listen(
            host, config.listen.operator_port
        )
        stack.callback(operators_listener.close)
        own = objects.Member(
            instance=config.instance.name,
            incarnation=incarnation,
            host=host,
            peer_port=config.listen.peer_port,
            operator_port=operators_listener.port,
        )
        control_task = control.ControlTask(
            config, own, router_task.inbox, writes.inbox
        )
        watch = platform.PlatformWatchTask(config.platform, control_task.inbox)
        control_task.watch_inbox = watch.inbox
        ready.append(control_task)
        peers_task = peers.PeersTask(
            config,
            incarnation,
            router_task.inbox,
            control_task.inbox,
            router_task.next_exchange,
        )
        process_clock = clock.ProcessClock()
        peers_task.clock = process_clock
        timeline_task = timeline.TimelineTask(
            config, incarnation, process_clock
        )
        control_task.timeline_inbox = timeline_task.inbox
        router_task.timeline_inbox = timeline_task.inbox
        router_task.control_inbox = control_task.inbox
        router_task.peers_inbox = peers_task.inbox
        control_task.peers_inbox = peers_task.inbox
        for kind in typing.get_args(limits.PeerMessage):
            peers_task.inboxes_by_type[kind] = router_task.inbox
        grants_task = grants.GrantsTask(config, control_task.inbox)
        control_task.grants_inbox = grants_task.inbox
        callers = listener.CallerListenerTask(
            config, router_task.inbox, router_task.next_exchange
        )
        await peers_task.async_listen(host, config.listen.peer_port)
        await callers.async_listen(host, config.listen.caller_port)
        for one in (
            watch,
            timeline_task,
            writes,
            grants_task,
            router_task,
            peers_task,
            control_task,
            callers,
        ):
            await stack.enter_async_context(one.async_running())
        _LOGGER.info("instance serves on port %d", callers.port)
        yield Server(
            callers=callers,
            control=control_task,
            operators=operators_listener,
            peers=peers_task,
            router=router_task,
        )


async def async_main(config: settings.Settings) -> None:
    """Serve until a signal asks for the end."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for one in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(one, stop.set)
    async with async_serving(config):
        await stop.wait()
