"""``make demo``: eight instances serve real requests."""

import asyncio
import collections
import dataclasses
import json
import sys

import tabulate

from bench import cluster as clusters
from dragonflyshelf.codec import http as codec
from dragonflyshelf.codec import objects as objects_codec
from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime.platform import http as platform

CALLER_KEY = "demo-caller-key"
CONNECTIONS_PER_INSTANCE = 4
REQUESTS_PER_CONNECTION = 50
SERVICE = ids.ServiceName("letters")
SETTLE_SECONDS = 20.0
STATUS_OK = 200
WORKSPACE = ids.WorkspaceId("demo")


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Answers by status, and the ids of the requests."""

    by_status: collections.Counter[int]
    answered: list[str]
    crossed: int = 0


async def async_configure(cluster: clusters.Cluster) -> None:
    """Create service, workspace, caller key and upstreams."""
    values = [
        (
            states.ObjectKind.SERVICE,
            objects.Service(
                name=SERVICE, key_source=states.KeySource.PATH, shards=64
            ),
        ),
        (
            states.ObjectKind.WORKSPACE,
            objects.Workspace(name=WORKSPACE, rate=20000, burst=20000),
        ),
        (
            states.ObjectKind.CALLER_KEY,
            objects.CallerKey(
                key_id=ids.CallerKeyId("demo-1"),
                digest=codec.digest_key(CALLER_KEY.encode()),
                workspace=WORKSPACE,
            ),
        ),
    ]
    for one in cluster.upstreams:
        values.append(
            (
                states.ObjectKind.UPSTREAM,
                objects.Upstream(
                    name=ids.UpstreamId(one.name),
                    service=ids.ServiceName(one.service),
                    host=clusters.HOST,
                    port=one.port,
                    data_centre=ids.DataCentreId(one.data_centre),
                    fenced=one.fenced,
                ),
            )
        )
    client = platform.create(
        settings.PlatformSettings(port=cluster.platform_port)
    )
    for kind, value in values:
        name = getattr(value, "name", None) or value.key_id
        await client.async_put(
            kind,
            ids.ObjectName(name),
            ids.Version(0),
            ids.WriteId(f"demo-{name}"),
            objects_codec.to_plain(value),
        )
    client.close()


async def async_settle(cluster: clusters.Cluster) -> None:
    """Wait until every instance answers a request."""
    async with asyncio.timeout(SETTLE_SECONDS):
        for instance in cluster.instances:
            while not await _async_answers(instance.caller_port):
                await asyncio.sleep(clusters.READY_POLL_SECONDS)


async def _async_answers(port: int) -> bool:
    async with http_client.async_open(clusters.HOST, port) as client:
        answer = await client.async_call(
            "GET",
            f"/{SERVICE}/settle",
            headers=(("x-caller-key", CALLER_KEY),),
        )
        return answer.status == STATUS_OK


async def async_load(port: int, name: str, tally: Tally) -> None:
    """Send requests one after the other on one connection."""
    async with http_client.async_open(clusters.HOST, port) as client:
        for number in range(REQUESTS_PER_CONNECTION):
            request_id = f"{name}-{number}"
            method = "POST" if number % 2 else "GET"
            answer = await client.async_call(
                method,
                f"/{SERVICE}/child-{number}",
                headers=(
                    ("x-caller-key", CALLER_KEY),
                    ("x-request-id", request_id),
                ),
            )
            tally.by_status[answer.status] += 1
            if answer.status != STATUS_OK:
                continue
            tally.answered.append(request_id)
            if json.loads(answer.body)["request_id"] != request_id:
                tally.crossed += 1


async def async_account(cluster: clusters.Cluster) -> list[dict[str, str]]:
    """Return every run of every upstream."""
    runs = []
    for one in cluster.upstreams:
        async with http_client.async_open(clusters.HOST, one.port) as client:
            answer = await client.async_call("GET", "/_account")
            for run in json.loads(answer.body):
                runs.append({**run, "upstream": one.name})
    return runs


async def async_main(cluster: clusters.Cluster) -> int:
    """Run the demo and return the exit status."""
    await cluster.async_wait_ready()
    await async_configure(cluster)
    await async_settle(cluster)
    tally = Tally(by_status=collections.Counter(), answered=[])
    await asyncio.gather(
        *(
            async_load(
                instance.caller_port, f"{instance.name}-{number}", tally
            )
            for instance in cluster.instances
            for number in range(CONNECTIONS_PER_INSTANCE)
        )
    )
    runs = await async_account(cluster)
    return report(tally, runs)


def report(tally: Tally, runs: list[dict[str, str]]) -> int:
    """Print the table and the last line; return the exit status."""
    counts = collections.Counter(run["request_id"] for run in runs)
    owners = collections.defaultdict(set)
    for run in runs:
        owners[run["shard"], run["epoch"]].add(run["upstream"])
    wrong = sum(len(found) - 1 for found in owners.values())
    lost = sum(1 for one in tally.answered if counts[one] == 0)
    doubled = sum(1 for one in tally.answered if counts[one] > 1)
    rows = sorted(tally.by_status.items())
    print(tabulate.tabulate(rows, headers=("status", "requests")))
    total = sum(tally.by_status.values())
    good = (
        wrong + lost + doubled + tally.crossed == 0
        and tally.by_status[STATUS_OK] == total
    )
    print(
        f"demo: {'ok' if good else 'failed'} requests={total}"
        f" wrong_owner={wrong} lost={lost} doubled={doubled}"
    )
    return 0 if good else 1


def main() -> None:
    """Run the demo in processes of its own."""
    with clusters.running(clusters.ClusterDescription()) as cluster:
        status = asyncio.run(async_main(cluster))
    sys.exit(status)


if __name__ == "__main__":
    main()
