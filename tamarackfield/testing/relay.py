"""TCP relay that injects network faults between two processes."""

import asyncio
import contextlib
import socket
import struct
from typing import Any

from tamarackfield.testing.frames import NO_FRAME_FAULTS, ConnectionCutError, FrameFaults

#: Values of ``mode`` that are faults; see `Relay`.
FAULTY_MODES = ('cut', 'freeze', 'freeze_up', 'freeze_down', 'half_open')
_READ_BYTES = 16 * 1024
_POLL_SECONDS = 0.01
#: SO_LINGER value (on, 0 s) that makes close send a reset.
_LINGER_ZERO_SECONDS = struct.pack('ii', 1, 0)


def no_faults() -> dict[str, Any]:
    """Return the faults of a relay, all disabled."""
    return {'mode': 'pass', 'delay': 0, 'cut_up_after': -1, 'cut_down_after': -1, **NO_FRAME_FAULTS}


class Relay:
    """Forwards TCP connections and applies faults.

    Faults: ``mode`` is ``pass``, ``cut`` (refuse new connections), ``freeze`` (forward nothing in
    either direction), ``freeze_up`` or ``freeze_down`` (nothing in one direction), ``half_open``
    (accept and forward nothing); ``delay`` in seconds applies to every read; ``cut_down_after`` and
    ``cut_up_after`` close each connection after that many bytes in one direction (-1: never).
    If connections carry the peer protocol, the faults of `FrameFaults` apply to bytes from upstream.

    Parameters
    ----------
    upstream : tuple of str and int
        Host and port to which connections are forwarded.
    faults : dict
        Faults as `no_faults` returns them; may be changed at any time.
    framed : bool
        Whether connections carry the peer protocol.
    source : str
        Local IP address of the connections to upstream; empty for any.
    """

    def __init__(
        self, upstream: tuple[str, int], faults: dict[str, Any], framed: bool = False, source: str = ''
    ) -> None:
        """Create a relay that does not listen yet."""
        self.upstream = upstream
        self.faults = faults
        self.framed = framed
        self.source = (source, 0) if source else None
        self.connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self.accepted = 0
        self.forwarded_bytes = {'up': 0, 'down': 0}
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at an address."""
        self.server = await asyncio.start_server(self.accept, host, port)

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self.server is not None:
            self.server.close()
        self.cut_connections()

    def cut_connections(self) -> None:
        """Close every connection."""
        for task in list(self.connections):
            task.cancel()

    def reset_connections(self) -> None:
        """Close every connection with a reset."""
        for writer in self.connections.values():
            _reset_on_close(writer)
        self.cut_connections()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until it ends."""
        task = asyncio.current_task()
        self.connections[task] = writer
        self.accepted += 1
        with contextlib.suppress(OSError, asyncio.CancelledError):
            if self.faults['mode'] != 'cut':
                await self._relay_connection(reader, writer)
        self.connections.pop(task)
        writer.transport.abort()

    async def _relay_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while self.faults['mode'] == 'half_open':
            await asyncio.sleep(_POLL_SECONDS)
        up_reader, up_writer = await asyncio.open_connection(*self.upstream, local_addr=self.source)
        forwardings = [
            asyncio.ensure_future(self._forward('up', reader, up_writer)),
            asyncio.ensure_future(self._forward('down', up_reader, writer)),
        ]
        try:
            await asyncio.wait(forwardings, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forwarding in forwardings:
                forwarding.cancel()
            up_writer.transport.abort()

    async def _forward(self, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        forwarded = 0
        # Without a write buffer, drain waits for the kernel, so that aborting the transport at the end loses no data.
        writer.transport.set_write_buffer_limits(high=0)
        frame_faults = FrameFaults(self.faults) if self.framed and direction == 'down' else None
        while True:
            try:
                chunk = await reader.read(_READ_BYTES)
            except ConnectionResetError:
                _reset_on_close(writer)
                raise
            while self.faults['mode'] in {'freeze', f'freeze_{direction}'}:
                await asyncio.sleep(_POLL_SECONDS)
            if not chunk:
                return
            await asyncio.sleep(self.faults['delay'])
            if frame_faults is not None:
                chunk = await _apply_frame_faults(frame_faults, chunk, writer)
            limit = self.faults[f'cut_{direction}_after']
            if limit >= 0:
                chunk = chunk[: max(0, limit - forwarded)]
            forwarded += len(chunk)
            self.forwarded_bytes[direction] += len(chunk)
            writer.write(chunk)
            await writer.drain()
            if 0 <= limit <= forwarded:
                return


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Let the end of a connection be a reset: its peer must be able to tell it from an orderly close."""
    sock = writer.get_extra_info('socket')
    # A connection that has closed in the meantime has no descriptor any more.
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO_SECONDS)


async def _apply_frame_faults(frame_faults: FrameFaults, chunk: bytes, writer: asyncio.StreamWriter) -> bytes:
    """Return the bytes of a chunk after frame faults.

    At a cut, the preceding frames are written before `ConnectionResetError` is raised.
    """
    forwarded: list[bytes] = []
    try:
        forwarded.extend(frame_faults.feed(chunk))
    except ConnectionCutError as exc:
        writer.write(b''.join(forwarded))
        await writer.drain()
        raise ConnectionResetError('cut by fault') from exc
    return b''.join(forwarded)
