"""A withdrawn key still works if it was the last workspace's."""

import asyncio

from review.support import harness
from stand_ins import configuration
from stand_ins import store
from stand_ins import upstream

KEY = "key-of-one"
NEVER_HELD_KEY = "key-of-nobody"
SERVICE = "letters"
REQUEST_COUNT = 10
CHECK_MARGIN_SECONDS = 0.5
"""Time beyond the promised one that an instance is given."""


async def _async_send(
    port: int, name: str, key: str, record: harness.Record
) -> set[str]:
    """Send requests with a key; return their ids."""
    request_ids = set()
    for number in range(REQUEST_COUNT):
        request_id = f"{name}-{number}"
        request_ids.add(request_id)
        answer = await harness.async_call(
            port,
            "/read/x",
            {
                "x-api-key": key,
                "request-id": request_id,
                "deadline-ms": "2000",
            },
        )
        record.add("answered", request=request_id, status=answer.status)
        await asyncio.sleep(0.05)
    return request_ids


async def _async_case(record: harness.Record) -> bool:
    target = upstream.UpstreamServer("t-1", SERVICE)
    async with store.async_run_store() as platform:
        objects = platform.objects
        first = configuration.build_configuration(1, [KEY])
        objects.create("config", "main", first)
        await target.async_listen(harness.HOST)
        objects.create(
            "servers", target.name, target.make_registration(harness.HOST, "a")
        )
        with harness.run_instances([platform.port], ["a"]) as (instance,):
            await instance.async_wait_ready()
            await asyncio.sleep(1.0)
            await _async_send(instance.port, "granted", KEY, record)
            second = configuration.build_configuration(2, [KEY])
            if harness.is_troubled():
                second["Tenants"]["Rows"] = []
            objects.replace("config", "main", second, None)
            platform.notify_watches()
            record.add("configuration acknowledged", version="r2")
            await asyncio.sleep(
                harness.BOUNDS["RevokeS"] + CHECK_MARGIN_SECONDS
            )
            sent = set()
            if harness.is_troubled():
                sent |= await _async_send(
                    instance.port, "withdrawn", KEY, record
                )
            sent |= await _async_send(
                instance.port, "never-held", NEVER_HELD_KEY, record
            )
    ran = {
        request.request_id: request.tenant
        for request in target.executed_requests
    }
    record.add("ran, with its tenant", requests=ran)
    return bool(sent & ran.keys())


if __name__ == "__main__":
    harness.run(_async_case, __file__)
