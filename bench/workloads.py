"""Objects and streams that experiments share."""

import asyncio
from collections import abc
import dataclasses

from bench import cluster as clusters
from dragonflyshelf.codec import http as codec
from dragonflyshelf.codec import objects as objects_codec
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime.platform import http as platform

KEY_PREFIX = "bench-caller-key-"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """What operators would have set up."""

    services: tuple[objects.Service, ...]
    workspaces: tuple[objects.Workspace, ...]


def caller_key(workspace: str) -> str:
    """Return the caller key of a workspace."""
    return KEY_PREFIX + workspace


def values(
    configuration: Configuration,
    upstreams: abc.Iterable[clusters.UpstreamAddress],
) -> list[tuple[states.ObjectKind, str, object]]:
    """Return kind, name and value of every object."""
    found: list[tuple[states.ObjectKind, str, object]] = []
    for service in configuration.services:
        found.append((states.ObjectKind.SERVICE, service.name, service))
    for workspace in configuration.workspaces:
        name = workspace.name
        key = objects.CallerKey(
            key_id=ids.CallerKeyId(f"{name}-1"),
            digest=codec.digest_key(caller_key(name).encode()),
            workspace=name,
        )
        found.append((states.ObjectKind.WORKSPACE, name, workspace))
        found.append((states.ObjectKind.CALLER_KEY, key.key_id, key))
    for one in upstreams:
        value = objects.Upstream(
            name=ids.UpstreamId(one.name),
            service=ids.ServiceName(one.service),
            host=clusters.HOST,
            port=one.port,
            data_centre=ids.DataCentreId(one.data_centre),
            fenced=one.fenced,
        )
        found.append((states.ObjectKind.UPSTREAM, one.name, value))
    return found


async def async_configure(
    cluster: clusters.Cluster, configuration: Configuration
) -> None:
    """Create every object at the platform."""
    client = platform.create(
        settings.PlatformSettings(port=cluster.platform_port)
    )
    for kind, name, value in values(configuration, cluster.upstreams):
        await client.async_put(
            kind,
            ids.ObjectName(name),
            ids.Version(0),
            ids.WriteId(f"bench-{name}"),
            objects_codec.to_plain(value),
        )
    client.close()


async def async_settle(
    cluster: clusters.Cluster,
    services: abc.Iterable[objects.Service],
    workspace: str,
    seconds: float,
) -> None:
    """Wait until every instance answers for every service."""
    async with asyncio.timeout(seconds):
        for instance in cluster.instances:
            for service in services:
                while not await _async_answers(
                    instance.caller_port, service.name, workspace
                ):
                    await asyncio.sleep(clusters.READY_POLL_SECONDS)


async def _async_answers(port: int, service: str, workspace: str) -> bool:
    async with http_client.async_open(clusters.HOST, port) as client:
        answer = await client.async_call(
            "GET",
            f"/{service}/settle",
            headers=(("x-caller-key", caller_key(workspace)),),
        )
        return answer.status == clusters.STATUS_OK
