"""What a caller connection holds, and how it moves."""

from collections import abc

from dragonflyshelf.core.memory import messages as memory_messages
from dragonflyshelf.runtime.callers import channel
from dragonflyshelf.runtime.callers import exchange
from dragonflyshelf.runtime import memory


class FlowMeter:
    """Measures the memory of a connection and reports it to the account.

    Only the connection task that owns channel and exchanges uses it.
    """

    def __init__(
        self,
        caller_channel: channel.CallerChannel,
        exchanges: abc.Collection[exchange.CallerExchange],
        reporter: memory.UsageReporter,
        share_bytes: int,
    ) -> None:
        """Create the meter; over ``share_bytes`` the caller has to wait."""
        self._channel = caller_channel
        self._exchanges = exchanges
        self._reporter = reporter
        self._share_bytes = share_bytes
        self._forwarded_bytes = 0
        self._marked_sent_bytes = 0

    def open(self) -> None:
        """Report that the connection is open."""
        self._reporter.open()

    def end(self) -> None:
        """Report that the connection is closed."""
        self._reporter.end()

    def add_forwarded(self, size: int) -> None:
        """Count bytes of a request body that an upstream has taken."""
        self._forwarded_bytes += size

    @property
    def held_bytes(self) -> int:
        """Return the memory that is held for the connection."""
        return (
            self._channel.unparsed_bytes
            + self._channel.unsent_bytes
            + sum(
                caller_exchange.held_bytes
                for caller_exchange in self._exchanges
            )
        )

    @property
    def is_over_share(self) -> bool:
        """Return whether the connection holds more than its share."""
        return self.held_bytes > self._share_bytes

    def report(self) -> None:
        """Report what is held, if that has changed enough."""
        self._reporter.report(self.held_bytes, self._find_moved_bytes())

    def has_freed(self, release: memory_messages.Release) -> bool:
        """Return whether much less is held by now, and report it if so."""
        held_bytes = self.held_bytes
        if held_bytes >= release.held_bytes / 2:
            return False
        self._reporter.report_now(held_bytes, self._find_moved_bytes())
        return True

    def mark_sent(self) -> None:
        """Remember how much the caller has taken until now."""
        self._marked_sent_bytes = self._channel.sent_bytes

    def has_sent(self) -> bool:
        """Return whether the caller has taken more since the mark."""
        return self._channel.sent_bytes != self._marked_sent_bytes

    def _find_moved_bytes(self) -> int:
        return self._channel.sent_bytes + self._forwarded_bytes
