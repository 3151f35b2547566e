"""Start of an instance: creates, connects and runs its tasks."""

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
from dragonflyshelf.core.memory import limits
from dragonflyshelf.core import settings
from dragonflyshelf.platform import names
from dragonflyshelf.runtime.callers import listener
from dragonflyshelf.runtime.gateway import control
from dragonflyshelf.runtime.gateway import health
from dragonflyshelf.runtime.gateway import replication
from dragonflyshelf.runtime.gateway import router
from dragonflyshelf.runtime.grantor import calls
from dragonflyshelf.runtime import hangup
from dragonflyshelf.runtime import memory
from dragonflyshelf.runtime.relay import client
from dragonflyshelf.runtime.relay import server as relay
from dragonflyshelf.runtime import reload
from dragonflyshelf.runtime import shutdown
from dragonflyshelf.runtime.store import watch
from dragonflyshelf.runtime.store import write

_LOGGER = logging.get_absl_logger()


@dataclasses.dataclass(kw_only=True)
class Server:
    """Tasks of a running instance that other code may access."""

    callers: listener.CallerListenerTask
    control: control.ControlTask
    memory: memory.MemoryTask
    router: router.RouterTask
    shutdown: shutdown.ShutdownTask


@contextlib.asynccontextmanager
async def async_run_server(
    config: settings.Settings,
) -> abc.AsyncIterator[Server]:
    """Run an instance for the duration of a ``with`` block."""
    entry_address = addresses.parse(config.entry.callers)
    ready_address = addresses.parse(config.entry.ready)
    own_lease = grantor.Lease(
        holder=config.instance.name,
        incarnation=ids.Incarnation(time.time_ns()),
        host=entry_address.host,
        port=config.entry.relay_port,
        count=0,
    )
    control_task = control.ControlTask(config, own_lease)
    router_task = router.RouterTask(config, names.HEADERS)
    memory_limits = limits.derive(config)
    memory_task = memory.MemoryTask(memory_limits.sum_bytes)
    listener_task = listener.CallerListenerTask(
        config,
        router_task.inbox,
        router_task.next_exchange_id,
        names.HEADERS,
        memory_task.make_reporter,
    )
    watch_task = watch.StoreWatchTask(config.store, control_task.inbox)
    write_task = write.StoreWriteTask(config.store, control_task.inbox)
    grants_task = calls.GrantCallsTask(config.grants, control_task.inbox)
    relay_client_task = client.RelayClientTask(
        control_task.inbox, router_task.inbox
    )
    relay_server_task = relay.RelayServerTask(
        control_task.inbox, router_task.inbox
    )
    control_task.task_inboxes = replication.TaskInboxes(
        router=router_task.inbox,
        callers=listener_task.inbox,
        watch=watch_task.inbox,
        write=write_task.inbox,
        grants=grants_task.inbox,
        relay=relay_client_task.inbox,
    )
    router_task.control_inbox = control_task.inbox
    router_task.relay_inbox = relay_client_task.inbox
    shutdown_task = shutdown.ShutdownTask(
        config.shutdown,
        (listener_task.inbox,),
        control_task.inbox,
        lambda: shutdown.OpenCounts(
            connections=listener_task.connection_count,
            requests=router_task.exchange_count,
        ),
    )
    health_listener = health.HealthListener(
        lambda: control_task.readiness,
        memory_limits.health_connections,
        memory_task.make_reporter,
    )
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(health_listener.close)
        ready_ports = [ready_address.port]
        if config.entry.metrics_port:
            ready_ports.append(config.entry.metrics_port)
        await health_listener.async_listen(ready_address.host, *ready_ports)
        await relay_server_task.async_listen(
            entry_address.host, own_lease.port
        )
        await listener_task.async_listen(
            entry_address.host, entry_address.port
        )
        for instance_task in (
            memory_task,
            router_task,
            listener_task,
            watch_task,
            write_task,
            grants_task,
            relay_client_task,
            relay_server_task,
            control_task,
            shutdown_task,
        ):
            await stack.enter_async_context(instance_task.async_running())
        control_task.start_ticking()
        _LOGGER.info(
            "instance accepts requests on port %d", entry_address.port
        )
        yield Server(
            callers=listener_task,
            control=control_task,
            memory=memory_task,
            router=router_task,
            shutdown=shutdown_task,
        )


@contextlib.asynccontextmanager
async def async_run_reload(
    config: settings.Settings, path: pathlib.Path, server: Server
) -> abc.AsyncIterator[reload.ReloadTask]:
    """Run the task that reloads the settings of a running instance."""
    receivers = (
        server.router.inbox,
        server.control.inbox,
        server.callers.inbox,
        server.memory.inbox,
    )
    reload_task = reload.ReloadTask(config, path, receivers)
    async with reload_task.async_running():
        yield reload_task


async def async_main(
    config: settings.Settings, path: pathlib.Path
) -> shutdown.OpenCounts:
    """Run an instance until it is shut down by a signal.

    Return the connections and requests that were cut. ``path`` is the
    settings file, which is reloaded on ``SIGHUP``.
    """
    loop = asyncio.get_running_loop()
    async with (
        async_run_server(config) as server,
        async_run_reload(config, path, server) as reload_task,
    ):
        shutdown_task = server.shutdown
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(
                signal_number,
                shutdown_task.inbox.post,
                shutdown.StopRequested(),
            )
        loop.add_signal_handler(
            signal.SIGHUP, reload_task.inbox.post, reload.ReloadRequested()
        )
        if hangup.was_received():
            reload_task.inbox.post(reload.ReloadRequested())
        return await shutdown_task.async_wait()
