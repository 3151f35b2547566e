"""Loopback TCP proxy that delays, drops or resets traffic."""

import asyncio
from collections import abc
import contextlib
import enum

from bench import processes
from dragonflyshelf.runtime import sockets

READ_CHUNK_BYTES = 65536


class Mode(enum.Enum):
    """Treatment of traffic; dropped bytes are never delivered."""

    DELAY = "delay"
    ONE_WAY = "one_way"
    PASS = "pass"
    RESET = "reset"
    SILENT = "silent"


class LoopbackProxy:
    """Forwards connections to one port."""

    def __init__(self, target_port: int) -> None:
        """Create a proxy; ``async_listen`` binds it."""
        self.target_port = target_port
        self.delay_seconds = 0.0
        """Delay of each read chunk in mode ``DELAY``."""
        self._mode = Mode.PASS
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._connection_tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the bound port."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def set_mode(self, mode: Mode, delay_seconds: float = 0.0) -> None:
        """Change the mode; reset connections after a mode that drops bytes.

        A connection that has lost bytes must not deliver later ones.
        """
        if self._mode in (Mode.SILENT, Mode.ONE_WAY) or mode is Mode.RESET:
            self.reset()
        self._mode = mode
        self.delay_seconds = delay_seconds

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            sockets.reset(writer.transport)
        self._writers.clear()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        self._writers.add(writer)
        try:
            await self._async_serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            sockets.reset(writer.transport)
        finally:
            self._connection_tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is Mode.RESET:
            sockets.reset(writer.transport)
            return
        target_reader, target_writer = await asyncio.open_connection(
            processes.HOST, self.target_port
        )
        self._writers.add(target_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._async_forward(reader, target_writer, True)
                )
                group.create_task(
                    self._async_forward(target_reader, writer, False)
                )
        except* OSError:
            sockets.reset(writer.transport)
            sockets.reset(target_writer.transport)
        finally:
            self._writers.discard(target_writer)
            target_writer.close()

    async def _async_forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_to_target: bool,
    ) -> None:
        while data := await reader.read(READ_CHUNK_BYTES):
            if self._mode is Mode.SILENT:
                continue
            if self._mode is Mode.ONE_WAY and not is_to_target:
                continue
            if self._mode is Mode.DELAY:
                await asyncio.sleep(self.delay_seconds)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()

    async def async_listen(self) -> None:
        """Listen on an unused loopback port."""
        self._server = await asyncio.start_server(
            self._async_accept, processes.HOST, 0
        )

    async def async_close(self) -> None:
        """Stop accepting and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for connection_task in tuple(self._connection_tasks):
            connection_task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def async_run_proxy(
    target_port: int,
) -> abc.AsyncIterator[LoopbackProxy]:
    """Run a proxy for the length of a ``with`` block."""
    proxy = LoopbackProxy(target_port)
    await proxy.async_listen()
    try:
        yield proxy
    finally:
        await proxy.async_close()
