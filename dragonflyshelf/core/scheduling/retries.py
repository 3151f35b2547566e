"""Retry policy for failed attempts."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import budget
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core.scheduling import exchanges
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import state

MAX_ATTEMPT_COUNT = 4
"""Maximum attempts of one request, also counting those that did not run."""


def bounded_retry_after(seconds: float) -> float:
    """Return a delay limited to the bounds of ``Retry-After``."""
    return min(
        max(seconds, const.MIN_RETRY_AFTER_SECONDS),
        const.MAX_RETRY_AFTER_SECONDS,
    )


class RetryPolicy:
    """Decides whether and when a failed attempt is retried."""

    def __init__(
        self, config: settings.Settings, retry_budget: budget.RetryBudget
    ) -> None:
        """Create a policy that is limited by a retry budget."""
        self._replay_bytes = config.requests.replay_bytes
        self._budget = retry_budget

    def set_settings(self, requests: settings.RequestSettings) -> None:
        """Replace the maximum size of a body that can be replayed."""
        self._replay_bytes = requests.replay_bytes

    def retry_delay(
        self,
        exchange: exchanges.Exchange,
        result: state.AttemptResult,
        now: ids.Instant,
    ) -> float | None:
        """Return the retry delay in seconds, or None for no retry.

        A request that was not sent does not count against the budget.
        """
        if exchange.may_have_run and not exchange.is_idempotent:
            return None
        if exchange.possible_run_count >= exchange.match.route.max_attempts:
            return None
        if (
            exchange.attempt_count >= MAX_ATTEMPT_COUNT
            or now >= exchange.deadline
        ):
            return None
        if not self._is_replayable(exchange):
            return None
        is_sent = result is not state.AttemptResult.UNREACHABLE
        if is_sent and not self._budget.allows_retry(exchange.service, now):
            return None
        needs_other_holder = result is state.AttemptResult.NOT_HOLDER or (
            not is_sent and exchange.head.shard_key is not None
        )
        if not needs_other_holder:
            return 0.0
        if exchange.attempt_count > const.NOT_HOLDER_MAX_RETRY_COUNT:
            return None
        return const.NOT_HOLDER_BACKOFF_SECONDS * 2**exchange.attempt_count

    def may_retry_after_failure(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> bool:
        """Return whether a server error would be retried.

        Called before the request is sent.
        """
        if not exchange.is_idempotent:
            return False
        if (
            exchange.possible_run_count + 1
            >= exchange.match.route.max_attempts
        ):
            return False
        if not self._is_replayable(exchange):
            return False
        return self._budget.allows_retry(exchange.service, now)

    def _is_replayable(self, exchange: exchanges.Exchange) -> bool:
        head = exchange.head
        if not head.has_body:
            return True
        return 0 <= head.body_length <= self._replay_bytes
