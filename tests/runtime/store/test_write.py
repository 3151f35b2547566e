"""Tests of the task that writes control objects to the store."""

import asyncio
import logging

import pytest

from dragonflyshelf.core.grantor import messages as grantor
from dragonflyshelf.core.grantor import objects
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import store as client
from dragonflyshelf.runtime import http_server
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime.store import write
from stand_ins import store as stand_in
from tests.runtime import deployment

LEASE = objects.Lease(
    holder=ids.InstanceId("i1"),
    incarnation=ids.Incarnation(1),
    host="127.0.0.1",
    port=7100,
    count=1,
)


class TestWriteWithoutResponse:
    """A write of which nothing is known afterwards."""

    async def async_write(self) -> grantor.ControlWriteCompleted:
        """Write to a store that nobody runs."""
        control_inbox = inbox.Inbox("control")
        config = settings.StoreSettings(
            address=f"{deployment.HOST}:{deployment.find_free_port()}"
        )
        write_task = write.StoreWriteTask(config, control_inbox)
        async with write_task.async_running(), asyncio.timeout(5):
            write_task.inbox.post(
                grantor.WriteControl(
                    name=ids.ObjectName("lease"),
                    expected_revision=ids.Revision(0),
                    value=LEASE,
                    timeout=0.5,
                )
            )
            await control_inbox.async_wait()
        completed: grantor.ControlWriteCompleted = control_inbox.pop()
        return completed

    def test_unknown_outcome(self, caplog: pytest.LogCaptureFixture) -> None:
        """The outcome is unknown, and a log line says why."""
        logger = logging.getLogger("absl")
        logger.addHandler(caplog.handler)
        try:
            completed = asyncio.run(self.async_write())
        finally:
            logger.removeHandler(caplog.handler)
        assert completed.outcome is store.WriteOutcome.UNKNOWN
        assert "writing control object lease failed" in caplog.text


class TestSlowWriteOfAPlan:
    """A leader lost its lease as the renewal waited for another write."""

    async def async_write_both(self) -> grantor.ControlWriteCompleted:
        """Write a plan, which gets no response, then renew the lease."""

        async def async_handle(
            request: http_server.ServerRequest,
        ) -> http_server.ServerResponse:
            if "shards" in request.body.decode():
                await asyncio.Event().wait()
            return http_server.ServerResponse(status=503)

        server = http_server.HttpServer(async_handle)
        await server.async_listen(deployment.HOST, 0)
        control_inbox = inbox.Inbox("control")
        config = settings.StoreSettings(
            address=f"{deployment.HOST}:{server.port}"
        )
        write_task = write.StoreWriteTask(config, control_inbox)
        async with write_task.async_running(), asyncio.timeout(5):
            for name in ("shards-letters", "lease"):
                write_task.inbox.post(
                    grantor.WriteControl(
                        name=ids.ObjectName(name),
                        expected_revision=ids.Revision(0),
                        value=LEASE,
                        timeout=3.0,
                    )
                )
            await control_inbox.async_wait()
        server.close()
        completed: grantor.ControlWriteCompleted = control_inbox.pop()
        return completed

    def test_renewal_does_not_wait(self) -> None:
        """The lease is written while the plan gets no response."""
        completed = asyncio.run(self.async_write_both())
        assert completed.write.name == "lease"
        assert completed.outcome is store.WriteOutcome.FAILED


class TestLostResponseToACreation:
    """The object was created, but the response was lost.

    Reported: the creation of a plan was repeated for ever, as the conflict
    does not contain the object, and its service had no holders.
    """

    PLAN = objects.ShardPlan(
        service=ids.ServiceName("letters"), assignments=()
    )
    NAME = ids.ObjectName("shards-letters")

    async def async_write_again(self) -> grantor.ControlWriteCompleted:
        """Create a plan twice; return how the second write ended."""
        control_inbox = inbox.Inbox("control")
        async with stand_in.async_run_store() as server:
            config = settings.StoreSettings(
                address=f"{deployment.HOST}:{server.port}"
            )
            creation = grantor.WriteControl(
                name=self.NAME,
                expected_revision=ids.Revision(0),
                value=self.PLAN,
                timeout=0.5,
            )
            write_task = write.StoreWriteTask(config, control_inbox)
            async with write_task.async_running(), asyncio.timeout(5):
                server.injection.fault = stand_in.Fault.LOSE_RESPONSES
                write_task.inbox.post(creation)
                await control_inbox.async_wait()
                lost = control_inbox.pop()
                assert lost.outcome is store.WriteOutcome.UNKNOWN
                server.injection.fault = stand_in.Fault.NONE
                write_task.inbox.post(creation)
                await control_inbox.async_wait()
        completed: grantor.ControlWriteCompleted = control_inbox.pop()
        return completed

    def test_object_is_read(self) -> None:
        """The conflict comes with the object as it is in the store."""
        completed = asyncio.run(self.async_write_again())
        assert completed.outcome is store.WriteOutcome.CONFLICT
        assert completed.current is not None
        assert completed.current.name == self.NAME
        assert completed.current.value == self.PLAN
        assert completed.current.revision > 0


class TestUnexpectedError:
    """A write fails in a way that no code expects."""

    def test_next_write(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Its outcome is unknown, and those after it are done."""
        async_write = client.StoreClient.async_write
        responses = iter([ValueError("unexpected")])

        async def async_fail_once(
            store_client: client.StoreClient,
            written: grantor.WriteControl,
            sent_at: ids.Instant,
        ) -> grantor.ControlWriteCompleted:
            for error in responses:
                raise error
            return await async_write(store_client, written, sent_at)

        monkeypatch.setattr(client.StoreClient, "async_write", async_fail_once)

        async def async_write_twice() -> list[store.WriteOutcome]:
            control_inbox = inbox.Inbox("control")
            outcomes = []
            async with stand_in.async_run_store() as server:
                config = settings.StoreSettings(
                    address=f"{deployment.HOST}:{server.port}"
                )
                write_task = write.StoreWriteTask(config, control_inbox)
                async with write_task.async_running(), asyncio.timeout(5):
                    for _ in range(2):
                        write_task.inbox.post(
                            grantor.WriteControl(
                                name=ids.ObjectName("lease"),
                                expected_revision=ids.Revision(0),
                                value=LEASE,
                                timeout=0.5,
                            )
                        )
                        await control_inbox.async_wait()
                        outcomes.append(control_inbox.pop().outcome)
            return outcomes

        assert asyncio.run(async_write_twice()) == [
            store.WriteOutcome.UNKNOWN,
            store.WriteOutcome.DONE,
        ]
