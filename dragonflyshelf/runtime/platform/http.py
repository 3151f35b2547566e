"""Platform reached over HTTP + JSON."""

import asyncio
from collections import abc
import contextlib
import urllib.parse

import h11
import msgspec

from dragonflyshelf.codec import platform as codec
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.platform import store
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime.platform import kinds

STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_NOT_FOUND = 404
STATUS_OK = 200


class HttpPlatformClient:
    """Client with a connection of its own."""

    def __init__(self, config: settings.PlatformSettings) -> None:
        """Create a client that connects at its first call."""
        self._config = config
        self._peer = f"{config.host}:{config.port}"
        self._client = http_client.HttpClient(config.host, config.port)

    async def async_list(
        self, kinds_: frozenset[states.ObjectKind]
    ) -> tuple[ids.Version, tuple[store.StoredObject, ...]]:
        """Return the store version and all objects of these kinds."""
        target = f"{codec.PATH_OBJECTS}?kinds={_names(kinds_)}"
        answer = await self._async_call("GET", target)
        return self._listing(answer)

    async def async_get(
        self, kind: states.ObjectKind, name: ids.ObjectName
    ) -> store.StoredObject | None:
        """Return one object."""
        answer = await self._async_call("GET", _path(kind, name))
        if answer.status == STATUS_NOT_FOUND:
            return None
        self._check(answer)
        with self._decoding():
            return _stored(codec.decode_record(answer.body))

    async def async_put(
        self,
        kind: states.ObjectKind,
        name: ids.ObjectName,
        expected: ids.Version,
        write_id: ids.WriteId,
        value: object,
    ) -> ids.Version:
        """Change an object, or raise ``VersionConflict``."""
        call = codec.PutCall(expected=expected, write_id=write_id, value=value)
        answer = await self._async_call(
            "PUT", _path(kind, name), codec.encode(call)
        )
        if answer.status == STATUS_CONFLICT:
            raise errors.VersionConflict(
                f"{kind.value} {name} has another version", peer=self._peer
            )
        self._check(answer)
        with self._decoding():
            return codec.decode_put_answer(answer.body).version

    async def async_changes(
        self,
        kinds_: frozenset[states.ObjectKind],
        since: ids.Version,
        wait: float,
    ) -> tuple[ids.Version, tuple[store.StoredObject, ...]]:
        """Wait up to so many seconds for changes after a version."""
        target = (
            f"{codec.PATH_CHANGES}?kinds={_names(kinds_)}"
            f"&since={since}&wait={wait:g}"
        )
        answer = await self._async_call("GET", target, wait=wait)
        if answer.status == STATUS_GONE:
            raise errors.WatchLost("the watch lost its place")
        return self._listing(answer)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    async def _async_call(
        self, method: str, target: str, body: bytes = b"", wait: float = 0.0
    ) -> http_client.HttpAnswer:
        try:
            async with asyncio.timeout(self._config.call_timeout + wait):
                return await self._client.async_call(method, target, body)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            text = str(error) or type(error).__name__
            raise errors.PlatformUnavailable(
                text, peer=self._peer, outcome=states.Outcome.UNKNOWN
            ) from error

    def _check(self, answer: http_client.HttpAnswer) -> None:
        if answer.status == STATUS_OK:
            return
        raise errors.PlatformUnavailable(
            f"platform answered {answer.status}",
            peer=self._peer,
            outcome=states.Outcome.UNKNOWN,
        )

    def _listing(
        self, answer: http_client.HttpAnswer
    ) -> tuple[ids.Version, tuple[store.StoredObject, ...]]:
        self._check(answer)
        with self._decoding():
            listing = codec.decode_listing(answer.body)
        stored = tuple(_stored(one) for one in listing.objects)
        return listing.version, stored

    @contextlib.contextmanager
    def _decoding(self) -> abc.Iterator[None]:
        try:
            yield
        except msgspec.DecodeError as error:
            raise errors.PlatformUnavailable(
                f"platform's answer is not valid: {error}",
                peer=self._peer,
                outcome=states.Outcome.UNKNOWN,
            ) from error


def _path(kind: states.ObjectKind, name: ids.ObjectName) -> str:
    quoted = urllib.parse.quote(name, safe="")
    return f"{codec.PATH_OBJECTS}/{kind.value}/{quoted}"


def _names(kinds_: frozenset[states.ObjectKind]) -> str:
    return ",".join(sorted(one.value for one in kinds_))


def _stored(record: codec.StoredRecord) -> store.StoredObject:
    return store.StoredObject(
        kind=record.kind,
        name=record.name,
        version=record.version,
        write_ids=record.write_ids,
        value=record.value,
    )


@kinds.PLATFORM_KINDS.register(settings.PlatformKind.HTTP)
def create(config: settings.PlatformSettings) -> HttpPlatformClient:
    """Return a client of its own connection."""
    return HttpPlatformClient(config)
