"""Task that owns the replica of the store, and publishes what it holds.

It applies changes from the store, the leader or a relay to the replica,
and posts the decoded objects to the tasks that use them. The control task
adds leadership and the exchange of updates.
"""

from collections import abc
import dataclasses
from typing import Any, Final

from absl import logging

from dragonflyshelf.core.configuration import readiness
from dragonflyshelf.core.grantor import lease as grantor_lease
from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core.grantor import objects as grantor_objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.rollouts import objects as rollouts
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.store import replica
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.runtime.callers import messages as callers
from dragonflyshelf.runtime.gateway import decoding
from dragonflyshelf.runtime.gateway import diagnostics
from dragonflyshelf.runtime.gateway import relay_coordinator
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import logs
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

Kind = store.ObjectKind

Publisher = abc.Callable[["ReplicationTask"], None]

PUBLISHERS: Final[registry.Registry[Kind, Publisher]] = registry.Registry(
    "publishers of decoded objects"
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PublishChanges:
    """Changes were applied to the replica, and those queued behind them."""


@dataclasses.dataclass(kw_only=True)
class TaskInboxes:
    """Inboxes of the tasks to which the control task posts messages."""

    router: inbox.Inbox
    callers: inbox.Inbox
    watch: inbox.Inbox
    write: inbox.Inbox
    grants: inbox.Inbox
    relay: inbox.Inbox


class ReplicationTask(task.Task):
    """Maintains the replica and publishes its decoded objects."""

    def __init__(
        self, config: settings.Settings, own_lease: grantor_objects.Lease
    ) -> None:
        """Create the task; ``task_inboxes`` must be set before it starts."""
        super().__init__("control")
        self._config = config
        self._own_lease = own_lease
        self._replica = replica.Replica()
        self._decoded_objects = decoding.DecodedObjects()
        self._relay_coordinator = relay_coordinator.RelayCoordinator(
            config, own_lease, self._replica
        )
        self._in_force_confirmed_at = replica.DISTANT_PAST
        self._lost_kinds: set[Kind] = set()
        self._unpublished_by_kind: dict[
            Kind, dict[ids.ObjectName, store.Change]
        ] = {}
        self._source_by_kind: dict[Kind, diagnostics.Source] = {}
        self._upstream_log = diagnostics.UpstreamLog()
        self.task_inboxes: TaskInboxes | None = None
        self.is_draining = False

    @property
    def is_leading(self) -> bool:
        """Return whether this instance is the leader."""
        raise NotImplementedError

    def _observe_control(self, changes: tuple[store.Change, ...]) -> None:
        """Process changed control objects, which have been decoded."""
        raise NotImplementedError

    def _handle_event(self, event: grantor.Event) -> None:
        """Have the cores of the leader process an event."""
        raise NotImplementedError

    def _handle_orders(
        self, orders: tuple[rollouts.RolloutOrder, ...]
    ) -> None:
        """Process the orders of roll-outs."""
        raise NotImplementedError

    @property
    def _inboxes(self) -> TaskInboxes:
        assert self.task_inboxes is not None
        return self.task_inboxes

    @property
    def configuration_age(self) -> float:
        """Return the seconds since the configuration was confirmed."""
        return self._age(Kind.CONFIGURATION)

    def _age(self, kind: Kind) -> float:
        """Return the seconds since a kind was confirmed."""
        return self.now - self._replica.by_kind(kind).confirmed_at

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests here."""
        return self.readiness.is_ready

    @property
    def readiness(self) -> readiness.Readiness:
        """Return whether the instance is ready, and why it is not."""
        configurations = self._decoded_objects.values(Kind.CONFIGURATION)
        return readiness.assess(
            readiness.ConfigurationStatus(
                version=configurations[0].version if configurations else None,
                age=self.now - self._in_force_confirmed_at,
                fault=self._decoded_objects.configuration_fault,
            ),
            self._config.freshness.ready_age,
            self.is_draining,
        )

    def known_values(self, kind: Kind) -> tuple[Any, ...]:
        """Return the decoded objects of a kind as this instance has them."""
        return self._decoded_objects.values(kind)

    @task.handles(store.KindListed)
    def _on_kind_listed(self, message: store.KindListed) -> None:
        self._mark_store_regained(message.kind)
        self._apply(message, diagnostics.Source.STORE)

    @task.handles(store.KindChanged)
    def _on_kind_changed(self, message: store.KindChanged) -> None:
        self._mark_store_regained(message.kind)
        self._apply(message, diagnostics.Source.STORE)

    def _apply(
        self,
        event: store.KindListed | store.KindChanged,
        source: diagnostics.Source,
    ) -> None:
        """Apply an event to the replica and publish what it changed."""
        self._source_by_kind[event.kind] = source
        if isinstance(event, store.KindListed):
            changes = self._replica.apply_list(event)
        else:
            changes = self._replica.apply_changes(event)
        self._publish_changes(event.kind, changes)

    @task.handles(store.StoreCallFailed)
    def _on_store_call_failed(self, message: store.StoreCallFailed) -> None:
        if message.kind in self._lost_kinds:
            return
        self._lost_kinds.add(message.kind)
        _LOGGER.warning(
            "store lost for %s: %s",
            message.kind.value,
            message.error.message,
            extra=logs.error_fields(message.error),
        )

    def _mark_store_regained(self, kind: Kind) -> None:
        if kind in self._lost_kinds:
            self._lost_kinds.discard(kind)
            _LOGGER.info("store regained for %s", kind.value)

    def _publish_changes(
        self, kind: Kind, changes: tuple[store.Change, ...]
    ) -> None:
        """Have changes published, and the confirmation of their kind.

        The lease takes effect at once. Other changes are published after
        the messages that wait already, so that versions in quick succession
        are decoded and sent on once if this instance is behind.
        """
        if kind is Kind.CONTROL:
            self._publish_control(changes)
        if any(change.name != grantor_lease.LEASE_NAME for change in changes):
            if not self._unpublished_by_kind:
                self.inbox.post(PublishChanges())
            self._unpublished_by_kind.setdefault(kind, {}).update(
                (change.name, change) for change in changes
            )
        if kind not in self._unpublished_by_kind:
            self._confirm(kind)

    def _publish_control(self, changes: tuple[store.Change, ...]) -> None:
        for change in changes:
            self._decoded_objects.apply(change)
        self._record_faults(Kind.CONTROL)
        self._observe_control(changes)

    def _record_faults(self, kind: Kind) -> None:
        diagnostics.record_faults(
            kind, self._decoded_objects.fault_count(kind)
        )

    @task.handles(PublishChanges)
    def _on_publish_changes(self, message: PublishChanges) -> None:
        """Send on what has changed since the last time, and publish it."""
        self._relay_coordinator.send_updates(self.is_leading, self.now)
        unpublished_by_kind = self._unpublished_by_kind
        self._unpublished_by_kind = {}
        for kind, changes_by_name in unpublished_by_kind.items():
            if kind is Kind.CONTROL:
                self._confirm(kind)
                continue
            may_publish = [
                self._decoded_objects.apply(change)
                for change in changes_by_name.values()
            ]
            self._record_faults(kind)
            if any(may_publish):
                PUBLISHERS.get(kind)(self)
            self._confirm(kind)

    def _confirm(self, kind: Kind) -> None:
        """Publish when configuration or plans were confirmed.

        They are in force by then. A configuration that can't be read doesn't
        confirm the one in force: it may have withdrawn a key.
        """
        kind_replica = self._replica.by_kind(kind)
        if kind is Kind.CONTROL and self._config.promises.has_rollouts:
            self._inboxes.router.post(
                scheduling.PlansConfirmed(
                    confirmed_at=kind_replica.confirmed_at
                )
            )
        if kind is not Kind.CONFIGURATION:
            return
        if self._decoded_objects.configuration_fault is not None:
            return
        self._in_force_confirmed_at = kind_replica.confirmed_at
        self._inboxes.router.post(
            scheduling.ConfigurationConfirmed(
                confirmed_at=self._in_force_confirmed_at
            )
        )

    @PUBLISHERS.register(Kind.CONFIGURATION)
    def _publish_configuration(self) -> None:
        size = sum(
            len(stored.spec)
            for stored in self._replica.objects(Kind.CONFIGURATION)
        )
        for configuration in self._decoded_objects.values(Kind.CONFIGURATION):
            diagnostics.log_configuration(
                configuration,
                self._source_by_kind[Kind.CONFIGURATION],
                self.configuration_age,
                size,
            )
            self._inboxes.router.post(
                scheduling.ConfigurationChanged(configuration=configuration)
            )
            self._publish_request_limits(configuration.limits)
            self._relay_coordinator.set_workspaces(
                configuration.workspaces, self.now
            )
            self._handle_event(
                grantor.ServicesChanged(services=configuration.services)
            )

    def _publish_request_limits(self, limits: routing.Limits) -> None:
        """Publish the limits of callers' requests.

        Limits in the configuration override those in the settings.
        """
        request_settings = dataclasses.replace(
            self._config.requests,
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            read_timeout=limits.head_timeout,
            idle_timeout=limits.idle_timeout,
        )
        self._inboxes.callers.post(
            callers.RequestLimitsChanged(requests=request_settings)
        )

    @task.handles(settings.SettingsChanged)
    def _on_settings_changed(self, message: settings.SettingsChanged) -> None:
        self._config = message.settings
        for configuration in self._decoded_objects.values(Kind.CONFIGURATION):
            self._publish_request_limits(configuration.limits)

    @PUBLISHERS.register(Kind.REGISTRATION)
    def _publish_registrations(self) -> None:
        registrations = self._decoded_objects.values(Kind.REGISTRATION)
        self._upstream_log.record(
            registrations,
            self._source_by_kind[Kind.REGISTRATION],
            self._age(Kind.REGISTRATION),
        )
        event = upstream_events.RegistrationsChanged(
            registrations=registrations
        )
        self._inboxes.router.post(event)
        self._handle_event(event)

    @PUBLISHERS.register(Kind.ROLLOUT)
    def _publish_rollouts(self) -> None:
        self._handle_orders(self._decoded_objects.values(Kind.ROLLOUT))

    @PUBLISHERS.register(Kind.EVACUATION)
    def _publish_evacuations(self) -> None:
        data_centres = frozenset(self._decoded_objects.values(Kind.EVACUATION))
        _LOGGER.info(
            "evacuated data centres: %s", ", ".join(sorted(data_centres))
        )
        event = upstream_events.EvacuationsChanged(data_centres=data_centres)
        self._inboxes.router.post(event)
        self._handle_event(event)
