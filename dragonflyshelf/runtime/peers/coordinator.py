"""Task that owns the listening socket and the links to instances."""

import asyncio
from collections import abc
import dataclasses
from typing import Any

from absl import logging

from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.membership import objects
from dragonflyshelf.core import messages
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import inbox
from dragonflyshelf.runtime import messages as runtime_messages
from dragonflyshelf.runtime.peers import link
from dragonflyshelf.runtime import sockets
from dragonflyshelf.runtime import task
from dragonflyshelf.runtime.timeline import clock

_LOGGER = logging.get_absl_logger()

REDIAL_INTERVAL = 0.2
LISTEN_BACKLOG = 256


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembersChanged:
    """The instances that the rosters have now."""

    members: tuple[objects.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ForwardToPeer:
    """An attempt goes to the instance that leads the upstream."""

    instance: ids.InstanceId
    attempt: runtime_messages.StartExchange


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendToPeer:
    """A control message goes to an instance; it may be lost."""

    instance: ids.InstanceId
    message: Any


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Redial:
    """Time to dial the instances that have no link."""


class PeersTask(task.Task):
    """Keeps one link to each other instance that this one dials.

    Each instance dials all others and uses only the links that it
    dialled for what it sends, so that two instances never disagree
    about which link counts.
    """

    def __init__(
        self,
        config: settings.Settings,
        incarnation: ids.Incarnation,
        router: inbox.Inbox,
        control: inbox.Inbox,
        next_exchange: abc.Callable[[], ids.ExchangeId],
    ) -> None:
        """Create the task; it binds in ``async_listen``."""
        super().__init__("peers")
        self._config = config
        self._incarnation = incarnation
        self._router = router
        self._control = control
        self._next_exchange = next_exchange
        self._members_by_instance: dict[ids.InstanceId, objects.Member] = {}
        self._links_by_instance: dict[ids.InstanceId, link.PeerLinkTask] = {}
        self._dialling: dict[ids.InstanceId, asyncio.Task[None]] = {}
        self._links: set[link.PeerLinkTask] = set()
        self._server: asyncio.Server | None = None
        self.inboxes_by_type: dict[type, inbox.Inbox] = {}
        self.clock = clock.ProcessClock()
        self.port = 0

    async def async_listen(self, host: str, port: int) -> None:
        """Bind the address and start to accept links."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, port, backlog=LISTEN_BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.inbox.post(Redial())

    def _accept(self) -> asyncio.Protocol:
        accepted = self._new_link(dialled=False)
        accepted.start()
        return sockets.SocketProtocol(accepted.inbox)

    def _new_link(self, dialled: bool) -> link.PeerLinkTask:
        created = link.PeerLinkTask(
            self._config,
            self._incarnation,
            self._router,
            self.inbox,
            self._next_exchange,
            dialled,
        )
        created.clock = self.clock
        self._links.add(created)
        return created

    @task.handles(MembersChanged)
    def _on_members(self, message: MembersChanged) -> None:
        own = self._config.instance.name
        self._members_by_instance = {
            one.instance: one for one in message.members if one.instance != own
        }
        self._dial_missing()

    @task.handles(Redial)
    def _on_redial(self, message: Redial) -> None:
        self._dial_missing()
        self.post_later(REDIAL_INTERVAL, message)

    @task.handles(link.LinkOpened)
    def _on_link_opened(self, message: link.LinkOpened) -> None:
        if message.dialled:
            self._links_by_instance[message.hello.instance] = message.link

    @task.handles(link.LinkClosed)
    def _on_link_closed(self, message: link.LinkClosed) -> None:
        self._links.discard(message.link)
        peer = message.link.peer
        if self._links_by_instance.get(peer) is message.link:
            del self._links_by_instance[peer]
        while message.link.inbox:
            waiting = message.link.inbox.pop()
            if isinstance(waiting, runtime_messages.StartExchange):
                self._report_unreachable(waiting, peer)

    @task.handles(link.PeerReceived)
    def _on_received(self, message: link.PeerReceived) -> None:
        kind = type(message.message)
        self.inboxes_by_type.get(kind, self._control).post(message)

    @task.handles(SendToPeer)
    def _on_send(self, message: SendToPeer) -> None:
        found = self._links_by_instance.get(message.instance)
        if found is not None:
            found.inbox.post(link.SendOnLink(message=message.message))

    @task.handles(ForwardToPeer)
    def _on_forward(self, message: ForwardToPeer) -> None:
        found = self._links_by_instance.get(message.instance)
        if found is not None and not found.stopped:
            found.inbox.post(message.attempt)
            return
        self._report_unreachable(message.attempt, message.instance)

    @task.handles(messages.Cancel)
    def _on_cancel(self, message: messages.Cancel) -> None:
        for found in self._links_by_instance.values():
            found.inbox.post(message)

    def _report_unreachable(
        self,
        attempt: runtime_messages.StartExchange,
        instance: ids.InstanceId,
    ) -> None:
        self._router.post(
            runtime_messages.AttemptEnded(
                exchange=attempt.exchange,
                upstream=attempt.admitted.upstream,
                error=errors.PeerUnreachable(
                    "no link to the instance", peer=instance
                ),
                answered=False,
            )
        )

    def on_end(self) -> None:
        """Close the listening socket and all links."""
        if self._server is not None:
            self._server.close()
        for dialling in self._dialling.values():
            dialling.cancel()
        for one in list(self._links):
            one.stop()
            one.inbox.post(sockets.EndReceived())

    def _dial_missing(self) -> None:
        for instance, member in self._members_by_instance.items():
            if instance in self._links_by_instance:
                continue
            if instance in self._dialling:
                continue
            dialling = asyncio.create_task(self._async_dial(member))
            self._dialling[instance] = dialling
            dialling.add_done_callback(
                lambda _, key=instance: self._dialling.pop(key, None)
            )

    async def _async_dial(self, member: objects.Member) -> None:
        created = self._new_link(dialled=True)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._config.upstreams.connect_timeout):
                await loop.create_connection(
                    lambda: sockets.SocketProtocol(created.inbox),
                    member.host,
                    member.peer_port,
                )
        except (OSError, TimeoutError):
            self._links.discard(created)
            return
        created.start()
