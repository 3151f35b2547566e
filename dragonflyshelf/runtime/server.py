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
from dragonflyshelf.runtime.operators import diagnostics
from dragonflyshelf.runtime.operators import session
from dragonflyshelf.runtime.peers import coordinator as peers
from dragonflyshelf.runtime.platform import coordinator as platform
from dragonflyshelf.runtime.router import coordinator as router
from dragonflyshelf.runtime import shutdown
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.timeline import clock
from dragonflyshelf.runtime.timeline import coordinator as timeline

_LOGGER = logging.get_absl_logger()


@dataclasses.dataclass(kw_only=True)
class Server:
    """The tasks of a running instance.

    ``private`` is None without a port for private callers.
    """

    callers: listener.CallerListenerTask
    private: listener.CallerListenerTask | None
    control: control.ControlTask
    operators: operators.OperatorsListener
    peers: peers.PeersTask
    router: router.RouterTask
    shutdown: shutdown.ShutdownTask
    tasks: tuple[task.Task, ...]
    lag: diagnostics.LoopLagTask

    def read(self) -> diagnostics.Reading:
        """Return the present state for the metrics."""
        listeners = {"open": self.callers}
        if self.private is not None:
            listeners["private"] = self.private
        return diagnostics.Reading(
            ready=self.ready,
            leased=self.control.ready,
            draining=self.shutdown.phase is not shutdown.Phase.SERVING,
            requests=self.router.exchanges,
            connections_by_listener={
                name: one.connections for name, one in listeners.items()
            },
            messages_by_inbox={
                one.inbox.name: len(one.inbox) for one in self.tasks
            },
            loop_lag=self.lag.take(),
        )

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        serving = self.shutdown.phase is shutdown.Phase.SERVING
        return serving and self.control.ready


@contextlib.asynccontextmanager
async def async_serving(
    config: settings.Settings,
) -> abc.AsyncIterator[Server]:
    """Run an instance for the length of a ``with`` block."""
    incarnation = ids.Incarnation(time.time_ns())
    async with contextlib.AsyncExitStack() as stack:
        router_task = router.RouterTask(config, incarnation)
        writes = platform.PlatformWriteTask(config.platform)
        serving: list[Server] = []
        operators_listener = operators.OperatorsListener(
            lambda: bool(serving) and serving[0].ready,
            config,
            incarnation,
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
        operators_listener.inboxes = session.Inboxes(
            control=control_task.inbox,
            router=router_task.inbox,
            timeline=timeline_task.inbox,
            writes=writes.inbox,
        )
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
        listeners = [callers]
        private = None
        if config.listen.private_port:
            private = listener.CallerListenerTask(
                config,
                router_task.inbox,
                router_task.next_exchange,
                private=True,
            )
            await private.async_listen(host, config.listen.private_port)
            listeners.append(private)
        shutdown_task = shutdown.ShutdownTask(
            config.shutdown,
            tuple(one.inbox for one in listeners),
            control_task.inbox,
            lambda: shutdown.Cut(
                connections=sum(one.connections for one in listeners),
                requests=router_task.exchanges,
            ),
        )
        lag_task = diagnostics.LoopLagTask()
        tasks = (
            watch,
            timeline_task,
            writes,
            grants_task,
            router_task,
            peers_task,
            control_task,
            *listeners,
            shutdown_task,
            lag_task,
        )
        for one in tasks:
            await stack.enter_async_context(one.async_running())
        _LOGGER.info("instance serves on port %d", callers.port)
        serving.append(
            Server(
                callers=callers,
                private=private,
                control=control_task,
                operators=operators_listener,
                peers=peers_task,
                router=router_task,
                shutdown=shutdown_task,
                tasks=tasks,
                lag=lag_task,
            )
        )
        stack.enter_context(diagnostics.collecting(serving[0].read))
        yield serving[0]


async def async_main(config: settings.Settings) -> shutdown.Cut:
    """Serve until signals ask for the end; return what was cut."""
    loop = asyncio.get_running_loop()
    async with async_serving(config) as serving:
        ending = serving.shutdown
        for one in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(
                one, ending.inbox.post, shutdown.StopWanted()
            )
        return await ending.async_wait()
