"""One instance: all of its tasks, wired to each other."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import pathlib
import signal
import time

from absl import logging

from dragonflyshelf.core import addresses
from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.platform import names
from dragonflyshelf.runtime.callers import listener
from dragonflyshelf.runtime.gateway import control
from dragonflyshelf.runtime.gateway import health
from dragonflyshelf.runtime.gateway import router
from dragonflyshelf.runtime.grantor import calls
from dragonflyshelf.runtime.relay import client
from dragonflyshelf.runtime.relay import server as relay
from dragonflyshelf.runtime import reload
from dragonflyshelf.runtime import shutdown
from dragonflyshelf.runtime.store import watch
from dragonflyshelf.runtime.store import write

_LOGGER = logging.get_absl_logger()


@dataclasses.dataclass(kw_only=True)
class Server:
    """The tasks of a running instance that others may ask."""

    callers: listener.CallerListenerTask
    control: control.ControlTask
    router: router.RouterTask
    shutdown: shutdown.ShutdownTask


@contextlib.asynccontextmanager
async def async_serving(
    config: settings.Settings,
) -> abc.AsyncIterator[Server]:
    """Run an instance for the length of a ``with`` block."""
    entry = addresses.parse(config.entry.callers)
    ready = addresses.parse(config.entry.ready)
    own = grantor.Lease(
        holder=config.instance.name,
        incarnation=ids.Incarnation(time.time_ns()),
        host=entry.host,
        port=config.entry.relay_port,
        count=0,
    )
    control_task = control.ControlTask(config, own)
    router_task = router.RouterTask(config, names.HEADERS)
    callers = listener.CallerListenerTask(
        config, router_task.inbox, router_task.next_exchange, names.HEADERS
    )
    watch_task = watch.StoreWatchTask(config.store, control_task.inbox)
    write_task = write.StoreWriteTask(config.store, control_task.inbox)
    grants_task = calls.GrantCallsTask(config.grants, control_task.inbox)
    relay_client = client.RelayClientTask(control_task.inbox)
    relay_server = relay.RelayServerTask(control_task.inbox)
    control_task.peers = control.Peers(
        router=router_task.inbox,
        callers=callers.inbox,
        watch=watch_task.inbox,
        write=write_task.inbox,
        grants=grants_task.inbox,
        relay=relay_client.inbox,
    )
    router_task.control_inbox = control_task.inbox
    shutdown_task = shutdown.ShutdownTask(
        config.shutdown,
        (callers.inbox,),
        control_task.inbox,
        lambda: shutdown.Cut(
            connections=callers.connection_count,
            requests=router_task.exchanges,
        ),
    )
    health_listener = health.HealthListener(lambda: control_task.is_ready)
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(health_listener.close)
        ports = [ready.port]
        if config.entry.metrics_port:
            ports.append(config.entry.metrics_port)
        await health_listener.async_listen(ready.host, *ports)
        await relay_server.async_listen(entry.host, own.port)
        await callers.async_listen(entry.host, entry.port)
        for one in (
            router_task,
            callers,
            watch_task,
            write_task,
            grants_task,
            relay_client,
            relay_server,
            control_task,
            shutdown_task,
        ):
            await stack.enter_async_context(one.async_running())
        control_task.begin()
        _LOGGER.info("instance serves on port %d", entry.port)
        yield Server(
            callers=callers,
            control=control_task,
            router=router_task,
            shutdown=shutdown_task,
        )


@contextlib.asynccontextmanager
async def async_reloading(
    config: settings.Settings, path: pathlib.Path, serving: Server
) -> abc.AsyncIterator[reload.ReloadTask]:
    """Let a running instance take over a changed settings file."""
    receivers = (
        serving.router.inbox,
        serving.control.inbox,
        serving.callers.inbox,
    )
    made = reload.ReloadTask(config, path, receivers)
    async with made.async_running():
        yield made


async def async_main(
    config: settings.Settings, path: pathlib.Path
) -> shutdown.Cut:
    """Serve until signals ask for the end; return what was cut.

    ``path`` is the settings file, which is read again on ``SIGHUP``.
    """
    loop = asyncio.get_running_loop()
    async with (
        async_serving(config) as serving,
        async_reloading(config, path, serving) as reloading,
    ):
        ending = serving.shutdown
        for one in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(
                one, ending.inbox.post, shutdown.StopWanted()
            )
        loop.add_signal_handler(
            signal.SIGHUP, reloading.inbox.post, reload.ReloadWanted()
        )
        return await ending.async_wait()
