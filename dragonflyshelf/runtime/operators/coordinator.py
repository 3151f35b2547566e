"""The operators' listener: health, metrics, queries and commands."""

from collections import abc
import itertools
import json
from typing import Final
import urllib.parse

import prometheus_client

from dragonflyshelf.codec import operators as codec
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.language import parser
from dragonflyshelf.core.language import statements
from dragonflyshelf.core.platform import messages as platform
from dragonflyshelf.core import registry
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import http_server
from dragonflyshelf.runtime.operators import access
from dragonflyshelf.runtime.operators import in_force
from dragonflyshelf.runtime.operators import runners
from dragonflyshelf.runtime.operators import session
from dragonflyshelf.runtime import tables  # noqa: F401

Route = abc.Callable[
    ["OperatorsListener", http_server.ServerRequest],
    abc.Awaitable[http_server.ServerAnswer],
]

STATUS_OK = 200

ROUTES: Final[registry.Registry[str, Route]] = registry.Registry(
    "operators' routes"
)


class OperatorsListener:
    """Answers operators and their tools."""

    def __init__(
        self,
        is_ready: abc.Callable[[], bool],
        config: settings.Settings,
        incarnation: ids.Incarnation,
    ) -> None:
        """Create the listener; ``inboxes`` is set once tasks exist."""
        self._is_ready = is_ready
        self._config = config
        self._incarnation = incarnation
        self._writes = itertools.count(1)
        self.inboxes: session.Inboxes | None = None
        self._server = http_server.HttpServer(self._async_handle)

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._server.port

    async def async_listen(self, host: str, port: int) -> None:
        """Bind the address and start to accept."""
        await self._server.async_listen(host, port)

    def close(self) -> None:
        """Stop accepting."""
        self._server.close()

    async def _async_handle(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        name = f"{request.method} {request.path}"
        if name not in ROUTES:
            return _json(404, {"message": "no such page"})
        return await ROUTES.get(name)(self, request)

    @ROUTES.register("GET /healthz")
    async def _async_health(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        return _json(200, {"healthy": True})

    @ROUTES.register("GET /readyz")
    async def _async_ready(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        ready = self._is_ready()
        return _json(200 if ready else 503, {"ready": ready})

    @ROUTES.register("GET /metrics")
    async def _async_metrics(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        return http_server.ServerAnswer(
            status=200,
            body=prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    @ROUTES.register("POST /query")
    async def _async_query(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        return await self._async_statement(request, access.Role.READ)

    @ROUTES.register("POST /command")
    async def _async_command(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        return await self._async_statement(request, access.Role.CHANGE)

    @ROUTES.register("POST /in_force")
    async def _async_in_force(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerAnswer:
        try:
            asker = self._session(request, access.Role.READ)
            answer = await _async_in_force_here(asker, request.body)
        except errors.RouterError as error:
            answer = codec.of_error(error)
        return _answer(answer, codec.FORMAT_JSON)

    async def _async_statement(
        self, request: http_server.ServerRequest, role: access.Role
    ) -> http_server.ServerAnswer:
        query = dict(urllib.parse.parse_qsl(request.query))
        try:
            asker = self._session(request, role)
            statement = parser.parse(request.body.decode("utf-8", "replace"))
            _check_path(statement, role)
            answer = await runners.async_run(asker, statement)
        except TimeoutError:
            error = errors.Overloaded("a task of the instance did not answer")
            answer = codec.of_error(error)
        except errors.RouterError as error:
            answer = codec.of_error(error)
        return _answer(answer, query.get("format", codec.FORMAT_JSON))

    def _session(
        self, request: http_server.ServerRequest, role: access.Role
    ) -> session.Session:
        if self.inboxes is None:
            raise errors.Overloaded("the instance is starting")
        operator = access.authenticate(self._config, request.headers)
        operator.require(role)
        return session.Session(
            config=self._config,
            inboxes=self.inboxes,
            operator=operator,
            next_write_id=self._next_write_id,
        )

    def _next_write_id(self) -> ids.WriteId:
        name = self._config.instance.name
        number = next(self._writes)
        return ids.WriteId(f"{name}-{self._incarnation}-o{number}")


def _check_path(statement: statements.Statement, role: access.Role) -> None:
    is_command = isinstance(statement, statements.COMMAND_TYPES)
    if is_command is (role is access.Role.CHANGE):
        return
    word = "command" if is_command else "query"
    raise errors.BadStatement(
        f"this is a {word}; send it to /{word}", column=1, expected=(word,)
    )


async def _async_in_force_here(
    asker: session.Session, body: bytes
) -> codec.Answer:
    try:
        call = codec.decode_in_force(body)
        kind = states.ObjectKind(call.kind)
    except (codec.MalformedError, ValueError) as error:
        raise errors.BadStatement(f"call is not valid: {error}") from error
    key = platform.ObjectKey(kind=kind, name=ids.ObjectName(call.name))
    try:
        version = await in_force.async_local(
            asker.inboxes, key, call.version, call.timeout
        )
    except TimeoutError as error:
        raise errors.NotInForce("not in force yet") from error
    return codec.QueryAnswer(columns=("version",), rows=((version,),))


def _answer(answer: codec.Answer, form: str) -> http_server.ServerAnswer:
    status = STATUS_OK
    if isinstance(answer, codec.ErrorAnswer):
        status = errors.ERRORS_BY_CODE[answer.code].status
    if form == codec.FORMAT_TABLE:
        return http_server.ServerAnswer(
            status=status,
            body=codec.text(answer).encode(),
            content_type=codec.CONTENT_TEXT,
        )
    return http_server.ServerAnswer(status=status, body=codec.encode(answer))


def _json(status: int, value: object) -> http_server.ServerAnswer:
    return http_server.ServerAnswer(
        status=status, body=json.dumps(value).encode()
    )
