"""Task that sends grants to upstreams."""

import asyncio

import h11
import msgspec

from dragonflyshelf.codec import grants as codec
from dragonflyshelf.core import ids
from dragonflyshelf.core.ownership import messages
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import task

STATUS_OK = 200


class GrantsTask(task.Task):
    """Owns one control connection to each led upstream."""

    def __init__(
        self, config: settings.Settings, control: inbox.Inbox
    ) -> None:
        """Create the task without connections."""
        super().__init__("grants")
        self._config = config
        self._control = control
        self._clients_by_upstream: dict[
            ids.UpstreamId, http_client.HttpClient
        ] = {}
        self._running_by_upstream: dict[ids.UpstreamId, asyncio.Task[None]] = (
            {}
        )

    @task.handles(messages.SendGrant)
    def _on_send(self, message: messages.SendGrant) -> None:
        if message.upstream in self._running_by_upstream:
            return
        running = asyncio.create_task(self._async_send(message))
        self._running_by_upstream[message.upstream] = running
        running.add_done_callback(
            lambda _: self._running_by_upstream.pop(message.upstream, None)
        )

    def on_end(self) -> None:
        """Close all connections."""
        for running in self._running_by_upstream.values():
            running.cancel()
        for client in self._clients_by_upstream.values():
            client.close()

    async def _async_send(self, grant: messages.SendGrant) -> None:
        client = self._clients_by_upstream.setdefault(
            grant.upstream, http_client.HttpClient(grant.host, grant.port)
        )
        sent_at = self.now
        body = codec.encode_grant(grant, self._config.instance.name)
        try:
            async with asyncio.timeout(grant.ttl):
                answer = await client.async_call(
                    "POST", codec.PATH_GRANTS, body
                )
            answered = codec.decode_answer(answer.body)
        except (
            OSError,
            TimeoutError,
            h11.ProtocolError,
            msgspec.DecodeError,
        ) as error:
            text = str(error) or type(error).__name__
            self._report(grant, sent_at, False, None, text)
            return
        accepted = answer.status == STATUS_OK
        self._report(grant, sent_at, accepted, answered, "")

    def _report(
        self,
        grant: messages.SendGrant,
        sent_at: ids.Instant,
        accepted: bool,
        answered: codec.GrantAnswer | None,
        error: str,
    ) -> None:
        start_id = answered.start_id if answered else ids.StartId("")
        term = answered.term if answered else ids.Term(0)
        self._control.post(
            messages.GrantAnswered(
                upstream=grant.upstream,
                accepted=accepted,
                start_id=start_id,
                term=term,
                sent_at=sent_at,
                error=error,
            )
        )
