"""One watch for each data centre, relayed to its other instances.

The view of every instance is always the state of the platform as of one
store version, its position: a relayed batch is taken only when it begins
at or before that position.
"""

import collections
import dataclasses

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core.platform import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

FAR_SOURCES = 3
LOG_BATCHES = 512
MILLISECONDS = 1000
NEAR_SOURCES = 3
SUBSCRIPTION_HEARTBEATS = 6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayRequest:
    """The sender wants what changed after its position."""

    instance: ids.InstanceId
    position: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedObject:
    """An object in a relayed batch; the value None is a deletion.

    ``renewal`` tells that a roster changed by renewals alone.
    """

    kind: states.ObjectKind
    name: ids.ObjectName
    version: ids.Version
    value: messages.Value | None
    renewal: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedState:
    """Changes after ``since`` up to ``position``.

    With ``since`` 0 it is the whole state. ``age_ms`` is the time since
    the relay's state was known to be up to date.
    """

    instance: ids.InstanceId
    since: ids.Version
    position: ids.Version
    age_ms: int
    objects: tuple[RelayedObject, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendToInstance:
    """Effect: a relay message goes to another instance."""

    instance: ids.InstanceId
    message: RelayRequest | RelayedState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SwitchWatch:
    """Effect: watch the platform from a position on, or stop."""

    enabled: bool
    since: ids.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """Changes between two positions."""

    since: ids.Version
    position: ids.Version
    objects: tuple[RelayedObject, ...]


Effects = list[SendToInstance | SwitchWatch]


class RelayCoordinator:
    """Decides who watches and passes on what the watch brings."""

    def __init__(
        self,
        config: settings.Settings,
        shared_view: view.ObjectView,
    ) -> None:
        """Create a coordinator that does not watch yet."""
        self._config = config.membership
        self._instance = config.instance.name
        self._data_centre = config.instance.data_centre
        self._view = shared_view
        self._log: collections.deque[Batch] = collections.deque(
            maxlen=LOG_BATCHES
        )
        self._heard_by_subscriber: dict[ids.InstanceId, ids.Instant] = {}
        self._heard_at: ids.Instant | None = None
        self._next_request = ids.Instant(0.0)
        self.position = ids.Version(0)
        self.fresh_at = ids.Instant(0.0)
        self.watching = False

    def handle_tick(self, now: ids.Instant) -> Effects:
        """Ask the relay, or begin to watch when it is silent."""
        if self._heard_at is None:
            self._heard_at = now
        effects = self._choose_watch(now)
        stale = now - self.fresh_at > self._config.writer_silence
        if now < self._next_request or (self.watching and not stale):
            return effects
        self._next_request = ids.Instant(now + self._config.heartbeat_interval)
        request = RelayRequest(instance=self._instance, position=self.position)
        return [
            *effects,
            *(
                SendToInstance(instance=one, message=request)
                for one in self._sources()[: self._reach(now)]
                if one != self._instance
            ),
        ]

    def handle_fresh(self, as_of: ids.Instant) -> None:
        """Take in that the view was up to date at an instant."""
        self.fresh_at = max(self.fresh_at, as_of)

    def watch_again(self) -> Effects:
        """Watch from the own position, after a gap."""
        if not self.watching:
            return []
        return [SwitchWatch(enabled=True, since=self.position)]

    def restart(self, position: ids.Version) -> None:
        """Take over the position of a whole list."""
        self.position = max(self.position, position)
        self._log.clear()

    def handle_batch(self, batch: Batch, now: ids.Instant) -> Effects:
        """Take over what the own watch has brought and pass it on."""
        if batch.position > self.position:
            self.position = batch.position
        if batch.objects:
            self._log.append(batch)
        if not batch.objects:
            return []
        oldest = (
            now - SUBSCRIPTION_HEARTBEATS * self._config.heartbeat_interval
        )
        return [
            self._relay(one, batch, now)
            for one, heard_at in self._heard_by_subscriber.items()
            if heard_at >= oldest
        ]

    def handle_request(
        self, request: RelayRequest, now: ids.Instant
    ) -> Effects:
        """Answer with what the sender lacks, if this instance watches."""
        if not self.watching or self.position == 0:
            return []
        self._heard_by_subscriber[request.instance] = now
        return [
            self._relay(request.instance, self._since(request.position), now)
        ]

    def accepts(self, state: RelayedState, now: ids.Instant) -> bool:
        """Take in a relayed state; return whether to apply it."""
        if state.since > self.position:
            return False
        as_of = ids.Instant(now - state.age_ms / MILLISECONDS)
        if now - as_of < self._config.writer_silence:
            self._heard_at = now
        if state.position < self.position:
            return False
        self.handle_fresh(as_of)
        self.position = state.position
        return True

    def _choose_watch(self, now: ids.Instant) -> Effects:
        assert self._heard_at is not None
        ranks = self._ranks()
        rank = 0
        if self._instance in ranks:
            rank = ranks.index(self._instance)
        patience = self._config.writer_silence + rank * self._config.stagger
        wanted = rank == 0 or now - self._heard_at > patience
        if wanted == self.watching:
            return []
        self.watching = wanted
        return [SwitchWatch(enabled=wanted, since=self.position)]

    def _reach(self, now: ids.Instant) -> int:
        assert self._heard_at is not None
        waited = now - self._heard_at - self._config.heartbeat_interval * 1.5
        return 1 + max(0, int(waited / self._config.stagger))

    def _ranks(self) -> list[ids.InstanceId]:
        known = self._view.get(states.ObjectKind.ROSTER, self._data_centre)
        if known is None:
            return []
        return [one.instance for one in known.value.members]

    def _sources(self) -> list[ids.InstanceId]:
        """Return whom to ask: the own data centre, then others."""
        others = [
            roster.members[0].instance
            for roster in self._view.values(states.ObjectKind.ROSTER)
            if roster.data_centre != self._data_centre and roster.members
        ]
        return [*self._ranks()[:NEAR_SOURCES], *others[:FAR_SOURCES]]

    def _since(self, position: ids.Version) -> Batch:
        if position >= self.position:
            return Batch(
                since=self.position, position=self.position, objects=()
            )
        needed = [one for one in self._log if one.position > position]
        if needed and needed[0].since <= position:
            return Batch(
                since=position,
                position=self.position,
                objects=tuple(
                    changed
                    for one in needed
                    for changed in one.objects
                    if changed.version > position
                ),
            )
        return Batch(
            since=ids.Version(0),
            position=self.position,
            objects=self._everything(),
        )

    def _everything(self) -> tuple[RelayedObject, ...]:
        return tuple(
            RelayedObject(
                kind=key.kind,
                name=key.name,
                version=known.version,
                value=known.value,
            )
            for key, known in self._view.known()
            if known.value is not None
        )

    def _relay(
        self, instance: ids.InstanceId, batch: Batch, now: ids.Instant
    ) -> SendToInstance:
        age = max(0.0, now - self.fresh_at)
        return SendToInstance(
            instance=instance,
            message=RelayedState(
                instance=self._instance,
                since=batch.since,
                position=batch.position,
                age_ms=int(age * MILLISECONDS) + 1,
                objects=tuple(
                    one
                    for one in batch.objects
                    if self._concerns(one, instance)
                ),
            ),
        )

    def _concerns(
        self, changed: RelayedObject, instance: ids.InstanceId
    ) -> bool:
        """Tell whether an instance needs a change.

        Renewals of other data centres concern their members, which may be
        cut off there, and their removers.
        """
        value = changed.value
        if not isinstance(value, objects.Roster):
            return True
        if value.data_centre == self._data_centre or not changed.renewal:
            return True
        return any(
            one.instance == instance
            for one in (*value.removers, *value.members)
        )
