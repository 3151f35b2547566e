"""Client of the operators' listener, for the command line and tools."""

from collections import abc
import contextlib

from dragonflyshelf.codec import operators as codec
from dragonflyshelf.core.language import parser
from dragonflyshelf.core.language import statements
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime.operators import access

PATH_COMMAND = "/command"
PATH_QUERY = "/query"
STATUS_OK = 200


class StatementFailed(Exception):
    """The instance has answered a statement with an error."""

    def __init__(self, answer: codec.ErrorAnswer) -> None:
        """Create the error."""
        super().__init__(codec.text(answer).rstrip())
        self.answer = answer


class OperatorClient:
    """Sends statements to one instance, one at a time."""

    def __init__(self, http: http_client.HttpClient, token: str) -> None:
        """Create the client; the token may be empty."""
        self._http = http
        self._headers: tuple[tuple[str, str], ...] = ()
        if token:
            self._headers = (
                (access.HEADER_TOKEN, f"{access.TOKEN_SCHEME}{token}"),
            )

    async def async_run(self, text: str) -> codec.Answer:
        """Send a statement where it belongs, and return its answer.

        Raises ``BadStatement`` before anything is sent, and
        ``StatementFailed`` for the instance's error.
        """
        statement = parser.parse(text)
        if isinstance(statement, statements.COMMAND_TYPES):
            return await self.async_command(text)
        return await self.async_query(text)

    async def async_command(self, text: str) -> codec.CommandAnswer:
        """Send a command and return its answer, or raise."""
        body = await self._async_call(PATH_COMMAND, text)
        return codec.decode_command(body)

    async def async_query(self, text: str) -> codec.Answer:
        """Send a query and return its answer, or raise."""
        body = await self._async_call(PATH_QUERY, text)
        if isinstance(parser.parse(text), statements.DryRun):
            return codec.decode_command(body)
        return codec.decode_query(body)

    async def _async_call(self, path: str, text: str) -> bytes:
        answer = await self._http.async_call(
            "POST", path, text.encode(), self._headers
        )
        if answer.status != STATUS_OK:
            raise StatementFailed(codec.decode_error(answer.body))
        return answer.body


@contextlib.asynccontextmanager
async def async_open(
    host: str, port: int, token: str = ""
) -> abc.AsyncIterator[OperatorClient]:
    """Own a client for the length of a ``with`` block."""
    async with http_client.async_open(host, port) as http:
        yield OperatorClient(http, token)
