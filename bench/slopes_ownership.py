"""What control costs one instance as the fleet grows, on the core alone.

One control core of a fleet of 100, 400 and 1,600 instances in 23 data
centres runs for some seconds of virtual time; the rest of the fleet is
its rosters, which renew. ``python -m bench.slopes_ownership`` prints JSON
for the instance that watches and writes for its data centre and for one
that follows: processor time and bytes of control a second, and the
platform's calls of the whole fleet, by the settings' intervals.
"""

import dataclasses
import json
import time

import defopt

from dragonflyshelf.codec import objects as objects_codec
from dragonflyshelf.codec import peer as peer_codec
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.control import coordinator
from dragonflyshelf.core.control import messages as control
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import messages as leases
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core.platform import relay
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

DATA_CENTRES = 23
FLEETS = (100, 400, 1600)
SECONDS = 6.0
TICK = 0.05


def member(number: int) -> objects.Member:
    """Return one instance of the fleet."""
    return objects.Member(
        instance=ids.InstanceId(f"instance-{number:04d}"),
        incarnation=ids.Incarnation(1_700_000_000_000_000_000 + number),
        host="10.100.100.100",
        peer_port=8081,
        operator_port=8082,
    )


def rosters(fleet: int) -> list[objects.Roster]:
    """Return the rosters of a fleet, with seven removers each."""
    members = [member(number) for number in range(fleet)]
    removers = tuple(objects.remover_of(one) for one in members[:7])
    return [
        objects.Roster(
            data_centre=ids.DataCentreId(f"dc-{number:02d}"),
            members=tuple(members[number::DATA_CENTRES]),
            removers=removers,
            generation=1,
        )
        for number in range(DATA_CENTRES)
    ]


class Fleet:
    """Rosters that renew at the interval of the settings."""

    def __init__(self, fleet: int) -> None:
        """Create rosters at version 1."""
        self.rosters = rosters(fleet)
        self.version = ids.Version(1)

    def renew(self) -> tuple[platform.ObjectChanged, ...]:
        """Renew every lease once; return the changed rosters."""
        self.rosters = [
            dataclasses.replace(
                roster,
                members=tuple(
                    dataclasses.replace(one, renewal=one.renewal + 1)
                    for one in roster.members
                ),
            )
            for roster in self.rosters
        ]
        return tuple(self._changed(one) for one in self.rosters)

    def _changed(self, roster: objects.Roster) -> platform.ObjectChanged:
        self.version = ids.Version(self.version + 1)
        return platform.ObjectChanged(
            key=platform.ObjectKey(
                kind=states.ObjectKind.ROSTER,
                name=ids.ObjectName(roster.data_centre),
            ),
            version=self.version,
            write_id=ids.WriteId("w"),
            value=roster,
        )


@dataclasses.dataclass(kw_only=True)
class Cost:
    """Processor time in seconds and bytes, over the whole run."""

    cpu: float = 0.0
    peer_bytes: int = 0
    platform_bytes: int = 0


def _core(own: objects.Member, home: str) -> coordinator.ControlCoordinator:
    config = settings.Settings(
        instance=settings.InstanceSettings(
            name=own.instance, data_centre=ids.DataCentreId(home)
        )
    )
    return coordinator.ControlCoordinator(config, own, view.ObjectView())


def _count(effects: list[object], cost: Cost) -> None:
    for effect in effects:
        if isinstance(effect, relay.SendToInstance | leases.SendToInstance):
            cost.peer_bytes += len(peer_codec.encode(effect.message))
        elif isinstance(effect, platform.WriteObject):
            cost.platform_bytes += _size(effect.value)


def _size(value: object) -> int:
    encode = peer_codec.msgspec.json.encode
    return len(encode(objects_codec.to_plain(value)))


def measure(fleet: int, rank: int) -> dict[str, float]:
    """Run the core of one instance and return its cost each second."""
    world = Fleet(fleet)
    home = world.rosters[-1]
    own = home.members[rank]
    core = _core(own, home.data_centre)
    cost = Cost()
    listed = platform.ObjectsListed(
        kinds=tuple(states.ObjectKind),
        version=world.version,
        objects=world.renew(),
    )
    now = ids.Instant(100.0)
    core.handle(listed, now)
    config = settings.MembershipSettings()
    next_renewal = now
    followers = home.members[1:] if rank == 0 else ()
    while now < 100.0 + SECONDS:
        events: list[object] = [control.Tick()]
        if now >= next_renewal:
            next_renewal = ids.Instant(now + config.renew_interval)
            since = world.version
            changed = world.renew()
            if rank == 0:
                cost.platform_bytes += sum(_size(one.value) for one in changed)
                events += _watched(since, world, changed, now)
                events += _requests(followers, since)
            else:
                events.append(_relayed(since, world, changed, home))
                cost.peer_bytes += len(peer_codec.encode(events[-1].message))
        started = time.process_time()
        effects = [
            effect for event in events for effect in core.handle(event, now)
        ]
        cost.cpu += time.process_time() - started
        _count(effects, cost)
        now = ids.Instant(now + TICK)
    return {
        "core_percent": round(100 * cost.cpu / SECONDS, 2),
        "peer_kb_per_s": round(cost.peer_bytes / SECONDS / 1000, 1),
        "platform_kb_per_s": round(cost.platform_bytes / SECONDS / 1000, 1),
    }


def _watched(
    since: ids.Version,
    world: Fleet,
    changed: tuple[platform.ObjectChanged, ...],
    now: ids.Instant,
) -> list[object]:
    return [
        platform.ChangesWatched(
            since=since, position=world.version, events=changed
        ),
        platform.PlatformReached(sent_at=now),
    ]


def _requests(
    followers: tuple[objects.Member, ...], position: ids.Version
) -> list[object]:
    return [
        control.PeerMessage(
            sender=one.instance,
            message=relay.RelayRequest(
                instance=one.instance, position=position
            ),
        )
        for one in followers
    ]


def _relayed(
    since: ids.Version,
    world: Fleet,
    changed: tuple[platform.ObjectChanged, ...],
    home: objects.Roster,
) -> control.PeerMessage:
    return control.PeerMessage(
        sender=home.members[0].instance,
        message=relay.RelayedState(
            instance=home.members[0].instance,
            since=since,
            position=world.version,
            age_ms=1,
            objects=tuple(
                relay.RelayedObject(
                    kind=one.key.kind,
                    name=one.key.name,
                    version=one.version,
                    value=one.value,
                    renewal=True,
                )
                for one in changed
                if one.key.name == home.data_centre
            ),
        ),
    )


def fleet_calls() -> dict[str, float]:
    """Return the calls a second of the whole fleet, by the intervals."""
    membership = settings.MembershipSettings()
    interval = settings.PlatformSettings().watch_interval
    return {
        "writes": round(DATA_CENTRES / membership.renew_interval, 1),
        "watches_at_most": round(DATA_CENTRES / interval, 1),
    }


def main() -> None:
    """Print the figures of each fleet."""
    found: dict[str, object] = {"platform_calls_per_s": fleet_calls()}
    for fleet in FLEETS:
        found[str(fleet)] = {
            "largest_roster_bytes": max(_size(one) for one in rosters(fleet)),
            "writer": measure(fleet, 0),
            "follower": measure(fleet, 1),
        }
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    defopt.run(main)
