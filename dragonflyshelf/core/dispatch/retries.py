"""Whether and when a request is tried again.

A request that may have run is tried again only if it is idempotent. A
body is sent again only if the origin still has all of it.
"""

import enum
from typing import Final

from dragonflyshelf.core.dispatch import exchanges
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.core import states

ROUTE_ERRORS: Final = (
    errors.NoOwner,
    errors.NoUpstream,
    errors.PeerUnreachable,
    errors.WrongLeader,
)
UPSTREAM_ERRORS: Final = (
    errors.UpstreamFailed,
    errors.UpstreamRefused,
    errors.UpstreamUnreachable,
)
FIRST_BACKOFF: Final = 0.01
LONGEST_BACKOFF: Final = 0.1


class Verdict(enum.Enum):
    """What becomes of a request whose attempt has failed."""

    FINAL = "final"
    LATER = "later"
    NOW = "now"


class RetryBudget:
    """Allows retries as a share of the requests."""

    def __init__(self, config: settings.RetrySettings) -> None:
        """Create a budget with its reserve."""
        self._config = config
        self.tokens = config.reserve

    def count_request(self) -> None:
        """Earn the share of one request."""
        earned = self.tokens + self._config.share
        self.tokens = min(earned, self._config.reserve)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Retries:
    """Judges failed attempts at the instance of the caller."""

    def __init__(
        self,
        config: settings.RetrySettings,
        requests: settings.RequestSettings,
    ) -> None:
        """Create the judge with a full budget."""
        self._config = config
        self._replay_bytes = requests.replay_bytes
        self.budget = RetryBudget(config)

    def judge(
        self,
        exchange: exchanges.Exchange,
        error: errors.RouterError,
        now: ids.Instant,
    ) -> Verdict:
        """Decide about an exchange whose attempt has failed."""
        if not self._may_repeat(exchange, error) or exchange.forwarded:
            return Verdict.FINAL
        if now + self.backoff(exchange) >= exchange.head.deadline:
            return Verdict.FINAL
        keyed = exchange.admitted.shard >= 0
        routed = keyed or isinstance(error, ROUTE_ERRORS)
        if routed and error.outcome is states.Outcome.NOT_RUN:
            waited = now - exchange.accepted_at
            if waited < self._config.longest_wait:
                return Verdict.LATER
            return Verdict.FINAL
        if exchange.attempts >= self._config.attempts:
            return Verdict.FINAL
        if not self.budget.spend():
            return Verdict.FINAL
        return Verdict.LATER if keyed else Verdict.NOW

    def backoff(self, exchange: exchanges.Exchange) -> float:
        """Return the seconds to wait before the next attempt."""
        doubled = FIRST_BACKOFF * 2 ** min(exchange.attempts, 10)
        return min(doubled, LONGEST_BACKOFF)

    def _may_repeat(
        self, exchange: exchanges.Exchange, error: errors.RouterError
    ) -> bool:
        if not isinstance(error, ROUTE_ERRORS + UPSTREAM_ERRORS):
            return False
        if not self._replayable(exchange.head):
            return False
        if error.outcome is states.Outcome.NOT_RUN:
            return not exchange.may_have_run or exchange.admitted.idempotent
        return exchange.admitted.idempotent

    def _replayable(self, head: messages.RequestHead) -> bool:
        if not head.has_body:
            return True
        return 0 <= head.body_length <= self._replay_bytes
