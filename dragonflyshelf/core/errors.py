"""Errors with codes, and the processing step and peer that raised them.

The registry ``ERRORS_BY_CODE`` is filled by ``error_code``. The table
of error codes in the operator documentation is generated from it.
"""

from collections import abc
from typing import ClassVar, TypeVar

from dragonflyshelf.core import states

E = TypeVar("E", bound="type[RouterError]")

ERRORS_BY_CODE: "dict[str, type[RouterError]]" = {}


def error_code(
    code: str, status: int, step: states.Step
) -> "abc.Callable[[E], E]":
    """Return a decorator that registers an error class under a code.

    ``status`` is the HTTP status of the response that reports the error.
    """

    def decorate(cls: E) -> E:
        if code in ERRORS_BY_CODE:
            raise ValueError(f"error code {code} is already registered")
        cls.code = code
        cls.status = status
        cls.default_step = step
        ERRORS_BY_CODE[code] = cls
        return cls

    return decorate


class RouterError(Exception):
    """Base class of all errors of the router."""

    code: ClassVar[str] = "DS000"
    status: ClassVar[int] = 500
    default_step: ClassVar[states.Step] = states.Step.DISPATCH

    def __init__(
        self,
        message: str,
        *,
        step: states.Step | None = None,
        peer: str = "",
        outcome: states.Outcome = states.Outcome.NOT_RUN,
        retry_after: float = 0.0,
    ) -> None:
        """Create an error; ``retry_after`` is in seconds, 0 to omit it."""
        super().__init__(message)
        self.message = message
        self.step = step or self.default_step
        self.peer = peer
        self.outcome = outcome
        self.retry_after = retry_after

    def __str__(self) -> str:
        """Return code, message, step and peer on one line."""
        peer = f" peer={self.peer}" if self.peer else ""
        return f"{self.code} {self.message} (step={self.step.value}{peer})"


@error_code("DS001", 500, states.Step.INVARIANT)
class InvariantViolated(RouterError):
    """An invariant was violated."""


@error_code("DS002", 500, states.Step.SETTINGS)
class DuplicateRegistration(RouterError):
    """A second implementation was registered under the same key."""


@error_code("DS003", 500, states.Step.SETTINGS)
class NotRegistered(RouterError):
    """No implementation is registered under the key."""


@error_code("DS004", 503, states.Step.ADMISSION)
class InboxFull(RouterError):
    """The message queue of a task is full."""


@error_code("DS100", 400, states.Step.PARSE)
class BadRequest(RouterError):
    """The request is not valid HTTP/1.1 or lacks a required part."""


@error_code("DS101", 401, states.Step.AUTHENTICATION)
class CallerKeyRefused(RouterError):
    """The caller key is missing, unknown or withdrawn."""


@error_code("DS102", 404, states.Step.ROUTE)
class ServiceNotFound(RouterError):
    """No service has the name given in the path."""


@error_code("DS103", 429, states.Step.LIMIT)
class RateExceeded(RouterError):
    """The workspace has exceeded its request rate and burst."""


@error_code("DS104", 503, states.Step.ROUTE)
class NoShardOwner(RouterError):
    """The shard of the key has no owner that currently holds a grant."""


@error_code("DS105", 503, states.Step.DISPATCH)
class NoUpstreamAvailable(RouterError):
    """No upstream of the service is available for the request."""


@error_code("DS106", 503, states.Step.ADMISSION)
class Overloaded(RouterError):
    """The request was shed before it was sent to an upstream."""


@error_code("DS107", 504, states.Step.DISPATCH)
class DeadlineExceeded(RouterError):
    """The deadline of the request passed."""


@error_code("DS108", 502, states.Step.RECEIVE)
class UpstreamFailed(RouterError):
    """The upstream or its connection failed after bytes were sent."""


@error_code("DS109", 502, states.Step.CONNECT)
class UpstreamUnreachable(RouterError):
    """No connection to the upstream could be opened."""


@error_code("DS112", 413, states.Step.PARSE)
class BodyTooLarge(RouterError):
    """The request body is larger than the limit."""


@error_code("DS116", 503, states.Step.RECEIVE)
class UpstreamDeclined(RouterError):
    """The upstream reported that it did not execute the request."""


@error_code("DS117", 502, states.Step.RECEIVE)
class UpstreamServerError(RouterError):
    """The upstream responded with a server error."""


@error_code("DS118", 503, states.Step.RECEIVE)
class ShardKeyNotHeld(RouterError):
    """The upstream does not hold the shard key or is not the expected one."""


@error_code("DS119", 502, states.Step.RECEIVE)
class RefusalUnconfirmed(RouterError):
    """The upstream refused, but did not say that it executed nothing."""


@error_code("DS120", 431, states.Step.PARSE)
class HeadTooLarge(RouterError):
    """The request head exceeds its size or header limit."""


@error_code("DS121", 408, states.Step.RECEIVE)
class RequestTimeout(RouterError):
    """The caller took too long to send its request."""


@error_code("DS122", 505, states.Step.PARSE)
class VersionNotSupported(RouterError):
    """The HTTP version of the request is not supported."""


@error_code("DS123", 400, states.Step.RECEIVE)
class CallerDisconnected(RouterError):
    """The caller disconnected before the response began."""


@error_code("DS124", 503, states.Step.ADMISSION)
class TooManyConnections(RouterError):
    """The instance has reached its connection limit."""


@error_code("DS114", 503, states.Step.AUTHENTICATION)
class StaleInstance(RouterError):
    """The configuration is too old to exclude that the key is withdrawn."""


@error_code("DS200", 503, states.Step.PLATFORM)
class PlatformUnavailable(RouterError):
    """The platform did not respond or its response was lost."""


@error_code("DS202", 410, states.Step.PLATFORM)
class WatchExpired(RouterError):
    """The watch revision has expired; objects must be listed again."""


@error_code("DS204", 500, states.Step.PLATFORM)
class InvalidObject(RouterError):
    """An object in the store cannot be decoded."""

    def __init__(
        self,
        message: str,
        *,
        version: str = "",
        place: str = "",
        value: str = "",
    ) -> None:
        """Create an error about a field; what is empty is not known."""
        super().__init__(message)
        self.version = version
        self.place = place
        self.value = value


@error_code("DS206", 400, states.Step.PLATFORM)
class RolloutRefused(InvalidObject):
    """The order of a roll-out can't be carried out; nothing was moved."""


@error_code("DS310", 500, states.Step.SETTINGS)
class BindFailed(RouterError):
    """A configured address could not be bound."""


@error_code("DS300", 400, states.Step.SETTINGS)
class InvalidSettings(RouterError):
    """The settings file is invalid."""


@error_code("DS400", 400, states.Step.COMMAND)
class InvalidStatement(RouterError):
    """The operator's statement is invalid."""

    def __init__(
        self,
        message: str,
        *,
        column: int = 0,
        expected: tuple[str, ...] = (),
    ) -> None:
        """Create an error; ``column`` counts from 1, 0 if unknown."""
        where = f" at column {column}" if column else ""
        hint = f"; expected {', '.join(expected)}" if expected else ""
        super().__init__(f"{message}{where}{hint}")
        self.column = column
        self.expected = expected
