"""Whether and when a request is sent once more."""

from dragonflyshelf.core import ids
from dragonflyshelf.core.scheduling import budget
from dragonflyshelf.core.scheduling import const
from dragonflyshelf.core.scheduling import exchanges
from dragonflyshelf.core import settings
from dragonflyshelf.core.upstreams import state

LONGEST_SENDS = 4
"""Sends of one request, those that provably did not run included."""


def retry_after(seconds: float) -> float:
    """Return after how many seconds a refused caller should return."""
    return min(
        max(seconds, const.SHORTEST_RETRY_AFTER), const.LONGEST_RETRY_AFTER
    )


class RetryJudge:
    """Judges failed attempts."""

    def __init__(
        self, config: settings.Settings, repeats: budget.RetryBudget
    ) -> None:
        """Create a judge that spends from a budget."""
        self._replay_bytes = config.requests.replay_bytes
        self._budget = repeats

    def set_settings(self, requests: settings.RequestSettings) -> None:
        """Take over how long a body may be to be sent again."""
        self._replay_bytes = requests.replay_bytes

    def pause_before_repeat(
        self,
        exchange: exchanges.Exchange,
        result: state.AttemptResult,
        now: ids.Instant,
    ) -> float | None:
        """Return the seconds to wait, or None if the failure is final."""
        if exchange.may_have_run and not exchange.is_idempotent:
            return None
        if exchange.runs >= exchange.match.route.attempts:
            return None
        if exchange.sends >= LONGEST_SENDS or now >= exchange.deadline:
            return None
        if not self._is_replayable(exchange):
            return None
        if not self._budget.has_repeat(exchange.service, now):
            return None
        if result is not state.AttemptResult.NOT_HOLDER:
            return 0.0
        if exchange.sends > const.NOT_HOLDER_REPEATS:
            return None
        return const.NOT_HOLDER_PAUSE * 2**exchange.sends

    def may_repeat_after_failure(
        self, exchange: exchanges.Exchange, now: ids.Instant
    ) -> bool:
        """Tell whether a server error would be followed by a repeat.

        Asked before the request is sent.
        """
        if not exchange.is_idempotent:
            return False
        if exchange.runs + 1 >= exchange.match.route.attempts:
            return False
        if not self._is_replayable(exchange):
            return False
        return self._budget.has_repeat(exchange.service, now)

    def _is_replayable(self, exchange: exchanges.Exchange) -> bool:
        head = exchange.head
        if not head.has_body:
            return True
        return 0 <= head.body_length <= self._replay_bytes
