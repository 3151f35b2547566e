"""Model of a divided service called from three data centres.

Holders have slots and a short queue, and reset what comes on top. Each data
centre has a relay; the model's figures are not those of a deployment.
"""

import collections

from dragonflyshelf.core import errors
from dragonflyshelf.core.grantor import objects as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.scheduling import coordinator
from dragonflyshelf.core.scheduling import messages as scheduling
from dragonflyshelf.core.slots import messages as slots
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import messages as upstream_events
from dragonflyshelf.core.upstreams import state
from tests.core.scheduling import world
from tests.core.slots import data_centre

DATA_CENTRE_COUNT = 3
HOLDER_COUNT = 12
SLOT_COUNT = 6
WAITING_COUNT = 24
"""Requests that a holder queues; it resets what comes on top."""

WARMUP_SECONDS = 5.0

KEYS_BY_HOLDER = 65536 // HOLDER_COUNT
HOT_KEY = 5


class HolderCentres(data_centre.DataCentre):
    """Cores of 87 instances; the first of each data centre is its relay.

    ``hot_share`` of the requests are about one key, and
    ``unsafe_share`` of them must not run twice.
    """

    def __init__(
        self,
        seed: int,
        has_broker: bool = True,
        hot_share: float = 0.0,
        unsafe_share: float = 0.0,
    ) -> None:
        """Create cores that know all holders."""
        self.hot_share = hot_share
        self.unsafe_share = unsafe_share
        self.relay_by_centre = list(range(DATA_CENTRE_COUNT))
        self.silent_relays: set[int] = set()
        self.arrival_count = 0
        self.arrived_at_by_holder: collections.defaultdict[
            ids.UpstreamId, list[float]
        ] = collections.defaultdict(list)
        self.turned_away_count = 0
        self.failed_count = 0
        self.refused_after_seconds: list[float] = []
        self.run_counts: collections.Counter[ids.ExchangeId] = (
            collections.Counter()
        )
        self.end_counts: collections.Counter[ids.ExchangeId] = (
            collections.Counter()
        )
        self.unsafe: set[ids.ExchangeId] = set()
        super().__init__(seed, 87, HOLDER_COUNT, has_broker=False)
        if has_broker:
            for centre in range(DATA_CENTRE_COUNT):
                self.set_broker(centre, centre)

    def set_broker(self, centre: int, relay: int | None) -> None:
        """Let the instances of a data centre follow a relay, or none."""
        if relay is not None:
            self.relay_by_centre[centre] = relay
        for number in range(centre, len(self.cores), DATA_CENTRE_COUNT):
            if number != relay:
                self.handle(number, slots.BrokerChanged(is_available=False))
                if relay is not None:
                    self.handle(number, slots.BrokerChanged(is_available=True))

    def _make_core(self, number: int) -> coordinator.SchedulingCoordinator:
        core = coordinator.SchedulingCoordinator(
            world.make_settings(f"i{number}")
        )
        now = ids.Instant(self.now)
        kinds = world.routing.RequestKind
        routes = tuple(
            world.route(
                name, "archive", timeout=5.0, latency_objective=1.2, kind=kind
            )
            for name, kind in (
                ("old", kinds.IDEMPOTENT),
                ("new", kinds.NON_IDEMPOTENT),
            )
        )
        core.handle(
            scheduling.ConfigurationChanged(
                configuration=world.configuration(routes=routes)
            ),
            now,
        )
        core.handle(self._register(cold_count=0), now)
        self.upstreams_by_range = list(self.upstreams)
        core.handle(
            scheduling.InstancesChanged(
                instances=tuple(ids.InstanceId(f"i{n}") for n in range(87))
            ),
            now,
        )
        core.handle(scheduling.AssignmentsChanged(plan=self._plan()), now)
        return core

    def _register(
        self, cold_count: int
    ) -> upstream_events.RegistrationsChanged:
        """Return the event that the first holders are cold."""
        for number, holder in enumerate(self.upstreams):
            holder.registration = world.upstream(
                holder.registration.id,
                "archive",
                slots=SLOT_COUNT,
                data_centre=ids.DataCentreId(f"d{number % DATA_CENTRE_COUNT}"),
                warmup_left_seconds=WARMUP_SECONDS * (number < cold_count),
            )
        return upstream_events.RegistrationsChanged(
            registrations=tuple(
                holder.registration for holder in self.upstreams
            )
        )

    def turn_cold(self, cold_count: int) -> None:
        """Let the first holders be cold from now on."""
        event = self._register(cold_count)
        for number in range(len(self.cores)):
            self.handle(number, event)

    def move_first_range(self, is_settled: bool) -> None:
        """Let the holder of the last range get the first one as well."""
        self.upstreams_by_range[0] = self.upstreams[-1]
        for number in range(len(self.cores)):
            self.handle(
                number,
                scheduling.AssignmentsChanged(plan=self._plan(is_settled)),
            )

    def _plan(self, is_first_settled: bool = True) -> grantor.ShardPlan:
        return grantor.ShardPlan(
            service=world.ARCHIVE,
            assignments=tuple(
                grantor.Assignment(
                    first=ids.ShardKey(number * KEYS_BY_HOLDER),
                    last=ids.ShardKey((number + 1) * KEYS_BY_HOLDER - 1),
                    upstream=holder.registration.id,
                    life=holder.registration.incarnation,
                    epoch=ids.Epoch(2),
                    is_settled=number > 0 or is_first_settled,
                )
                for number, holder in enumerate(self.upstreams_by_range)
            ),
        )

    def _send(self) -> None:
        number = self.random.randrange(len(self.cores))
        exchange = ids.ExchangeId(next(self.exchange_numbers))
        self.arrived_at_by_id[(number, exchange)] = self.now
        now = ids.Instant(self.now)
        key = self.random.randrange(KEYS_BY_HOLDER * HOLDER_COUNT)
        if self.random.random() < self.hot_share:
            key = HOT_KEY
        target = b"/old/1"
        if self.random.random() < self.unsafe_share:
            self.unsafe.add(exchange)
            target = b"/new/1"
        head = messages.RequestHead(
            request_id=ids.RequestId(f"r{exchange}"),
            method=b"GET",
            target=target,
            headers=(),
            host=world.HOST,
            key_digest=world.DIGEST,
            deadline=ids.Instant(now + 5.0),
            shard_key=ids.ShardKey(key),
        )
        self.handle(
            number, scheduling.ConfigurationConfirmed(confirmed_at=now)
        )
        self.handle(
            number, scheduling.RequestArrived(exchange=exchange, head=head)
        )

    def _execute(self, number: int, effect: scheduling.Effect) -> None:
        if isinstance(effect, slots.SlotInUse):
            self._send_to_relay(
                number, slots.SlotInUseReported(link=number, slot=effect)
            )
            return
        if isinstance(effect, scheduling.Refuse):
            is_failure = isinstance(effect.error, errors.UpstreamFailed)
            self.failed_count += is_failure
            arrived_at = self.arrived_at_by_id[(number, effect.exchange)]
            self.refused_after_seconds.append(self.now - arrived_at)
        super()._execute(number, effect)

    def _send_to_relay(self, number: int, event: scheduling.Event) -> None:
        relay = self.relay_by_centre[number % DATA_CENTRE_COUNT]
        if relay not in self.silent_relays:
            self.schedule(
                data_centre.HOP_SECONDS, lambda: self.handle(relay, event)
            )

    def _arrive(
        self,
        upstream: data_centre.Upstream,
        key: tuple[int, ids.ExchangeId],
    ) -> None:
        self.arrival_count += 1
        self.arrived_at_by_holder[upstream.registration.id].append(self.now)
        if len(upstream.waiting) < WAITING_COUNT:
            self.run_counts[key[1]] += 1
            super()._arrive(upstream, key)
            return
        self.turned_away_count += 1
        self.schedule(
            data_centre.HOP_SECONDS, lambda: self._reset(upstream, key)
        )

    def _reset(
        self,
        upstream: data_centre.Upstream,
        key: tuple[int, ids.ExchangeId],
    ) -> None:
        number, exchange = key
        self.handle(
            number,
            scheduling.AttemptFinished(
                exchange=exchange,
                upstream=upstream.registration.id,
                result=state.AttemptResult.FAILED,
                error=errors.UpstreamFailed(
                    "reset", outcome=states.Outcome.UNKNOWN
                ),
                response_started=False,
                is_turned_away=True,
            ),
        )

    def _finish(self, number: int, exchange: ids.ExchangeId) -> None:
        self.end_counts[exchange] += 1
        super()._finish(number, exchange)
