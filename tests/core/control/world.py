"""Several control cores over one store, with a virtual clock.

Every message has a random latency; instances have clocks of their own
rates. Faults are switches of the world that a history turns.
"""

import dataclasses
import heapq
import random
from typing import Any

from dragonflyshelf.core.configuration import objects as configuration
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.control import coordinator
from dragonflyshelf.core.control import messages as control
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import messages as leases
from dragonflyshelf.core.membership import objects as membership
from dragonflyshelf.core.ownership import messages as ownership
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core.platform import relay
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.core.timeline import events
from tests.core.control import upstreams

KINDS = frozenset(states.ObjectKind)
DEADLINE = 2.0
REQUEST_INTERVAL = 0.1
SERVICE = ids.ServiceName("letters")
TICK = 0.05
UNFENCED_WINDOW = DEADLINE - 0.1


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Switches; the pairs are (sender, receiver)."""

    platform_out: bool = False
    platform_slow: float = 0.0
    lost_answers: float = 0.0
    lost_messages: float = 0.0
    lost_types: tuple[type, ...] = ()
    cut_pairs: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    cut_from_platform: set[str] = dataclasses.field(default_factory=set)


class Instance:
    """One control core, its clock, and what its router would know."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        rate: float,
        incarnation: int,
        config: settings.Settings,
    ) -> None:
        """Create an instance that has just started."""
        self.name = name
        self.data_centre = data_centre
        self.rate = rate
        self.paused = False
        self.waiting: list[Any] = []
        self.lease_until = 0.0
        self.held: dict[str, dispatch.HeldLeadership] = {}
        self.sealed: set[Any] = set()
        self.watch = 0
        self.drained = False
        self.view = view.ObjectView()
        own = membership.Member(
            instance=ids.InstanceId(name),
            incarnation=ids.Incarnation(incarnation),
            host="127.0.0.1",
            peer_port=1000,
            operator_port=0,
        )
        self.core = coordinator.ControlCoordinator(config, own, self.view)

    def local(self, at: float) -> ids.Instant:
        """Return the reading of the clock of this instance."""
        return ids.Instant(100.0 + at * self.rate)

    def may_send(self, upstream: str, at: float) -> bool:
        """Tell whether its router would send to an upstream."""
        return upstream in self.held and self.local(at) < self.lease_until


class World:
    """Instances, upstreams and the platform, by one event queue."""

    def __init__(
        self,
        seed: int,
        homes: dict[str, str],
        fenced: bool = True,
        shards: int = 12,
        upstream_count: int = 4,
        **options: Any,
    ) -> None:
        """Create the world; instances start in the first seconds."""
        self.random = random.Random(seed)
        self.at = 0.0
        self.homes = homes
        self.options = {
            "clock_rate_margin": 0.05,
            "promise": 6.0,
            "drift": 0.02,
            **options,
        }
        self.faults = Faults()
        self.store = store.ObjectStore()
        self.calls = 0
        self.takeovers = 0
        self.events: list[events.TimelineEvent] = []
        self._queue: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._number = 0
        self.instances: dict[str, Instance] = {}
        self.upstreams = {
            f"u{number}": upstreams.FakeUpstream(f"u{number}", fenced)
            for number in range(upstream_count)
        }
        self.runs = upstreams.Runs()
        self.fenced = fenced
        self._leaders: dict[str, str] = {}
        self._configure(fenced, shards)
        self._check_leaders()
        for name in homes:
            self.later(self.random.uniform(0, 1), self.start, name)

    def _configure(self, fenced: bool, shards: int) -> None:
        self.put(
            states.ObjectKind.SERVICE,
            configuration.Service(
                name=SERVICE,
                key_source=states.KeySource.PATH,
                shards=shards,
            ),
        )
        for name in self.upstreams:
            self.put(
                states.ObjectKind.UPSTREAM,
                configuration.Upstream(
                    name=ids.UpstreamId(name),
                    service=SERVICE,
                    host=name,
                    port=1,
                    data_centre=ids.DataCentreId("a"),
                    fenced=fenced,
                ),
            )

    def put(self, kind: states.ObjectKind, value: Any) -> None:
        """Change an object as an operator would."""
        name = ids.ObjectName(value.name)
        present = self.store.get(kind, name)
        version = present.version if present else ids.Version(0)
        self.store.put(kind, name, version, ids.WriteId("operator"), value)

    def later(self, delay: float, action: Any, *arguments: Any) -> None:
        """Run an action after a delay in true seconds."""
        self._number += 1
        entry = (self.at + delay, self._number, action, arguments)
        heapq.heappush(self._queue, entry)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.at + seconds
        while self._queue and self._queue[0][0] <= end:
            self.at, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.at = end

    def latency(self) -> float:
        """Draw the time that a message takes."""
        return self.random.uniform(0.0005, 0.02)

    def start(self, name: str) -> None:
        """Start a process under a name, in place of a lost one."""
        if name in self.instances:
            return
        drift = self.options["drift"]
        config = settings.Settings(
            instance=settings.InstanceSettings(
                name=ids.InstanceId(name),
                data_centre=ids.DataCentreId(self.homes[name]),
            ),
            membership=settings.MembershipSettings(
                clock_rate_margin=self.options["clock_rate_margin"],
                promise=self.options["promise"],
            ),
            requests=settings.RequestSettings(deadline=DEADLINE),
        )
        self.instances[name] = Instance(
            name,
            self.homes[name],
            self.random.uniform(1 - drift, 1 + drift),
            int(self.at * 1e6) + 1,
            config,
        )
        self._tick(self.instances[name])
        self._send_requests(self.instances[name])

    def kill(self, name: str) -> None:
        """End a process without a word."""
        self.instances.pop(name, None)

    def pause(self, name: str) -> None:
        """Stop a process; it may have decided to send just before."""
        instance = self.instances.get(name)
        if instance is None:
            return
        longest = 4.0 if self.fenced else UNFENCED_WINDOW
        self._emit_requests(instance, self.random.uniform(0, longest))
        instance.paused = True

    def resume(self, name: str) -> None:
        """Let a process go on with what waited for it."""
        instance = self.instances.get(name)
        if instance is None or not instance.paused:
            return
        instance.paused = False
        waiting, instance.waiting = instance.waiting, []
        for event in waiting:
            self.deliver(instance, event)

    def is_running(self, instance: Instance) -> bool:
        """Tell whether a process still exists."""
        return self.instances.get(instance.name) is instance

    def deliver(self, instance: Instance, event: Any) -> None:
        """Give an event to a core and carry out its effects."""
        if not self.is_running(instance):
            return
        if instance.paused:
            instance.waiting.append(event)
            return
        now = instance.local(self.at)
        for effect in instance.core.handle(event, now):
            self._carry_out(instance, effect)

    def _tick(self, instance: Instance) -> None:
        if not self.is_running(instance):
            return
        if not instance.paused:
            self.deliver(instance, control.Tick())
        self.later(TICK, self._tick, instance)

    def _carry_out(self, instance: Instance, effect: Any) -> None:
        if isinstance(effect, dispatch.LeaseChanged):
            instance.lease_until = effect.until
        elif isinstance(effect, dispatch.LeadershipsHeld):
            instance.held = {one.upstream: one for one in effect.held}
        elif isinstance(effect, dispatch.SealShard):
            instance.sealed.add(effect.key)
            quiet = dispatch.ShardQuiet(key=effect.key)
            delay = self.random.uniform(0, 0.2)
            self.later(delay, self.deliver, instance, quiet)
        elif isinstance(effect, dispatch.UnsealShard):
            instance.sealed.discard(effect.key)
        elif isinstance(effect, platform.WriteObject):
            self._call_put(instance, effect)
        elif isinstance(effect, relay.SwitchWatch):
            self._switch_watch(instance, effect)
        elif isinstance(effect, leases.SendToInstance | relay.SendToInstance):
            self._send(instance, effect)
        elif isinstance(effect, ownership.SendGrant):
            self.upstreams[effect.host].on_grant(self, instance, effect)
        elif isinstance(effect, ownership.SendRelease):
            self.upstreams[effect.host].on_release(self, instance, effect)
        elif isinstance(effect, control.DrainEnded):
            instance.drained = True
        elif isinstance(effect, events.RecordEvent):
            self.events.append(effect.event)

    def _send(
        self,
        sender: Instance,
        effect: leases.SendToInstance | relay.SendToInstance,
    ) -> None:
        receiver = self.instances.get(effect.instance)
        lost = self.random.random() < self.faults.lost_messages
        lost = lost or isinstance(effect.message, self.faults.lost_types)
        cut = (sender.name, effect.instance) in self.faults.cut_pairs
        if receiver is None or lost or cut:
            return
        event = control.PeerMessage(
            sender=ids.InstanceId(sender.name), message=effect.message
        )
        self.later(self.latency(), self.deliver, receiver, event)

    def _reaches_platform(self, instance: Instance) -> bool:
        cut = instance.name in self.faults.cut_from_platform
        return not self.faults.platform_out and not cut

    def _call_delay(self) -> float:
        return self.latency() + self.random.uniform(
            0, self.faults.platform_slow
        )

    def _call_put(self, sender: Instance, write: platform.WriteObject) -> None:
        sent_at = sender.local(self.at)
        if not self._reaches_platform(sender):
            failed = self._finished(write, sent_at, "UNKNOWN")
            delay = self.random.choice((0.01, 1.0))
            self.later(delay, self.deliver, sender, failed)
            return
        self.later(self._call_delay(), self._put, sender, write, sent_at)

    def _put(
        self,
        sender: Instance,
        write: platform.WriteObject,
        sent_at: ids.Instant,
    ) -> None:
        self.calls += 1
        key = write.key
        try:
            stored = self.store.put(
                key.kind, key.name, write.expected, write.write_id, write.value
            )
            finished = self._finished(
                write, sent_at, "DONE", stored.version, write.value
            )
            if key.kind is states.ObjectKind.SEGMENT:
                self.runs.check_segment(write.value)
        except errors.VersionConflict:
            present = self.store.get(key.kind, key.name)
            version = present.version if present else ids.Version(0)
            finished = self._finished(write, sent_at, "CONFLICT", version)
        lost = self.random.random() < self.faults.lost_answers
        if lost or not self._reaches_platform(sender):
            finished = self._finished(write, sent_at, "UNKNOWN")
        self.later(self._call_delay(), self.deliver, sender, finished)

    def _finished(
        self,
        write: platform.WriteObject,
        sent_at: ids.Instant,
        result: str,
        version: ids.Version = ids.Version(0),
        written: Any = None,
    ) -> platform.WriteFinished:
        return platform.WriteFinished(
            key=write.key,
            write_id=write.write_id,
            result=states.WriteResult[result],
            version=version,
            sent_at=sent_at,
            written=written,
        )

    def _switch_watch(
        self, instance: Instance, effect: relay.SwitchWatch
    ) -> None:
        instance.watch += 1
        if effect.enabled:
            self._poll(instance, instance.watch, effect.since)

    def _poll(self, instance: Instance, watch: int, since: int) -> None:
        if instance.watch != watch or not self.is_running(instance):
            return
        if not self._reaches_platform(instance) or instance.paused:
            delay = self.random.uniform(0.1, 0.5)
            self.later(delay, self._poll, instance, watch, since)
            return
        sent_at = instance.local(self.at)
        args = (instance, watch, since, sent_at)
        self.later(self._call_delay(), self._answer_poll, *args)

    def _answer_poll(
        self,
        instance: Instance,
        watch: int,
        since: ids.Version,
        sent_at: ids.Instant,
    ) -> None:
        self.calls += 1
        position = self.store.version
        if since == 0:
            listed = platform.ObjectsListed(
                kinds=tuple(states.ObjectKind),
                version=position,
                objects=tuple(_changed(one) for one in self.store.list(KINDS)),
            )
            event: Any = listed
        else:
            event = platform.ChangesWatched(
                since=since,
                position=position,
                events=tuple(
                    _changed(one)
                    for one in self.store.changes_since(since, KINDS)
                ),
            )
        delay = self._call_delay()
        if self._reaches_platform(instance):
            reached = platform.PlatformReached(sent_at=sent_at)
            self.later(delay, self.deliver, instance, event)
            self.later(delay, self.deliver, instance, reached)
            since = position
        self.later(delay + 0.1, self._poll, instance, watch, since)

    def _obeys(self, upstream: str, instance: Instance) -> bool:
        """Tell whether an upstream accepts the term of a leader."""
        if not self.fenced:
            return True
        return instance.held[upstream].term >= self.upstreams[upstream].term

    def _check_leaders(self) -> None:
        """At most one instance would send to an upstream."""
        for upstream in self.upstreams:
            leaders = [
                one.name
                for one in self.instances.values()
                if not one.paused
                and one.may_send(upstream, self.at)
                and self._obeys(upstream, one)
            ]
            assert len(leaders) < 2, (upstream, leaders, self.at)
            if leaders and self._leaders.get(upstream) != leaders[0]:
                self._leaders[upstream] = leaders[0]
                self.takeovers += 1
        self.later(TICK / 2, self._check_leaders)

    def _send_requests(self, instance: Instance) -> None:
        if not self.is_running(instance):
            return
        if not instance.paused:
            self._emit_requests(instance, 0.0)
        self.later(REQUEST_INTERVAL, self._send_requests, instance)

    def _emit_requests(self, instance: Instance, delay: float) -> None:
        """Send one request for each shard that this instance leads."""
        known = instance.view.get(states.ObjectKind.SEGMENT, SERVICE)
        if known is None:
            return
        for one in known.value.assignments:
            key = upstreams.key_of(SERVICE, one)
            sends = instance.may_send(one.upstream, self.at)
            if not sends or key in instance.sealed:
                continue
            self.later(
                delay + self.latency(),
                self.upstreams[one.upstream].on_request,
                self,
                key,
                instance.held[one.upstream].term,
            )


def _changed(
    stored: store.StoredObject,
) -> platform.ObjectChanged | platform.ObjectDeleted:
    key = platform.ObjectKey(kind=stored.kind, name=stored.name)
    if stored.value is None:
        return platform.ObjectDeleted(key=key, version=stored.version)
    return platform.ObjectChanged(
        key=key,
        version=stored.version,
        write_id=stored.write_ids[0],
        value=stored.value,
    )
