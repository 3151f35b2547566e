"""Responses of an upstream that do not go to the origin of the request."""

import enum
from typing import Final

import h11

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import states
from dragonflyshelf.core.upstreams import state
from dragonflyshelf.runtime import messages as runtime_messages

MAX_BODY_BYTES: Final = 64 * 1024
"""Size from which the rest of a body is not read."""

MAX_CHUNK_COUNT: Final = 256
"""Chunks of a body after which the rest is not read.

Each one takes time to parse, however short it is.
"""

MIN_SERVER_ERROR_STATUS: Final = 500


class Reason(enum.Enum):
    """Why a response goes to the router instead of the origin."""

    SERVER_ERROR = "failure"
    NOT_HOLDER = "not_holder"
    DECLINED = "refusal"
    UNCONFIRMED_REFUSAL = "unconfirmed_refusal"


NOT_RUN_REASONS: Final = frozenset({Reason.DECLINED, Reason.NOT_HOLDER})
"""Responses with which the upstream says that nothing was executed."""

RESULT_BY_REASON: Final = {
    Reason.SERVER_ERROR: state.AttemptResult.FAILED,
    Reason.NOT_HOLDER: state.AttemptResult.NOT_HOLDER,
    Reason.DECLINED: state.AttemptResult.DECLINED,
    Reason.UNCONFIRMED_REFUSAL: state.AttemptResult.FAILED,
}


def find_reason(
    header_names: http.HeaderNames,
    response: h11.Response,
    withhold_server_errors: bool,
    is_idempotent: bool,
) -> Reason | None:
    """Return why a response is withheld, None if the origin gets it.

    To callers the status of a refusal promises that the request was not
    executed, so that they send it again. If it is not idempotent, they get
    no such status on behalf of an upstream that has not said so itself.
    """
    if http.is_not_run_response(header_names, response):
        if response.status_code == http.STATUS_MISDIRECTED:
            return Reason.NOT_HOLDER
        return Reason.DECLINED
    is_refusal = response.status_code in http.NOT_RUN_OUTCOME_STATUSES
    if is_refusal and not is_idempotent:
        return Reason.UNCONFIRMED_REFUSAL
    if response.status_code < MIN_SERVER_ERROR_STATUS:
        return None
    return Reason.SERVER_ERROR if withhold_server_errors else None


class WithheldResponse:
    """Response whose body is read, within limits.

    It is used only if it is a server error and the request is not retried.
    """

    def __init__(
        self,
        reason: Reason,
        status: int,
        head: messages.ResponseHead | None = None,
    ) -> None:
        """Create a response without a body."""
        self._reason = reason
        self._head = head
        self._chunks: list[bytes] = []
        self._status = status
        self._body_bytes = 0
        self._chunk_count = 0

    def add_chunk(self, data: bytes) -> None:
        """Count a chunk of the body."""
        self._body_bytes += len(data)
        self._chunk_count += 1
        if self._reason is Reason.SERVER_ERROR and not self.is_too_long:
            self._chunks.append(data)

    @property
    def is_too_long(self) -> bool:
        """Return whether the rest of the body should not be read."""
        return (
            self._body_bytes > MAX_BODY_BYTES
            or self._chunk_count > MAX_CHUNK_COUNT
        )

    @property
    def is_not_run(self) -> bool:
        """Return whether it states that the request was not executed."""
        return self._reason in NOT_RUN_REASONS

    @property
    def result(self) -> state.AttemptResult:
        """Return the outcome of the attempt."""
        return RESULT_BY_REASON[self._reason]

    def complete_parts(self) -> tuple[runtime_messages.ResponsePart, ...]:
        """Return the parts of a server error whose body has ended."""
        if self._reason is not Reason.SERVER_ERROR or self._head is None:
            return ()
        exchange = self._head.exchange
        chunks = tuple(
            messages.ResponseChunk(exchange=exchange, data=data)
            for data in self._chunks
        )
        return (self._head, *chunks, messages.ResponseEnd(exchange=exchange))

    def make_error(self, upstream_id: ids.UpstreamId) -> errors.RouterError:
        """Return the error with which the attempt ends."""
        text = f"upstream returned status {self._status}"
        if self._reason is Reason.SERVER_ERROR:
            outcome = states.Outcome.UNKNOWN
            return errors.UpstreamServerError(
                text, peer=upstream_id, outcome=outcome
            )
        if self._reason is Reason.UNCONFIRMED_REFUSAL:
            outcome = states.Outcome.UNKNOWN
            return errors.RefusalUnconfirmed(
                text, peer=upstream_id, outcome=outcome
            )
        if self._reason is Reason.NOT_HOLDER:
            return errors.ShardKeyNotHeld(text, peer=upstream_id)
        return errors.UpstreamDeclined(text, peer=upstream_id)
