"""Tests of the client of the platform's store."""

import asyncio
from collections import abc
import contextlib
import urllib.parse

import msgspec
import pytest

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages
from dragonflyshelf.platform import objects
from dragonflyshelf.platform import store
from dragonflyshelf.runtime import http_server

HOST = "127.0.0.1"
TIMEOUT_SECONDS = 5.0
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


NAMELESS = [
    b"7",
    b"null",
    b"[]",
    b'{"Metadata":7}',
    b'{"Metadata":{}}',
    b'{"Metadata":{"Name":3,"Revision":4}}',
    b'{"Metadata":{"Name":"\\ud800","Revision":4}}',
    b'{"Metadata":' + b"[" * 2000 + b"]" * 2000 + b"}",
]
"""Items of a page that say no name."""


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

    async with async_run_client_of(async_handle) as client:
        yield client


@contextlib.asynccontextmanager
async def async_run_client_of(
    async_handle: http_server.Handler,
) -> abc.AsyncIterator[store.StoreClient]:
    """Run a client of a store whose calls are handled by a function."""
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

    @pytest.mark.parametrize("odd", [*NAMELESS, b'{"Metadata":{"Name":3}}'])
    def test_no_object(self, odd: bytes) -> None:
        """What is no object is left out."""
        good = encode_object(b"good", GOOD_SPEC)
        body = b'{"items":[%s,%s],"StoreRevision":9}' % (odd, good)

        async def async_list() -> messages.KindListed:
            async with async_run_client(body) as client:
                return await client.async_list(KIND, NOW)

        listed = asyncio.run(async_list())
        assert find_valid_names(listed.objects) == ["good"]


class PagedStore:
    """Store that lists encoded entries in pages, ordered by name."""

    def __init__(
        self,
        entries_by_name: abc.Mapping[str, bytes],
        page_entry_count: int = 1,
    ) -> None:
        """Create a store whose pages have some entries each."""
        self._entries_by_name = dict(sorted(entries_by_name.items()))
        self._page_entry_count = page_entry_count
        self.call_count = 0

    async def async_handle(
        self, request: http_server.ServerRequest
    ) -> http_server.ServerResponse:
        """Return the page after the name in the query."""
        self.call_count += 1
        after = dict(urllib.parse.parse_qsl(request.query)).get("after", "")
        remaining = [
            entry
            for name, entry in self._entries_by_name.items()
            if name > after
        ]
        items = b",".join(remaining[: self._page_entry_count])
        has_more = len(remaining) > self._page_entry_count
        more = b"true" if has_more else b"false"
        body = b'{"items":[%s],"More":%s,"StoreRevision":9}' % (items, more)
        return http_server.ServerResponse(status=200, body=body)

    async def async_list(self) -> messages.KindListed:
        """Return what a client of this store lists."""
        async with (
            asyncio.timeout(TIMEOUT_SECONDS),
            async_run_client_of(self.async_handle) as client,
        ):
            return await client.async_list(KIND, NOW)


class TestPages:
    """A list ends where the store says so, whatever is in its pages."""

    @pytest.mark.parametrize("position", ["first", "middle", "last"])
    @pytest.mark.parametrize("page_entry_count", [1, 2, 3])
    @pytest.mark.parametrize("name", ODD_SPECS)
    def test_odd_entries(
        self, name: str, page_entry_count: int, position: str
    ) -> None:
        """Pages after one in which all, the first or the last are odd.

        Reported: two long odd entries filled a page, and after a restart no
        upstream of any service was known (RECOVER).
        """
        prefix = {"first": "a", "middle": "m", "last": "z"}[position]
        odd_names = [f"{prefix}{number}" for number in range(2)]
        entries_by_name = {
            odd: encode_object(odd.encode(), ODD_SPECS[name])
            for odd in odd_names
        }
        for good in ("d", "e", "p", "q"):
            entries_by_name[good] = encode_object(good.encode(), GOOD_SPEC)
        listing = PagedStore(entries_by_name, page_entry_count)
        listed = asyncio.run(listing.async_list())
        assert listed.revision == 9
        assert find_valid_names(listed.objects) == ["d", "e", "p", "q"]

    @pytest.mark.parametrize(
        "name",
        ["a copy 1", "a&b=c", "a#b", "a%20b", "a+b", "é€", 'a"b', "a\n"],
    )
    def test_odd_names(self, name: str) -> None:
        """A name that means something else in a query is escaped."""
        encoded_name = msgspec.json.encode(name)[1:-1]
        entries_by_name = {
            name: encode_object(encoded_name, GOOD_SPEC),
            "ö": encode_object("ö".encode(), GOOD_SPEC),
            "A": encode_object(b"A", GOOD_SPEC),
        }
        listed = asyncio.run(PagedStore(entries_by_name).async_list())
        names = [stored.name for stored in listed.objects]
        assert sorted(names) == sorted(entries_by_name)

    @pytest.mark.parametrize("odd", NAMELESS)
    @pytest.mark.parametrize("page_entry_count", [2, 3])
    def test_nameless_entries(self, odd: bytes, page_entry_count: int) -> None:
        """The page is left by the name of another of its entries."""
        entries_by_name = {"c": odd, "f": odd}
        for good in ("a", "b", "d", "e", "g"):
            entries_by_name[good] = encode_object(good.encode(), GOOD_SPEC)
        listing = PagedStore(entries_by_name, page_entry_count)
        listed = asyncio.run(listing.async_list())
        assert find_valid_names(listed.objects) == ["a", "b", "d", "e", "g"]

    @pytest.mark.parametrize("odd", NAMELESS)
    def test_no_progress(self, odd: bytes) -> None:
        """A page that can't be left is an error, not the end of the list."""
        entries_by_name = {
            "a": encode_object(b"a", GOOD_SPEC),
            "b": odd,
            "c": encode_object(b"c", GOOD_SPEC),
        }
        listing = PagedStore(entries_by_name)
        with pytest.raises(errors.PlatformUnavailable):
            asyncio.run(listing.async_list())
        assert listing.call_count <= len(entries_by_name)

    @pytest.mark.parametrize(
        "body",
        [
            b'{"items":[],"More":true,"StoreRevision":9}',
            b'{"items":[],"More":false}',
            b'{"items":[],"More":1,"StoreRevision":9}',
            b'{"items":[],"StoreRevision":-1}',
            b'{"items":7,"StoreRevision":9}',
            b"[]",
            b"",
            b"{",
        ],
    )
    def test_odd_page(self, body: bytes) -> None:
        """An empty page that has more, or a list without a revision."""

        async def async_list() -> None:
            async with async_run_client(body) as client:
                await client.async_list(KIND, NOW)

        with pytest.raises(errors.PlatformUnavailable):
            asyncio.run(async_list())
