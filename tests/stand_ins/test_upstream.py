"""Tests of the stand-in of an upstream."""

import json

from dragonflyshelf.runtime import http_server
from stand_ins import upstream


class TestGrants:
    """Key ranges are granted, split and released by fencing token."""

    def make_server(self) -> upstream.UpstreamServer:
        """Return an upstream that holds the first four buckets."""
        server = upstream.UpstreamServer("u1", "archive", sharded=True)
        assert self.call(server, "grant", 0, 255, 4) == 200
        return server

    def call(
        self,
        server: upstream.UpstreamServer,
        operation: str,
        first: int,
        last: int,
        fence: int,
    ) -> int:
        """Grant or release a key range; return the status."""
        body = {"From": first, "Target": last, "fence": fence, "HoldS": 5}
        handler = server._grant if operation == "grant" else server._release
        return handler(json.loads(json.dumps(body))).status

    def held_keys(self, server: upstream.UpstreamServer) -> list[int]:
        """Return the first keys of the buckets that are held."""
        return [
            key
            for key in range(0, 256, upstream.BUCKET_KEY_COUNT)
            if server._holds_key(make_request(key))
        ]

    def test_subrange_is_granted_again(self) -> None:
        """A grant of a subrange does not affect the rest."""
        server = self.make_server()
        assert self.call(server, "grant", 64, 127, 6) == 200
        assert self.held_keys(server) == [0, 64, 128, 192]
        assert self.call(server, "grant", 64, 127, 4) == 409
        assert self.call(server, "grant", 128, 255, 4) == 200

    def test_subrange_is_released(self) -> None:
        """A released subrange rejects grants with an older fence."""
        server = self.make_server()
        assert self.call(server, "release", 64, 127, 5) == 200
        assert self.held_keys(server) == [0, 128, 192]
        assert self.call(server, "grant", 0, 255, 4) == 409


def make_request(key: int) -> http_server.ServerRequest:
    """Return a request for a key."""
    return http_server.ServerRequest(
        method="GET",
        path="/old/1",
        query="",
        headers={"shard-key": str(key)},
        body=b"",
    )
