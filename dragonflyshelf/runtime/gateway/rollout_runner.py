"""Runs the core of roll-outs within the control task."""

from collections import abc
import time
from typing import Any, Final

from absl import logging
import prometheus_client

from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core import ids
from dragonflyshelf.core import registry
from dragonflyshelf.core.rollouts import coordinator
from dragonflyshelf.core.rollouts import messages
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import logs

_LOGGER = logging.get_absl_logger()

EffectHandler = abc.Callable[["RolloutRunner", Any], None]

EFFECT_HANDLERS: Final[registry.Registry[type, EffectHandler]] = (
    registry.Registry("roll-out effect handlers")
)

SHARE: Final = prometheus_client.Gauge(
    "dragonflyshelf_rollout_share",
    "Share of a service's requests for the version that is rolled out",
    ("service",),
)
SPENT: Final = prometheus_client.Gauge(
    "dragonflyshelf_rollout_spent_requests",
    "Requests that the version that is rolled out has had",
    ("service",),
)
ALLOWANCE: Final = prometheus_client.Gauge(
    "dragonflyshelf_rollout_allowed_requests",
    "Requests that the version might have had if it is bad",
    ("service",),
)
STEPS: Final = prometheus_client.Counter(
    "dragonflyshelf_rollout_steps",
    "Steps of roll-outs that this instance has decided as the leader",
    ("service", "step"),
)


class RolloutRunner:
    """Executes the effects of the roll-outs' core.

    It does nothing where the deployment promises no bounds of exposure.
    """

    def __init__(self, config: settings.Settings) -> None:
        """Create a runner; ``write`` must be set before it advances."""
        self._is_enabled = config.promises.has_rollouts
        self._core = coordinator.RolloutCoordinator(config)
        self.write: inbox.Inbox | None = None

    def handle(
        self, event: messages.Event | grantor.Event, now: ids.Instant
    ) -> None:
        """Have the core process an event, unless it ignores such events."""
        if not self._is_enabled or type(event) not in coordinator.HANDLERS:
            return
        for effect in self._core.handle(event, now):
            EFFECT_HANDLERS.get(type(effect))(self, effect)

    def advance(
        self, orders_confirmed_at: ids.Instant, now: ids.Instant
    ) -> None:
        """Do what is due; ``orders_confirmed_at`` is of the replica."""
        self.handle(
            messages.TimePassed(
                unix_time=time.time(), orders_confirmed_at=orders_confirmed_at
            ),
            now,
        )

    @EFFECT_HANDLERS.register(grantor.WriteControl)
    @EFFECT_HANDLERS.register(messages.WriteStatus)
    def _post_write(
        self, effect: grantor.WriteControl | messages.WriteStatus
    ) -> None:
        assert self.write is not None
        self.write.post(effect)

    @EFFECT_HANDLERS.register(messages.StepChanged)
    def _report_step(self, effect: messages.StepChanged) -> None:
        plan = effect.plan
        _LOGGER.info(
            "rollout of %s to %s: %s, %s; share %.3f, spent %.0f of %.0f"
            " allowed, %.0f requests; %s",
            plan.service,
            plan.target,
            plan.step.value,
            plan.reason,
            plan.share,
            plan.spent,
            effect.allowance,
            plan.requests,
            effect.figures,
        )
        SHARE.labels(plan.service).set(plan.share)
        SPENT.labels(plan.service).set(plan.spent)
        ALLOWANCE.labels(plan.service).set(effect.allowance)
        STEPS.labels(plan.service, plan.step.value).inc()

    @EFFECT_HANDLERS.register(messages.RefuseOrder)
    def _report_refusal(self, effect: messages.RefuseOrder) -> None:
        _LOGGER.warning(
            "rollout of %s refused: %s",
            effect.order.service,
            effect.error.message,
            extra=logs.error_fields(effect.error),
        )
