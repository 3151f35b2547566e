"""Registry of the faults that an episode injects.

A fault is an async function that injects the fault, waits and reverts it.
"""

import asyncio
from collections import abc
import dataclasses
import random
import signal
import time
from typing import Final

from bench import processes
from bench.soak import checks
from bench.soak import proxy
from bench.soak import record
from bench.soak import traffic
from dragonflyshelf.core import registry
from stand_ins import configuration
from stand_ins import store
from stand_ins import upstream

LEAST_RATE: Final = 60.0
"""Lowest rate that is configured for a workspace."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Upstream:
    """An upstream stand-in behind its proxy."""

    server: upstream.UpstreamServer
    proxy: proxy.LoopbackProxy
    data_centre: str

    def entry(self) -> dict[str, object]:
        """Return its registration in the store, with the proxy's address."""
        found = self.server.make_registration(processes.HOST, self.data_centre)
        found["Address"] = f"{processes.HOST}:{self.proxy.port}"
        return found


def configuration_of(
    version: int, second_keys: list[str], rate: float
) -> dict[str, object]:
    """Return a configuration of two workspaces in the stored form."""
    return configuration.build_configuration(
        version,
        [traffic.KEYS_BY_WORKSPACE[traffic.FIRST]],
        rate,
        other_workspaces=((traffic.SECOND, second_keys),),
    )


@dataclasses.dataclass(kw_only=True)
class World:
    """Processes, stand-ins and proxies that faults act on."""

    chance: random.Random
    found: record.Record
    instances: list[processes.Instance]
    store: store.StoreServer
    store_proxies: list[proxy.LoopbackProxy]
    upstreams: list[Upstream]
    busy: set[str] = dataclasses.field(default_factory=set)
    second_keys: list[str] = dataclasses.field(
        default_factory=lambda: [traffic.KEYS_BY_WORKSPACE[traffic.SECOND]]
    )
    version: int = 1

    def configure(self, rate: float) -> None:
        """Write a configuration with the next version."""
        self.version += 1
        spec = configuration_of(self.version, self.second_keys, rate)
        self.store.objects.replace("config", "main", spec, None)
        self.store.notify_watches()

    def withdraw(self) -> None:
        """Withdraw the key of the second workspace permanently."""
        self.second_keys.clear()
        self.configure(LEAST_RATE)
        self.found.withdrawn_at[traffic.SECOND] = time.monotonic()

    async def async_start(self, one: processes.Instance) -> None:
        """Start an instance and wait until it is ready."""
        one.start()
        try:
            await one.async_wait_ready()
        except TimeoutError as error:
            self.found.not_ready.append(str(error))

    def free_instance(self) -> processes.Instance | None:
        """Reserve a random instance that no other fault has reserved.

        At least one instance always stays unreserved.
        """
        free = [one for one in self.instances if one.name not in self.busy]
        if len(free) < 2:
            return None
        found = self.chance.choice(free)
        self.busy.add(found.name)
        return found

    def give_back(self, one: processes.Instance, begin: float) -> None:
        """Record the disruption and release the reservation."""
        self.found.disturbed.append(
            record.Disturbed(
                instance=one.name, begin=begin, end=time.monotonic()
            )
        )
        self.busy.discard(one.name)


Fault = abc.Callable[[World], abc.Awaitable[None]]

FAULTS: Final[registry.Registry[str, Fault]] = registry.Registry("soak faults")


@FAULTS.register("kill")
async def async_kill(world: World) -> None:
    """Kill an instance and restart it."""
    one = world.free_instance()
    if one is None:
        return
    begin = time.monotonic()
    one.send_signal(signal.SIGKILL)
    await one.async_wait_exit(checks.END_SECONDS)
    await asyncio.sleep(world.chance.uniform(0.1, 1.5))
    await world.async_start(one)
    world.give_back(one, begin)


@FAULTS.register("stop")
async def async_stop(world: World) -> None:
    """Shut an instance down gracefully and restart it."""
    one = world.free_instance()
    if one is None:
        return
    begin = time.monotonic()
    one.send_signal(signal.SIGTERM)
    await one.async_wait_exit(checks.END_SECONDS)
    world.found.ends[one.name].append(time.monotonic() - begin)
    one.send_signal(signal.SIGKILL)
    await one.async_wait_exit(checks.END_SECONDS)
    await world.async_start(one)
    world.busy.discard(one.name)


@FAULTS.register("pause")
async def async_pause(world: World) -> None:
    """Suspend the process of an instance for a time."""
    one = world.free_instance()
    if one is None:
        return
    begin = time.monotonic()
    one.send_signal(signal.SIGSTOP)
    await asyncio.sleep(world.chance.uniform(0.2, 4.0))
    one.send_signal(signal.SIGCONT)
    world.give_back(one, begin)


@FAULTS.register("reload")
async def async_reload(world: World) -> None:
    """Send SIGHUP to an instance."""
    world.chance.choice(world.instances).send_signal(signal.SIGHUP)


@FAULTS.register("store")
async def async_store_fault(world: World) -> None:
    """Inject a random fault into the store, for all instances."""
    injection = world.store.injection
    injection.fault = world.chance.choice(list(store.Fault))
    injection.delay_seconds = world.chance.choice((0.0, 0.05, 0.3))
    await asyncio.sleep(world.chance.uniform(0.5, 6.0))
    injection.fault = store.Fault.NONE
    injection.delay_seconds = 0.0


@FAULTS.register("store history")
async def async_compact(world: World) -> None:
    """Discard the store's history of changes."""
    world.store.objects.compact()
    world.store.notify_watches()


@FAULTS.register("store link")
async def async_store_link(world: World) -> None:
    """Inject a fault into the connection of one instance to the store."""
    link = world.chance.choice(world.store_proxies)
    link.set_mode(world.chance.choice(list(proxy.Mode)), delay=0.3)
    await asyncio.sleep(world.chance.uniform(0.3, 5.0))
    link.set_mode(proxy.Mode.PASS)


@FAULTS.register("upstream link")
async def async_upstream_link(world: World) -> None:
    """Inject a fault into the connections to one upstream."""
    one = world.chance.choice(world.upstreams)
    one.proxy.set_mode(world.chance.choice(list(proxy.Mode)), delay=0.05)
    await asyncio.sleep(world.chance.uniform(0.2, 2.5))
    one.proxy.set_mode(proxy.Mode.PASS)


@FAULTS.register("upstream")
async def async_upstream_fault(world: World) -> None:
    """Inject a random fault into the request handling of one upstream."""
    one = world.chance.choice(world.upstreams).server
    one.fault = world.chance.choice(list(upstream.Fault))
    await asyncio.sleep(world.chance.uniform(0.2, 3.0))
    one.fault = upstream.Fault.NONE


@FAULTS.register("upstream crash")
async def async_crash(world: World) -> None:
    """Restart an upstream; its next incarnation has the same id."""
    one = world.chance.choice(world.upstreams)
    if one.server.name in world.busy:
        return
    world.busy.add(one.server.name)
    one.proxy.set_mode(proxy.Mode.RESET)
    one.server.crash()
    await asyncio.sleep(world.chance.uniform(1.0, 4.0))
    one.server.crash()
    one.proxy.set_mode(proxy.Mode.PASS)
    world.store.objects.replace("servers", one.server.name, one.entry(), None)
    world.store.notify_watches()
    world.busy.discard(one.server.name)


@FAULTS.register("configuration")
async def async_configure(world: World) -> None:
    """Change the rates several times in quick succession."""
    for _ in range(world.chance.randrange(1, 4)):
        world.configure(world.chance.uniform(1.0, 2.0) * LEAST_RATE)
        await asyncio.sleep(world.chance.uniform(0.0, 0.3))
