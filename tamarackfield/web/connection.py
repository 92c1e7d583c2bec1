"""One connection to a target that is kept between exchanges, with h11 as its protocol.

A connection is handed out again only if the last exchange ended cleanly on both sides and nothing
was read beyond it. An answer that belongs to an earlier request is passed over by its id.
"""

import asyncio
import socket
from typing import Any

import h11

from tamarackfield.core.clock import BOOT_CLOCK
from tamarackfield.web.client import ClientError

#: Milliseconds after which sent data without acknowledgement breaks a connection; a third of the
#: time in which an instance must notice that its network failed.
USER_TIMEOUT_MS = 2000
#: Seconds of silence before the first keep-alive probe, and between probes.
KEEPALIVE_SECONDS = 1
#: Keep-alive probes without an answer that break a connection.
KEEPALIVE_PROBES = 2
#: Bytes that may wait to be read by this process before the peer is held back.
MAX_UNREAD_BYTES = 262_144
_TCP_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)

RawHeaders = list[tuple[bytes, bytes]]


def set_keepalive(transport: asyncio.BaseTransport) -> None:
    """Let the kernel break a connection whose peer went silent.

    Parameters
    ----------
    transport : asyncio.BaseTransport
        A TCP connection; others are left alone.
    """
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.family in {socket.AF_INET, socket.AF_INET6}:
        for level, option, setting in _TCP_OPTIONS:
            sock.setsockopt(level, option, setting)


class TargetConnection(asyncio.Protocol):
    """State of one connection; used by one exchange at a time.

    Parameters
    ----------
    peer : str
        Address of the target, for errors.
    """

    def __init__(self, peer: str) -> None:
        """Start without a transport."""
        self.peer = peer
        self.transport: Any = None
        self.parser = h11.Connection(h11.CLIENT)
        self.request: h11.Request | None = None
        self.body = b''
        self.waiter: asyncio.Future[None] | None = None
        self.busy = False
        self.failure = ''
        self.ended = False
        self.unread = 0
        self.answered = False
        self.released_at = 0.0
        self.rested_seconds = 0.0
        self.keep_seconds = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        set_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser; bytes that no exchange waits for end the connection."""
        if not self.busy:
            self.fail('bytes arrived outside an exchange')
            return
        self.answered = True
        self.parser.receive_data(data)
        self.unread += len(data)
        if self.unread > MAX_UNREAD_BYTES:
            self.transport.pause_reading()
        self.wake()

    def eof_received(self) -> bool:
        """Note that the target has sent all that it will."""
        self.ended = True
        if self.busy:
            self.parser.receive_data(b'')
        self.wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note why the connection ended."""
        if exc is not None:
            self.failure = self.failure or repr(exc)
        elif not self.ended:
            self.failure = self.failure or 'connection was aborted'
        self.ended = True
        self.wake()

    def wake(self) -> None:
        """Let the exchange look at what arrived."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def fail(self, reason: str) -> None:
        """Break the connection."""
        self.failure = self.failure or reason
        self.ended = True
        if self.transport is not None:
            self.transport.abort()
        self.wake()

    def send(self, request: h11.Request, body: bytes) -> None:
        """Write one request.

        Raises
        ------
        ClientError
            If the connection is known to have ended; nothing was written then.
        """
        if self.ended or self.transport.is_closing():
            raise ClientError('connection had ended', 'send', self.peer, sent=False)
        self.busy = True
        self.answered = False
        self.request = request
        self.body = body
        self.transport.write(self._encode())

    async def receive(self) -> Any:
        """Return the next h11 event of the answer.

        Returns
        -------
        h11 event
            `h11.Response`, `h11.Data` or `h11.EndOfMessage`.

        Raises
        ------
        ClientError
            If the connection breaks, or what arrives is no answer.
        """
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._broken(f'answer is malformed: {exc}') from exc
            if event is h11.NEED_DATA:
                await self._wait()
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise self._broken('target closed the connection before its answer')
            elif not isinstance(event, h11.InformationalResponse):
                return event

    def restart(self) -> None:
        """Read on for the answer of the same request, after one that belonged to an earlier request.

        Raises
        ------
        ClientError
            If nothing can follow on this connection.
        """
        left, closed = self.parser.trailing_data
        if self.parser.their_state is not h11.DONE or closed:
            raise self._broken('the answer of another request ended the connection')
        self.parser = h11.Connection(h11.CLIENT)
        self._encode()
        if left:
            self.parser.receive_data(left)

    def release(self) -> bool:
        """End the exchange; return whether the connection can serve another one."""
        states = {self.parser.our_state, self.parser.their_state}
        if self.ended or states != {h11.DONE} or self.parser.trailing_data[0]:
            self.fail('the exchange did not end cleanly')
            return False
        self.parser.start_next_cycle()
        self.busy = False
        self.released_at = BOOT_CLOCK.monotonic()
        return True

    def _encode(self) -> bytes:
        """Move the parser past the request; return its bytes."""
        head = self.parser.send(self.request)
        content = self.parser.send(h11.Data(data=self.body)) if self.body else b''
        return head + content + self.parser.send(h11.EndOfMessage())

    async def _wait(self) -> None:
        if self.ended:
            raise self._broken('answer ended early')
        self.unread = 0
        self.transport.resume_reading()
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def _broken(self, reason: str) -> ClientError:
        text = f'{reason}: {self.failure}' if self.failure else reason
        self.fail(reason)
        return ClientError(text, 'read_answer', self.peer, sent=True)
