"""Task that sends grants to upstreams."""

import asyncio

from absl import logging
import h11
import msgspec

from dragonflyshelf.codec import grants as codec
from dragonflyshelf.core import ids
from dragonflyshelf.core.ownership import messages
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import http_client
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import task

_LOGGER = logging.get_absl_logger()

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
        self._releasing: set[asyncio.Task[None]] = set()

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
        for running in (
            *self._running_by_upstream.values(),
            *self._releasing,
        ):
            running.cancel()
        for client in self._clients_by_upstream.values():
            client.close()

    @task.handles(messages.SendRelease)
    def _on_release(self, message: messages.SendRelease) -> None:
        running = asyncio.create_task(self._async_release(message))
        self._releasing.add(running)
        running.add_done_callback(self._releasing.discard)

    async def _async_release(self, release: messages.SendRelease) -> None:
        body = codec.encode_release(release, self._config.instance.name)
        accepted = False
        try:
            async with asyncio.timeout(self._config.ownership.grant_ttl):
                async with http_client.async_open(
                    release.host, release.port
                ) as client:
                    answer = await client.async_call(
                        "POST", codec.PATH_RELEASE, body
                    )
            accepted = answer.status == STATUS_OK
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            _LOGGER.warning(
                "release by %s has no answer: %s", release.upstream, error
            )
        self._control.post(
            messages.ReleaseAnswered(
                upstream=release.upstream,
                service=release.service,
                accepted=accepted,
                shards=release.shards,
            )
        )

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
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            self._control.post(
                messages.GrantAnswered(
                    upstream=grant.upstream,
                    accepted=False,
                    start_id=ids.StartId(""),
                    term=ids.Term(0),
                    sent_at=sent_at,
                    error=str(error) or type(error).__name__,
                    given_term=grant.term,
                    undelivered=isinstance(error, ConnectionRefusedError),
                )
            )
            return
        self._report(grant, sent_at, answer)

    def _report(
        self,
        grant: messages.SendGrant,
        sent_at: ids.Instant,
        answer: http_client.HttpAnswer,
    ) -> None:
        start_id, term, clock_ms = ids.StartId(""), ids.Term(0), 0
        error = ""
        try:
            answered = codec.decode_answer(answer.body)
            start_id, term = answered.start_id, answered.term
            clock_ms = answered.clock_ms
        except msgspec.DecodeError as failure:
            error = str(failure)
        self._control.post(
            messages.GrantAnswered(
                upstream=grant.upstream,
                accepted=answer.status == STATUS_OK,
                start_id=start_id,
                term=term,
                sent_at=sent_at,
                error=error,
                given_term=grant.term,
                reached=True,
                clock_ms=clock_ms,
            )
        )
