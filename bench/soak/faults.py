"""Registry of the faults that an episode injects.

A fault is an async function that injects the fault, waits and reverts it.
"""

import asyncio
from collections import abc
import contextlib
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

MIN_REQUESTS_PER_SECOND: Final = 60.0
"""Lowest rate that is configured for a workspace."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProxiedUpstream:
    """An upstream stand-in behind its proxy."""

    server: upstream.UpstreamServer
    proxy: proxy.LoopbackProxy
    data_centre: str

    def make_registration(self) -> dict[str, object]:
        """Return its registration in the store, with the proxy's address."""
        registration = self.server.make_registration(
            processes.HOST, self.data_centre
        )
        registration["Address"] = f"{processes.HOST}:{self.proxy.port}"
        return registration


def make_configuration(
    version: int,
    second_keys: list[str],
    rate: float,
    other_prefixes: tuple[str, ...] = (),
) -> dict[str, object]:
    """Return a configuration of two workspaces in the stored form."""
    return configuration.build_configuration(
        version,
        [traffic.KEYS_BY_WORKSPACE[traffic.FIRST_WORKSPACE]],
        rate,
        other_workspaces=((traffic.SECOND_WORKSPACE, second_keys),),
        other_prefixes=other_prefixes,
    )


@dataclasses.dataclass(kw_only=True)
class Deployment:
    """Processes, stand-ins and proxies that faults act on."""

    rng: random.Random
    episode: record.EpisodeRecord
    instances: list[processes.Instance]
    store: store.StoreServer
    store_proxies: list[proxy.LoopbackProxy]
    upstreams: list[ProxiedUpstream]
    reserved_names: set[str] = dataclasses.field(default_factory=set)
    second_keys: list[str] = dataclasses.field(
        default_factory=lambda: [
            traffic.KEYS_BY_WORKSPACE[traffic.SECOND_WORKSPACE]
        ]
    )
    version: int = 1
    rate: float = MIN_REQUESTS_PER_SECOND
    other_prefixes: tuple[str, ...] = ()

    def write_configuration(self) -> None:
        """Write a configuration with the next version."""
        self.version += 1
        spec = make_configuration(
            self.version, self.second_keys, self.rate, self.other_prefixes
        )
        self.store.objects.replace("config", "main", spec, None)
        self.store.notify_watches()

    def register(
        self, proxied_upstream: ProxiedUpstream, **changes: object
    ) -> None:
        """Write the registration of an upstream, with fields changed."""
        registration = proxied_upstream.make_registration() | changes
        name = proxied_upstream.server.name
        self.store.objects.replace("servers", name, registration, None)
        self.store.notify_watches()

    def withdraw_key(self) -> None:
        """Withdraw the key of the second workspace permanently."""
        self.second_keys.clear()
        self.write_configuration()
        self.episode.withdrawn_at_by_workspace[traffic.SECOND_WORKSPACE] = (
            time.monotonic()
        )

    async def async_start_instance(self, instance: processes.Instance) -> None:
        """Start an instance and wait until it is ready."""
        instance.start()
        try:
            await instance.async_wait_ready()
        except TimeoutError as error:
            self.episode.readiness_failures.append(str(error))

    def reserve_instance(self) -> processes.Instance | None:
        """Reserve a random instance that no other fault has reserved.

        At least one instance always stays unreserved.
        """
        unreserved = [
            instance
            for instance in self.instances
            if instance.name not in self.reserved_names
        ]
        if len(unreserved) < 2:
            return None
        instance = self.rng.choice(unreserved)
        self.reserved_names.add(instance.name)
        return instance

    def release_instance(
        self, instance: processes.Instance, disrupted_since: float
    ) -> None:
        """Record the disruption and release the reservation."""
        self.episode.disruptions.append(
            record.Disruption(
                name=instance.name,
                started_at=disrupted_since,
                ended_at=time.monotonic(),
            )
        )
        self.reserved_names.discard(instance.name)


@contextlib.contextmanager
def recorded(
    disruptions: list[record.Disruption], name: str
) -> abc.Iterator[None]:
    """Record a disruption that lasts as long as the ``with`` block.

    It counts as going on until its end is recorded.
    """
    started_at = time.monotonic()
    ongoing = record.Disruption(
        name=name, started_at=started_at, ended_at=float("inf")
    )
    disruptions.append(ongoing)
    try:
        yield
    finally:
        disruptions.remove(ongoing)
        disruptions.append(
            dataclasses.replace(ongoing, ended_at=time.monotonic())
        )


Fault = abc.Callable[[Deployment], abc.Awaitable[None]]

FAULTS: Final[registry.Registry[str, Fault]] = registry.Registry("soak faults")


@FAULTS.register("kill")
async def async_kill_instance(deployment: Deployment) -> None:
    """Kill an instance and restart it."""
    instance = deployment.reserve_instance()
    if instance is None:
        return
    started_at = time.monotonic()
    instance.send_signal(signal.SIGKILL)
    await instance.async_wait_exit(checks.MAX_STOP_SECONDS)
    await asyncio.sleep(deployment.rng.uniform(0.1, 1.5))
    await deployment.async_start_instance(instance)
    deployment.release_instance(instance, started_at)


@FAULTS.register("stop")
async def async_stop_instance(deployment: Deployment) -> None:
    """Shut an instance down gracefully and restart it."""
    instance = deployment.reserve_instance()
    if instance is None:
        return
    with recorded(deployment.episode.contact_losses, instance.name):
        await _async_restart_gracefully(deployment, instance)
    deployment.reserved_names.discard(instance.name)


async def _async_restart_gracefully(
    deployment: Deployment, instance: processes.Instance
) -> None:
    started_at = time.monotonic()
    instance.send_signal(signal.SIGTERM)
    await instance.async_wait_exit(checks.MAX_STOP_SECONDS)
    deployment.episode.stop_seconds_by_instance[instance.name].append(
        time.monotonic() - started_at
    )
    instance.send_signal(signal.SIGKILL)
    await instance.async_wait_exit(checks.MAX_STOP_SECONDS)
    await deployment.async_start_instance(instance)


@FAULTS.register("pause")
async def async_suspend_instance(deployment: Deployment) -> None:
    """Suspend the process of an instance for a time."""
    instance = deployment.reserve_instance()
    if instance is None:
        return
    started_at = time.monotonic()
    instance.send_signal(signal.SIGSTOP)
    await asyncio.sleep(deployment.rng.uniform(0.2, 4.0))
    instance.send_signal(signal.SIGCONT)
    deployment.release_instance(instance, started_at)


@FAULTS.register("reload")
async def async_reload_settings(deployment: Deployment) -> None:
    """Send SIGHUP to an instance."""
    deployment.rng.choice(deployment.instances).send_signal(signal.SIGHUP)


@FAULTS.register("store")
async def async_store_fault(deployment: Deployment) -> None:
    """Inject a random fault into the store, for all instances."""
    injection = deployment.store.injection
    injection.fault = deployment.rng.choice(list(store.Fault))
    injection.delay_seconds = deployment.rng.choice((0.0, 0.05, 0.3))
    with recorded(deployment.episode.contact_losses, record.ALL_INSTANCES):
        await asyncio.sleep(deployment.rng.uniform(0.5, 6.0))
    injection.fault = store.Fault.NONE
    injection.delay_seconds = 0.0


@FAULTS.register("store history")
async def async_compact_store(deployment: Deployment) -> None:
    """Discard the store's history of changes."""
    with recorded(deployment.episode.contact_losses, record.ALL_INSTANCES):
        deployment.store.objects.compact()
        deployment.store.notify_watches()


@FAULTS.register("store link")
async def async_store_link_fault(deployment: Deployment) -> None:
    """Inject a fault into the connection of one instance to the store."""
    store_proxy = deployment.rng.choice(deployment.store_proxies)
    index = deployment.store_proxies.index(store_proxy)
    name = deployment.instances[index].name
    store_proxy.set_mode(
        deployment.rng.choice(list(proxy.Mode)), delay_seconds=0.3
    )
    with recorded(deployment.episode.contact_losses, name):
        await asyncio.sleep(deployment.rng.uniform(0.3, 5.0))
    store_proxy.set_mode(proxy.Mode.PASS)


@FAULTS.register("upstream link")
async def async_upstream_link_fault(deployment: Deployment) -> None:
    """Inject a fault into the connections to one upstream."""
    proxied_upstream = deployment.rng.choice(deployment.upstreams)
    proxied_upstream.proxy.set_mode(
        deployment.rng.choice(list(proxy.Mode)), delay_seconds=0.05
    )
    name = proxied_upstream.server.name
    with recorded(deployment.episode.link_faults, name):
        await asyncio.sleep(deployment.rng.uniform(0.2, 2.5))
    proxied_upstream.proxy.set_mode(proxy.Mode.PASS)


@FAULTS.register("upstream")
async def async_upstream_fault(deployment: Deployment) -> None:
    """Inject a random fault into the request handling of one upstream."""
    server = deployment.rng.choice(deployment.upstreams).server
    server.fault = deployment.rng.choice(list(upstream.Fault))
    await asyncio.sleep(deployment.rng.uniform(0.2, 3.0))
    server.fault = upstream.Fault.NONE


@FAULTS.register("upstream crash")
async def async_crash_upstream(deployment: Deployment) -> None:
    """Restart an upstream; its next incarnation has the same id."""
    proxied_upstream = deployment.rng.choice(deployment.upstreams)
    if proxied_upstream.server.name in deployment.reserved_names:
        return
    deployment.reserved_names.add(proxied_upstream.server.name)
    proxied_upstream.proxy.set_mode(proxy.Mode.RESET)
    proxied_upstream.server.crash()
    await asyncio.sleep(deployment.rng.uniform(1.0, 4.0))
    proxied_upstream.server.crash()
    proxied_upstream.proxy.set_mode(proxy.Mode.PASS)
    deployment.register(proxied_upstream)
    deployment.reserved_names.discard(proxied_upstream.server.name)


@FAULTS.register("configuration")
async def async_change_rates(deployment: Deployment) -> None:
    """Change the rates several times in quick succession."""
    for _ in range(deployment.rng.randrange(1, 4)):
        deployment.rate = (
            deployment.rng.uniform(1.0, 2.0) * MIN_REQUESTS_PER_SECOND
        )
        deployment.write_configuration()
        await asyncio.sleep(deployment.rng.uniform(0.0, 0.3))
