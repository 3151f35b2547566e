"""Writing of responses to the channel of a caller."""

import h11

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import messages
from dragonflyshelf.runtime.callers import channel
from dragonflyshelf.runtime.callers import exchange
from dragonflyshelf.runtime import inbox


class ResponseWriter:
    """Writes the response of the first exchange, part by part.

    Only the connection task that owns the channel uses it.
    """

    def __init__(
        self, caller_channel: channel.CallerChannel, owner: inbox.Inbox
    ) -> None:
        """Create the writer; ``owner`` is the inbox of the connection."""
        self._channel = caller_channel
        self._owner = owner

    def write_continue(self, caller_exchange: exchange.CallerExchange) -> None:
        """Tell the caller to send the body that it announced."""
        event = h11.InformationalResponse(status_code=100, headers=[])
        self._write(caller_exchange, event)

    def write_head(
        self,
        caller_exchange: exchange.CallerExchange,
        message: messages.ResponseHead,
        close: bool,
    ) -> None:
        """Write the head of an upstream's response.

        With ``close``, the caller is told that the connection will be
        closed.
        """
        caller_exchange.response_started = True
        caller_exchange.status = message.status
        headers = [(header.name, header.value) for header in message.headers]
        if close:
            headers.append((b"connection", b"close"))
        response = h11.Response(
            status_code=message.status, headers=headers, reason=message.reason
        )
        self._write(caller_exchange, response)

    def write_chunk(
        self,
        caller_exchange: exchange.CallerExchange,
        message: messages.ResponseChunk,
    ) -> None:
        """Write a chunk of the body and return its credit if possible."""
        self._write(caller_exchange, h11.Data(data=message.data))
        caller_exchange.pending_credit += len(message.data)
        self.return_credit(caller_exchange)

    def write_end(self, caller_exchange: exchange.CallerExchange) -> None:
        """Complete the response."""
        self._write(caller_exchange, h11.EndOfMessage())
        caller_exchange.response_complete = True

    def write_refusal(
        self,
        caller_exchange: exchange.CallerExchange,
        error: errors.RouterError,
        close: bool,
    ) -> None:
        """Write the complete response that reports an error."""
        caller_exchange.error_code = error.code
        caller_exchange.status = http.error_status(error)
        body = http.error_body(error, caller_exchange.request_id)
        self._write(
            caller_exchange, http.error_response(error, len(body), close)
        )
        if caller_exchange.method != http.METHOD_HEAD:
            self._write(caller_exchange, h11.Data(data=body))
        self.write_end(caller_exchange)

    def return_credit(self, caller_exchange: exchange.CallerExchange) -> None:
        """Return the pending credit unless the write buffer is full."""
        if (
            self._channel.is_write_buffer_full
            or caller_exchange.pending_credit == 0
        ):
            return
        if caller_exchange.target is not None:
            caller_exchange.target.post(
                messages.Credit(
                    exchange=caller_exchange.id,
                    size=caller_exchange.pending_credit,
                )
            )
        caller_exchange.pending_credit = 0

    def _write(
        self, caller_exchange: exchange.CallerExchange, event: h11.Event
    ) -> None:
        self._channel.send(caller_exchange.http, event)
        if not self._owner:
            self._channel.flush()
