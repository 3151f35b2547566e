"""Tests of whole instances as processes of their own."""

import asyncio
from collections import abc
import contextlib
import json
import signal

import pytest

from bench import cluster as clusters
from bench import demo
from dragonflyshelf.cli import main as cli
from dragonflyshelf.codec import objects as objects_codec
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime.platform import http as platform

TAP = ids.ServiceName("tap")
TAP_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@contextlib.contextmanager
def running(delay: float, extra: str) -> abc.Iterator[clusters.Cluster]:
    """Run two instances and one upstream."""
    description = clusters.ClusterDescription(
        data_centres=("a", "b"),
        instances=2,
        upstreams_per_service=1,
        upstream_delay=delay,
        extra_settings=extra,
    )
    with clusters.running(description) as cluster:
        yield cluster


async def async_prepare(cluster: clusters.Cluster) -> None:
    """Wait until both instances serve."""
    await cluster.async_wait_ready()
    cluster.caller_key = await demo.async_configure(cluster)
    await demo.async_settle(cluster, cluster.caller_key)


async def async_call(
    cluster: clusters.Cluster, instance: clusters.InstanceAddress, target: str
) -> http_client.HttpAnswer:
    """Send one request on a connection of its own."""
    async with http_client.async_open(
        clusters.HOST, instance.caller_port
    ) as client:
        return await client.async_call(
            "POST",
            target,
            headers=(("authorization", f"Bearer {cluster.caller_key}"),),
        )


async def async_wait_line(cluster: clusters.Cluster, text: str) -> None:
    """Wait until the first instance has logged a text."""
    path = cluster.folder / "instance-0.log"
    async with asyncio.timeout(clusters.READY_SECONDS):
        while text not in path.read_text(encoding="utf-8"):
            await asyncio.sleep(clusters.READY_POLL_SECONDS)


async def async_wait_runs(cluster: clusters.Cluster, count: int) -> None:
    """Wait until the instance has so many unfinished requests."""
    port = cluster.instances[0].operator_port
    wanted = f"dragonflyshelf_requests_in_flight {count:.1f}"
    async with asyncio.timeout(clusters.READY_SECONDS):
        async with http_client.async_open(clusters.HOST, port) as client:
            while True:
                answer = await client.async_call("GET", "/metrics")
                if wanted in answer.body.decode().splitlines():
                    return


class TestGracefulShutdown:
    """The first signal cuts no request."""

    def test_running_requests(self) -> None:
        """What runs is answered; the exit status is 0."""

        async def async_run(cluster: clusters.Cluster) -> None:
            await async_prepare(cluster)
            leaving = cluster.instances[0]
            calls = [
                asyncio.create_task(
                    async_call(cluster, leaving, f"/letters/{one}")
                )
                for one in range(6)
            ]
            await async_wait_runs(cluster, len(calls))
            process = cluster.processes_by_name[leaving.name]
            process.send_signal(signal.SIGTERM)
            for answer in await asyncio.gather(*calls):
                assert answer.status == clusters.STATUS_OK
                assert (b"connection", b"close") in answer.headers
            status = await asyncio.to_thread(
                process.wait, clusters.READY_SECONDS
            )
            assert status == 0
            other = await async_call(
                cluster, cluster.instances[1], "/letters/1"
            )
            assert other.status == clusters.STATUS_OK

        with running(1.0, "") as cluster:
            asyncio.run(async_run(cluster))
            log = (cluster.folder / "instance-0.log").read_text()
            last = json.loads(log.splitlines()[-1])
            assert last["cut_requests"] == 0

    def test_not_ready(self) -> None:
        """Readiness is false from the first signal on."""

        async def async_run(cluster: clusters.Cluster) -> None:
            await async_prepare(cluster)
            leaving = cluster.instances[0]
            process = cluster.processes_by_name[leaving.name]
            process.send_signal(signal.SIGTERM)
            await async_wait_line(cluster, "shutdown began")
            assert not await clusters.async_is_ready(leaving.operator_port)
            answer = await async_call(cluster, leaving, "/letters/1")
            assert answer.status == clusters.STATUS_OK

        with running(
            0.0, "[shutdown]\nsettle = 60\ndeadline = 100\n"
        ) as cluster:
            asyncio.run(async_run(cluster))

    def test_second_signal(self) -> None:
        """A second signal ends it, and the log counts what was cut."""

        async def async_run(cluster: clusters.Cluster) -> None:
            await async_prepare(cluster)
            leaving = cluster.instances[0]
            call = asyncio.create_task(
                async_call(cluster, leaving, "/letters/1")
            )
            await async_wait_runs(cluster, 1)
            process = cluster.processes_by_name[leaving.name]
            process.send_signal(signal.SIGTERM)
            await async_wait_line(cluster, "shutdown began")
            process.send_signal(signal.SIGTERM)
            status = await asyncio.to_thread(
                process.wait, clusters.READY_SECONDS
            )
            assert status == cli.EXIT_CUT
            with pytest.raises(OSError):
                await call

        with running(2.0, "") as cluster:
            asyncio.run(async_run(cluster))
            log = (cluster.folder / "instance-0.log").read_text()
            last = json.loads(log.splitlines()[-1])
            assert last["cut_requests"] == 1
            assert last["level"] == "warning"


class Tap:
    """Upstream that keeps every byte that it gets."""

    def __init__(self) -> None:
        """Create a tap that has seen nothing."""
        self.seen = b""

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer every read with one whole answer."""
        while data := await reader.read(65536):
            self.seen += data
            writer.write(TAP_ANSWER)
        writer.close()


async def async_add_tap(cluster: clusters.Cluster, port: int) -> None:
    """Create a service whose only upstream is the tap."""
    upstream = objects.Upstream(
        name=ids.UpstreamId("tap-1"),
        service=TAP,
        host=clusters.HOST,
        port=port,
        data_centre=ids.DataCentreId("a"),
        fenced=False,
    )
    client = platform.create(
        settings.PlatformSettings(port=cluster.platform_port)
    )
    for kind, value in (
        (states.ObjectKind.SERVICE, objects.Service(name=TAP)),
        (states.ObjectKind.UPSTREAM, upstream),
    ):
        await client.async_put(
            kind,
            ids.ObjectName(value.name),
            ids.Version(0),
            ids.WriteId(f"test-{value.name}"),
            objects_codec.to_plain(value),
        )
    client.close()


class TestCallerKey:
    """The caller key stays between the caller and its entry instance."""

    def test_all_outputs(self) -> None:
        """No upstream, log, metric or time line shows the key."""

        async def async_run(cluster: clusters.Cluster) -> bytes:
            await async_prepare(cluster)
            tap = Tap()
            server = await asyncio.start_server(
                tap.async_serve, clusters.HOST, 0
            )
            await async_add_tap(cluster, server.sockets[0].getsockname()[1])
            async with server, asyncio.timeout(clusters.READY_SECONDS):
                for instance in cluster.instances:
                    while True:
                        answer = await async_call(cluster, instance, "/tap/1")
                        if answer.status == clusters.STATUS_OK:
                            break
                        await asyncio.sleep(clusters.READY_POLL_SECONDS)
                    await async_call(cluster, instance, "/none/1")
            found = [tap.seen]
            for instance in cluster.instances:
                async with http_client.async_open(
                    clusters.HOST, instance.operator_port
                ) as client:
                    answer = await client.async_call("GET", "/metrics")
                    found.append(answer.body)
            return b"\n".join(found)

        with running(
            0.0, "[log]\nlevel = debug\naccess_level = info\n"
        ) as cluster:
            seen = asyncio.run(async_run(cluster))
            assert b"GET /tap" in seen or b"POST /tap/1" in seen
            assert b'service="tap"' in seen
            outputs = [
                path.read_bytes() for path in sorted(cluster.folder.iterdir())
            ]
            assert b"request ended" in b"".join(outputs)
            assert cluster.caller_key.encode() not in seen + b"".join(outputs)
