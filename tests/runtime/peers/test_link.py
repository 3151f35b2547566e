"""Tests of the frames of one link between instances."""

from typing import Any

import pytest

from dragonflyshelf.codec import peer as codec
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core.peers import messages as peers
from dragonflyshelf.core import settings
from dragonflyshelf.core import states
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime.peers import link
from dragonflyshelf.runtime import sockets

EXCHANGE = ids.ExchangeId(7)
STREAM = ids.ExchangeId(1)

OPEN = peers.Open(
    exchange=STREAM,
    request_id=ids.RequestId("r"),
    method=b"POST",
    target=b"/s/k",
    headers=(),
    remaining_ms=1000,
    has_body=True,
    body_length=3,
    admitted=messages.Admitted(
        service=ids.ServiceName("s"),
        workspace=ids.WorkspaceId("w"),
        priority=states.Priority.URGENT,
        idempotent=False,
    ),
)


def drain(box: inbox.Inbox) -> list[Any]:
    """Return all messages of an inbox."""
    return [box.pop() for _ in range(len(box))]


@pytest.fixture
def accepted(monkeypatch: pytest.MonkeyPatch) -> link.PeerLinkTask:
    """Return a link that another instance has dialled."""
    config = settings.Settings(
        instance=settings.InstanceSettings(
            name=ids.InstanceId("a"), data_centre=ids.DataCentreId("d")
        )
    )
    created = link.PeerLinkTask(
        config,
        ids.Incarnation(1),
        inbox.Inbox("router"),
        inbox.Inbox("peers"),
        lambda: EXCHANGE,
        dialled=False,
    )
    monkeypatch.setattr(link.PeerLinkTask, "now", ids.Instant(0.0))
    return created


class TestEarlyBody:
    """Parts of the body may come before an upstream is attached."""

    def test_kept_until_attached(self, accepted: link.PeerLinkTask) -> None:
        """They reach the upstream's side whole and in order."""
        parts = (
            messages.BodyChunk(exchange=STREAM, data=b"abc"),
            messages.BodyEnd(exchange=STREAM),
        )
        data = b"".join(codec.encode(one) for one in (OPEN, *parts))
        target = inbox.Inbox("target")
        accepted._on_data(sockets.DataReceived(data=data))
        accepted._on_attached(
            runtime_messages.Attached(exchange=EXCHANGE, target=target)
        )
        assert drain(target) == [
            messages.BodyChunk(exchange=EXCHANGE, data=b"abc"),
            messages.BodyEnd(exchange=EXCHANGE),
        ]
