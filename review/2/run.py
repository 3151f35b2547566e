"""After odd entries of another writer no target is found any more."""

import asyncio
import json
import signal

from review.support import harness
from stand_ins import configuration
from stand_ins import objects as stored_objects
from stand_ins import store
from stand_ins import upstream

from dragonflyshelf.runtime import http_server

KEY = "key-of-one"
PAGE_BYTES = 1024 * 1024
ODD_TEXT_BYTES = 700 * 1024
"""Length of an odd value; an object may have 1 MB."""

ODD_NAMES = ("a-copy-1", "a-copy-2")
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 15.0
REQUEST_COUNT = 40
MIN_SERVED_RATIO = 0.25


class Platform(store.StoreServer):
    """Store whose pages have 1 MB at most, and one object at least."""

    def _list(self, kind: str, after: str) -> http_server.ServerResponse:
        items: list[dict] = []
        has_more = False
        size = 0
        for stored in self.objects.list_objects(kind):
            if stored["Metadata"]["Name"] <= after:
                continue
            size += len(json.dumps(stored))
            if items and size > PAGE_BYTES:
                has_more = True
                break
            items.append(stored)
        page = {
            "items": items,
            "More": has_more,
            "StoreRevision": self.objects.revision,
        }
        return http_server.ServerResponse(
            status=200, body=json.dumps(page).encode()
        )


async def _async_send(
    instances: list[harness.Instance], name: str, record: harness.Record
) -> float:
    """Send requests to all instances; return the share that is served."""
    served = 0
    for number in range(REQUEST_COUNT):
        request_id = f"{name}-{number}"
        answer = await harness.async_call(
            instances[number % len(instances)].port,
            "/read/x",
            {
                "x-api-key": KEY,
                "request-id": request_id,
                "deadline-ms": "2000",
            },
        )
        record.add(
            "answered",
            request=request_id,
            status=answer.status,
            body=answer.body.decode("latin-1")[:120],
        )
        served += answer.status == 200
        await asyncio.sleep(0.05)
    record.add("served", phase=name, share=served / REQUEST_COUNT)
    return served / REQUEST_COUNT


def _write_odd_entries(objects: stored_objects.ObjectStore) -> None:
    """Leave two entries whose value is a long text that can't be read.

    It is a string with half of a surrogate pair, which the grammar of JSON
    allows, and no table of fields. The two do not fit into one page.
    """
    for name in ODD_NAMES:
        objects.create("servers", name, "\ud800" + "x" * ODD_TEXT_BYTES)


async def _async_case(record: harness.Record) -> bool:
    platform = Platform()
    await platform.async_listen(harness.HOST)
    objects = platform.objects
    objects.create(
        "config", "main", configuration.build_configuration(1, [KEY])
    )
    targets = [upstream.UpstreamServer(f"t-{n}", "letters") for n in range(3)]
    for target in targets:
        await target.async_listen(harness.HOST)
        objects.create(
            "servers", target.name, target.make_registration(harness.HOST, "a")
        )
    zones = ["a", "b", "c"]
    with harness.run_instances([platform.port] * 3, zones) as instances:
        for instance in instances:
            await instance.async_wait_ready()
        await asyncio.sleep(1.0)
        before = await _async_send(instances, "before", record)
        if harness.is_troubled():
            _write_odd_entries(objects)
            platform.notify_watches()
            record.add("odd entries written", names=ODD_NAMES)
        await asyncio.sleep(1.0)
        await _async_send(instances, "with-entry", record)
        for instance in instances:
            instance.send(signal.SIGKILL)
        record.add("all processes killed")
        await asyncio.sleep(DOWN_SECONDS)
        for instance in instances:
            instance.start()
        record.add("all processes started")
        await asyncio.sleep(RECOVERY_SECONDS)
        after = await _async_send(instances, "after", record)
    platform.close()
    record.add(
        "ran",
        requests=[
            request.request_id
            for target in targets
            for request in target.executed_requests
        ],
    )
    return before >= MIN_SERVED_RATIO > after


if __name__ == "__main__":
    harness.run(_async_case, __file__)
