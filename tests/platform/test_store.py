"""Tests of the client of the platform's store."""

import asyncio
from collections import abc
import contextlib

import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages
from dragonflyshelf.platform import objects
from dragonflyshelf.platform import store
from dragonflyshelf.runtime import http_server

HOST = "127.0.0.1"
NOW = ids.Instant(5.0)
KIND = messages.ObjectKind.REGISTRATION

GOOD_SPEC = (
    b'{"Service":"letters","Address":"10.0.0.9:8080","Zone":"a",'
    b'"Slots":6,"State":"ready","born":7}'
)
ODD_SPECS = {
    "brackets in text": b'{"a":"[[[{{{\\""}',
    "deep list": b'{"Service":"x","a":' + b"[" * 2000 + b"]" * 2000 + b"}",
    "deep table": b'{"a":' * 50000 + b"1" + b"}" * 50000,
    "forty digits": b'{"Slots":' + b"9" * 40 + b"}",
    "large exponent": b'{"WarmupLeftS":1e999}',
    "many digits": b'{"Slots":' + b"9" * 9000 + b"}",
    "not text": b'{"Service":"\xff"}',
    "null": b"null",
    "surrogate": b'{"Service":"\\ud800"}',
    "surrogate alone": b'"\\ud800"',
}


def encode_object(name: bytes, spec: bytes) -> bytes:
    """Return an object of the store, encoded."""
    return b'{"Metadata":{"Name":"%s","Revision":4},"Spec":%s}' % (name, spec)


@contextlib.asynccontextmanager
async def async_run_client(
    body: bytes,
) -> abc.AsyncIterator[store.StoreClient]:
    """Run a client of a store that gives one response to all calls."""

    async def async_handle(
        request: http_server.ServerRequest,
    ) -> http_server.ServerResponse:
        return http_server.ServerResponse(status=200, body=body)

    server = http_server.HttpServer(async_handle)
    await server.async_listen(HOST, 0)
    client = store.StoreClient(
        settings.StoreSettings(address=f"{HOST}:{server.port}")
    )
    try:
        yield client
    finally:
        client.close()
        server.close()


def find_valid_names(
    stored_objects: abc.Iterable[messages.Change],
) -> list[str]:
    """Return the names of the objects that are valid registrations."""
    names = []
    for stored in stored_objects:
        assert isinstance(stored, messages.StoredObject)
        with contextlib.suppress(errors.InvalidObject):
            names.append(str(objects.decode_registration(stored).id))
    return names


class TestOddEntries:
    """An entry that cannot be read does not affect the others."""

    @pytest.mark.parametrize("name", ODD_SPECS)
    def test_list(self, name: str) -> None:
        """The other entries of a list hold."""
        odd = encode_object(b"odd", ODD_SPECS[name])
        good = encode_object(b"good", GOOD_SPEC)
        first = encode_object(b"first", GOOD_SPEC)
        body = b'{"items":[%s,%s,%s],"StoreRevision":9}' % (first, odd, good)

        async def async_list() -> messages.KindListed:
            async with async_run_client(body) as client:
                return await client.async_list(KIND, NOW)

        listed = asyncio.run(async_list())
        assert listed.revision == 9
        assert find_valid_names(listed.objects) == ["first", "good"]

    @pytest.mark.parametrize("name", ODD_SPECS)
    def test_watch(self, name: str) -> None:
        """The other changes of a watch hold."""
        odd = encode_object(b"odd", ODD_SPECS[name])
        good = encode_object(b"good", GOOD_SPEC)
        body = b'{"events":[{"Object":%s},{"Object":%s}],"StoreRevision":9}'

        async def async_watch() -> messages.KindChanged:
            async with async_run_client(body % (odd, good)) as client:
                return await client.async_watch(
                    KIND, ids.Revision(3), 0.1, NOW
                )

        changed = asyncio.run(async_watch())
        assert changed.revision == 9
        assert find_valid_names(changed.changes) == ["good"]

    @pytest.mark.parametrize("name", ODD_SPECS)
    @pytest.mark.parametrize("field", ["Spec", "Status"])
    def test_former_value_is_replaced(self, field: str, name: str) -> None:
        """The object that became unreadable is still reported by name.

        Reported: after an odd status on its entry, an upstream that left was
        not noticed (DRAIN).
        """
        odd = encode_object(b"odd", GOOD_SPEC)
        if field == "Spec":
            odd = encode_object(b"odd", ODD_SPECS[name])
        else:
            odd = odd[:-1] + b',"Status":%s}' % ODD_SPECS[name]
        body = b'{"events":[{"Object":%s}],"StoreRevision":9}' % odd

        async def async_watch() -> messages.KindChanged:
            async with async_run_client(body) as client:
                return await client.async_watch(
                    KIND, ids.Revision(3), 0.1, NOW
                )

        changed = asyncio.run(async_watch())
        assert [change.name for change in changed.changes] == ["odd"]

    @pytest.mark.parametrize(
        "odd",
        [b"7", b"null", b"[]", b'{"Metadata":{}}', b'{"Metadata":{"Name":3}}'],
    )
    def test_no_object(self, odd: bytes) -> None:
        """What is no object is left out."""
        good = encode_object(b"good", GOOD_SPEC)
        body = b'{"items":[%s,%s],"StoreRevision":9}' % (odd, good)

        async def async_list() -> messages.KindListed:
            async with async_run_client(body) as client:
                return await client.async_list(KIND, NOW)

        listed = asyncio.run(async_list())
        assert find_valid_names(listed.objects) == ["good"]
