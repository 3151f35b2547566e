"""Slopes for docs/CAPACITY.md: ``python -m bench.capacity``.

The core part builds the control core of one instance among 8 to 1,600
and times what it does for one renewal of one roster; the process part
runs idle clusters of real processes.
"""

import asyncio
from collections import abc
import time
import tracemalloc

import defopt
import tabulate

from bench import cluster as clusters
from bench import one_core
from bench import processes
from bench import workloads
from dragonflyshelf.codec import objects as objects_codec
from dragonflyshelf.codec import peer as codec
from dragonflyshelf.codec import platform as platform_codec
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.control import coordinator
from dragonflyshelf.core.control import messages as control
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core import messages
from dragonflyshelf.core.ownership import objects as ownership
from dragonflyshelf.core.peers import messages as peers
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core.platform import relay
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

DATA_CENTRES = 23
IDLE_SECONDS = 4.0
FRAME_REPEATS = 2000
KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
MICROSECONDS = 1e6
PROCESS_SIZES = (4, 8, 16, 32)
REPEATS = DATA_CENTRES
SEGMENT_SHARDS = (128, 1024, 8192)
TRIALS = 5
SIZES = (8, 100, 400, 1600)

Row = dict[str, object]


def member(number: int, renewal: int) -> objects.Member:
    """Return one member of a roster."""
    return objects.Member(
        instance=ids.InstanceId(f"instance-{number:04d}"),
        incarnation=ids.Incarnation(1_700_000_000_000_000_000 + number),
        host="10.0.0.1",
        peer_port=8081,
        operator_port=8082,
        renewal=renewal,
    )


def rosters(size: int, renewal: int) -> list[objects.Roster]:
    """Spread so many instances over the data centres."""
    centres = min(DATA_CENTRES, max(1, size // 3))
    found = []
    for centre in range(centres):
        members = tuple(
            member(number, renewal) for number in range(centre, size, centres)
        )
        removers = tuple(objects.remover_of(one) for one in members[:3])
        found.append(
            objects.Roster(
                data_centre=ids.DataCentreId(f"dc-{centre:02d}"),
                members=members,
                removers=removers,
            )
        )
    return found


def changed(roster: objects.Roster, version: int) -> platform.ObjectChanged:
    """Return the event of a written roster."""
    key = platform.ObjectKey(
        kind=states.ObjectKind.ROSTER,
        name=ids.ObjectName(roster.data_centre),
    )
    return platform.ObjectChanged(
        key=key,
        version=ids.Version(version),
        write_id=ids.WriteId(f"w{version}"),
        value=roster,
    )


def stored_bytes(kind: states.ObjectKind, value: object) -> int:
    """Return the size of an object as the platform keeps it."""
    record = platform_codec.record(
        store.StoredObject(
            kind=kind,
            name=ids.ObjectName("one"),
            version=ids.Version(1),
            write_ids=(ids.WriteId("w"),),
            value=objects_codec.to_plain(value),
        )
    )
    return len(platform_codec.encode(record))


def core_row(size: int, relays: bool) -> Row:
    """Measure the control core of one instance among so many.

    One that relays has every other of its data centre as subscriber.
    """
    config = settings.Settings(
        instance=settings.InstanceSettings(
            name=ids.InstanceId("instance-0000"),
            data_centre=ids.DataCentreId("dc-00"),
        )
    )
    tracemalloc.start()
    shared = view.ObjectView()
    core = coordinator.ControlCoordinator(config, member(0, 0), shared)
    first = rosters(size, 1)
    listed = platform.ObjectsListed(
        kinds=tuple(states.ObjectKind),
        version=ids.Version(len(first)),
        objects=tuple(
            changed(one, number + 1) for number, one in enumerate(first)
        ),
    )
    core.handle(listed, ids.Instant(0.0))
    if relays:
        _subscribe(core, first[0])
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    renewal_us, sends, sent_bytes = _time_renewals(core, size, len(first))
    return {
        "instances": size,
        "rosters": len(first),
        "roster_bytes": stored_bytes(states.ObjectKind.ROSTER, first[0]),
        "view_kib": round(held / KIBIBYTE),
        "renewal_us": round(renewal_us),
        "tick_us": round(_time_ticks(core)),
        "relays": relays,
        "relay_sends": sends,
        "relay_bytes": sent_bytes,
    }


def _subscribe(
    core: coordinator.ControlCoordinator, roster: objects.Roster
) -> None:
    """Let the core watch, and all others of its data centre ask it."""
    core.handle(control.Tick(), ids.Instant(0.5))
    core.handle(control.Tick(), ids.Instant(0.9))
    for one in roster.members[1:]:
        request = relay.RelayRequest(
            instance=one.instance, position=core.relay.position
        )
        message = control.PeerMessage(sender=one.instance, message=request)
        core.handle(message, ids.Instant(0.9))


def _time_renewals(
    core: coordinator.ControlCoordinator, size: int, version: int
) -> tuple[float, int, int]:
    events = []
    for repeat in range(REPEATS):
        renewed = rosters(size, repeat + 2)
        events.append(renewed[repeat % len(renewed)])
    effects: list[object] = []
    started = time.process_time()
    for number, roster in enumerate(events):
        since = ids.Version(version + number)
        event = platform.ChangesWatched(
            since=since,
            position=ids.Version(since + 1),
            events=(changed(roster, since + 1),),
        )
        effects += core.handle(event, ids.Instant(1.0 + number / 1000))
    spent = time.process_time() - started
    sent = [one for one in effects if isinstance(one, relay.SendToInstance)]
    size_sent = sum(len(codec.encode(one.message)) for one in sent)
    return (
        spent * MICROSECONDS / REPEATS,
        round(len(sent) / REPEATS),
        round(size_sent / REPEATS),
    )


def _time_ticks(core: coordinator.ControlCoordinator) -> float:
    started = time.process_time()
    for repeat in range(REPEATS):
        core.handle(control.Tick(), ids.Instant(2.0 + repeat / 1000))
    return (time.process_time() - started) * MICROSECONDS / REPEATS


def segment_row(shards: int) -> Row:
    """Measure the size of a segment of so many shards."""
    segment = ownership.Segment(
        service=ids.ServiceName("archive"),
        assignments=tuple(
            ownership.Assignment(
                shard=ids.ShardId(number),
                upstream=ids.UpstreamId(f"archive-{number % 100:04d}"),
                epoch=ids.Epoch(3),
            )
            for number in range(shards)
        ),
    )
    size = stored_bytes(states.ObjectKind.SEGMENT, segment)
    return {
        "shards": shards,
        "bytes": size,
        "bytes_per_shard": round(size / shards, 1),
        "shards_in_1_mib": int(MEBIBYTE * shards / size),
    }


def frames() -> tuple[object, ...]:
    """Return the frames of one forwarded request."""
    headers = tuple(
        messages.Header(name=name, value=b"0123456789")
        for name in (b"host", b"x-request-id", b"content-length", b"accept")
    )
    stream = ids.ExchangeId(1)
    admitted = messages.Admitted(
        service=ids.ServiceName("archive"),
        workspace=ids.WorkspaceId("w"),
        priority=states.Priority.URGENT,
        idempotent=False,
        shard=ids.ShardId(1),
        upstream=ids.UpstreamId("archive-1"),
    )
    return (
        peers.Open(
            exchange=stream,
            request_id=ids.RequestId("0123456789"),
            method=b"POST",
            target=b"/archive/key-1",
            headers=headers,
            remaining_ms=1000,
            has_body=False,
            body_length=0,
            admitted=admitted,
        ),
        messages.AnswerHead(
            exchange=stream, status=200, reason=b"OK", headers=headers[:2]
        ),
        messages.AnswerChunk(exchange=stream, data=b"x" * 60),
        messages.AnswerEnd(exchange=stream),
    )


def frame_row(message: object) -> Row:
    """Measure the encoding and decoding of a frame."""
    data = codec.encode(message)
    return {
        "frame": type(message).__name__,
        "bytes": len(data),
        "encode_us": round(_best_us(lambda: codec.encode(message)), 1),
        "decode_us": round(
            _best_us(lambda: codec.FrameDecoder().receive(data)), 1
        ),
    }


def _best_us(action: abc.Callable[[], object]) -> float:
    best = float("inf")
    for _ in range(TRIALS):
        started = time.process_time()
        for _ in range(FRAME_REPEATS):
            action()
        best = min(best, time.process_time() - started)
    return best * MICROSECONDS / FRAME_REPEATS


async def async_process_row(instances: int) -> Row:
    """Run an idle cluster and measure its instances and calls."""
    description = clusters.ClusterDescription(
        instances=instances, upstreams_per_service=3
    )
    with clusters.running(description) as cluster:
        await cluster.async_wait_ready()
        await workloads.async_configure(cluster, one_core.configuration())
        await workloads.async_settle(
            cluster,
            one_core.SERVICES,
            one_core.WORKSPACE,
            one_core.SETTLE_SECONDS,
        )
        await asyncio.sleep(1.0)
        before = await _async_calls(cluster)
        used = _usages(cluster)
        await asyncio.sleep(IDLE_SECONDS)
        after = await _async_calls(cluster)
        later = _usages(cluster)
    cpu = [
        100 * (new.cpu_seconds - old.cpu_seconds) / IDLE_SECONDS
        for old, new in zip(used, later)
    ]
    resident = [one.resident_bytes / MEBIBYTE for one in later]
    return {
        "instances": instances,
        "cpu_percent_mean": round(sum(cpu) / instances, 2),
        "cpu_percent_max": round(max(cpu), 2),
        "resident_mib_max": round(max(resident), 1),
        **{
            f"{name}_per_s": round(
                (after[name] - before[name]) / IDLE_SECONDS, 1
            )
            for name in ("reads", "writes", "watches")
        },
        "waiting": after["waiting"],
    }


def _usages(cluster: clusters.Cluster) -> list[processes.Usage]:
    return [
        processes.usage(cluster.processes_by_name[one.name].pid)
        for one in cluster.instances
    ]


async def _async_calls(cluster: clusters.Cluster) -> dict[str, int]:
    body = await clusters.async_post(cluster.platform_port, "/calls")
    return clusters.json.loads(body)


def show(title: str, rows: list[Row]) -> None:
    """Print a table."""
    print(f"\n{title}\n")
    print(tabulate.tabulate(rows, headers="keys", tablefmt="github"))


def main(*, processes_too: bool = True) -> None:
    """Print all slopes.

    :param processes_too: also run idle clusters of real processes
    """
    rows = [core_row(one, relays) for relays in (False, True) for one in SIZES]
    show("control core of one instance", rows)
    show("frames", [frame_row(one) for one in frames()])
    show("segment", [segment_row(one) for one in SEGMENT_SHARDS])
    if processes_too:
        rows = [asyncio.run(async_process_row(one)) for one in PROCESS_SIZES]
        show("idle real processes", rows)


if __name__ == "__main__":
    defopt.run(main)
