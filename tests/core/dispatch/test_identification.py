"""Tests of the way from a request to its workspace and shard."""

import pytest

from dragonflyshelf.core.configuration import view
from dragonflyshelf.core.dispatch import identification
from dragonflyshelf.core.dispatch import messages as dispatch
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import messages
from dragonflyshelf.core import states

EVENT = dispatch.RequestArrived(
    exchange=ids.ExchangeId(1),
    head=messages.RequestHead(
        request_id=ids.RequestId("r"),
        method=b"GET",
        target=b"/letters/k",
        headers=(),
        key_digest=ids.KeyDigest(""),
        deadline=ids.Instant(1.0),
    ),
)


class TestNotReadYet:
    """An instance that has just started knows nothing."""

    def test_no_claim_about_services(self) -> None:
        """It does not say that a service does not exist."""
        with pytest.raises(errors.StaleInstance) as caught:
            identification.identify(view.RoutingView(), EVENT)
        assert caught.value.status == 503
        assert caught.value.outcome is states.Outcome.NOT_RUN

    def test_unknown_service(self) -> None:
        """One that has read the configuration does."""
        routing = view.RoutingView()
        routing.version = ids.Version(1)
        with pytest.raises(errors.NoSuchService):
            identification.identify(routing, EVENT)
