"""``make demo``: eight instances serve real requests."""

import asyncio
import collections
import dataclasses
import json
import sys

import tabulate

from bench import cluster as clusters
from dragonflyshelf.codec import operators as operators_codec
from dragonflyshelf.core import ids
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime.operators import client

AUDIT = "audit"
CONNECTIONS_PER_INSTANCE = 4
KEY_ID = "demo-1"
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


async def async_configure(cluster: clusters.Cluster) -> str:
    """Create all objects by operators' commands; return the caller key."""
    texts = [
        f"create service {SERVICE} key_source path shards 64",
        f"create workspace {WORKSPACE} rate 20000 burst 20000",
        *(
            f"create upstream {one.name} service {one.service}"
            f' host "{clusters.HOST}" port {one.port}'
            f" data_centre {one.data_centre}"
            f" fenced {'yes' if one.fenced else 'no'}"
            for one in cluster.upstreams
        ),
    ]
    port = cluster.instances[0].operator_port
    async with client.async_open(clusters.HOST, port) as operator:
        for text in texts:
            await operator.async_command(text)
        granted = await operator.async_command(
            f"grant key {KEY_ID} to {WORKSPACE}"
        )
        await operator.async_query(f"wait for key {KEY_ID}")
    return granted.caller_key


async def async_settle(cluster: clusters.Cluster, caller_key: str) -> None:
    """Wait until every instance answers a request."""
    async with asyncio.timeout(SETTLE_SECONDS):
        for instance in cluster.instances:
            while not await _async_answers(instance.caller_port, caller_key):
                await asyncio.sleep(clusters.READY_POLL_SECONDS)


async def _async_answers(port: int, caller_key: str) -> bool:
    async with http_client.async_open(clusters.HOST, port) as http:
        answer = await http.async_call(
            "GET",
            f"/{SERVICE}/settle",
            headers=(("x-caller-key", caller_key),),
        )
        return answer.status == STATUS_OK


async def async_load(
    port: int, name: str, caller_key: str, tally: Tally
) -> None:
    """Send requests one after the other on one connection."""
    async with http_client.async_open(clusters.HOST, port) as http:
        for number in range(REQUESTS_PER_CONNECTION):
            request_id = f"{name}-{number}"
            method = "POST" if number % 2 else "GET"
            answer = await http.async_call(
                method,
                f"/{SERVICE}/child-{number}",
                headers=(
                    ("x-caller-key", caller_key),
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
        async with http_client.async_open(clusters.HOST, one.port) as http:
            answer = await http.async_call("GET", "/_account")
            for run in json.loads(answer.body):
                runs.append({**run, "upstream": one.name})
    return runs


async def async_print_audit(cluster: clusters.Cluster) -> None:
    """Print what the records of all instances say of each promise."""
    port = cluster.instances[-1].operator_port
    async with client.async_open(clusters.HOST, port) as operator:
        print(operators_codec.text(await operator.async_query(AUDIT)))


async def async_main(cluster: clusters.Cluster) -> int:
    """Run the demo and return the exit status."""
    await cluster.async_wait_ready()
    caller_key = await async_configure(cluster)
    await async_settle(cluster, caller_key)
    tally = Tally(by_status=collections.Counter(), answered=[])
    await asyncio.gather(
        *(
            async_load(
                instance.caller_port,
                f"{instance.name}-{number}",
                caller_key,
                tally,
            )
            for instance in cluster.instances
            for number in range(CONNECTIONS_PER_INSTANCE)
        )
    )
    await async_print_audit(cluster)
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
