"""Persistent HTTP/1.1 connection to a target; h11 keeps the protocol state.

A connection is reused only if the last exchange ended cleanly on both sides and no byte was read
beyond its answer. An answer to an earlier request is recognized by its request id and skipped.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import h11

from tamarackfield.core.clock import BOOT_CLOCK
from tamarackfield.core.turns import Turn
from tamarackfield.web.client import MAX_INFORMATIONAL_HEADS, MAX_STATUS, ClientError

#: TCP_USER_TIMEOUT: a connection is closed if sent data is not acknowledged for this time. It is a third
#: of the time in which an instance must detect that its network failed.
USER_TIMEOUT_MS = 2000
#: Idle time before the first TCP keep-alive probe, and interval between probes.
KEEPALIVE_INTERVAL_SECONDS = 1
#: Number of unanswered TCP keep-alive probes after which a connection is closed.
KEEPALIVE_PROBES = 2
#: Received bytes that an exchange has not read yet, above which reading from the socket is paused.
MAX_UNREAD_BYTES = 32_768
#: Bytes that are read from a socket at once: with `MAX_UNREAD_BYTES`, what a connection holds whose answer waits.
RECEIVE_BYTES = 32_768
#: Bytes of a request that are written at once; the next ones follow as the target reads, so that the whole is not
#: copied into the buffer of a target that reads slowly.
PIECE_BYTES = 65_536
#: Limit of the answers to other requests that a target may send ahead of the answer to a request.
MAX_FOREIGN_ANSWERS = 16
_TCP_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)

# Shared by all connections: what was received is copied before the next read.
_receive_buffer = bytearray(RECEIVE_BYTES)

_FINISHED_STATES = frozenset((h11.DONE, h11.MUST_CLOSE, h11.CLOSED))

RawHeaders = list[tuple[bytes, bytes]]


def set_keepalive(transport: asyncio.BaseTransport) -> None:
    """Enable TCP keep-alive and the TCP user time-out, so that the kernel closes connections to dead peers.

    Parameters
    ----------
    transport : asyncio.BaseTransport
        Transport of a TCP connection; other transports are not changed.
    """
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.family in {socket.AF_INET, socket.AF_INET6}:
        for level, option, setting in _TCP_OPTIONS:
            sock.setsockopt(level, option, setting)


class TargetConnection(asyncio.BufferedProtocol):
    """Connection to a target; serves one exchange at a time.

    Parameters
    ----------
    peer : str
        Address of the target, for error messages.

    Attributes
    ----------
    busy : bool
        Whether an exchange is in progress.
    ended : bool
        Whether one side has closed the connection, or it failed.
    failure : str
        First reason for a failure; empty if there was none.
    unread_bytes : int
        Bytes received since the exchange last waited for input.
    has_answer_bytes : bool
        Whether any byte arrived in the current exchange.
    released_at : float
        Time at which the last exchange ended, in monotonic seconds that include suspensions of the machine.
    idle_seconds : float
        Idle time before the current exchange.
    idle_timeout_seconds : float
        Idle time-out that the target announces; 0 if it announces none.
    on_progress : callable or None
        Called each time bytes of an answer arrive.
    unsent : deque of memoryview
        Rest of the request that was not passed to the transport.
    writing_paused : bool
        Whether the target has to read before more is passed to the transport.
    """

    def __init__(self, peer: str) -> None:
        """Create a connection whose transport is not connected yet."""
        self.peer = peer
        self.turn = Turn(peer)
        self.informational_heads = 0
        self.foreign_answers = 0
        self.transport: Any = None
        self.parser = h11.Connection(h11.CLIENT)
        self.request: h11.Request | None = None
        self.body = b''
        self.progress: asyncio.Future[None] | None = None
        self.busy = False
        self.failure = ''
        self.ended = False
        self.unread_bytes = 0
        self.has_answer_bytes = False
        self.released_at = 0.0
        self.idle_seconds = 0.0
        self.idle_timeout_seconds = 0.0
        self.on_progress: Callable[[], None] | None = None
        self.unsent: deque[memoryview] = deque()
        self.writing_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable keep-alive."""
        self.transport = transport
        set_keepalive(transport)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer into which the transport receives."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the transport has received."""
        self.data_received(bytes(memoryview(_receive_buffer)[:nbytes]))

    def pause_writing(self) -> None:
        """Write nothing more until the target has read."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Write the next pieces of the request."""
        self.writing_paused = False
        self._write_pieces()

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser; bytes outside an exchange close the connection."""
        if not self.busy:
            self.fail('bytes arrived outside an exchange')
            return
        self.has_answer_bytes = True
        if self.on_progress is not None:
            self.on_progress()
        self.parser.receive_data(data)
        self.unread_bytes += len(data)
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.transport.pause_reading()
        self.wake_waiter()

    def eof_received(self) -> bool:
        """Record that the target closed its sending side."""
        self.ended = True
        if self.busy:
            self.parser.receive_data(b'')
        self.wake_waiter()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record why the connection ended."""
        if exc is not None:
            self.failure = self.failure or repr(exc)
        elif not self.ended:
            self.failure = self.failure or 'connection was aborted'
        self.ended = True
        self.wake_waiter()

    def wake_waiter(self) -> None:
        """Resume the exchange that waits for input."""
        if self.progress is not None and not self.progress.done():
            self.progress.set_result(None)

    def fail(self, reason: str) -> None:
        """Abort the connection; the first reason is kept for error messages."""
        self.failure = self.failure or reason
        self.ended = True
        self.unsent.clear()
        if self.transport is not None:
            self.transport.abort()
        self.wake_waiter()

    def send(self, request: h11.Request, body: bytes) -> None:
        """Send one request.

        Raises
        ------
        ClientError
            If the connection is known to have ended; in this case nothing was sent.
        """
        if self.ended or self.transport.is_closing():
            raise ClientError('connection had ended', 'send', self.peer, sent=False)
        self.busy = True
        self.informational_heads = 0
        self.foreign_answers = 0
        self.has_answer_bytes = False
        self.request = request
        self.body = body
        parts = self._encode_request()
        if sum(map(len, parts)) <= PIECE_BYTES:
            self.transport.write(b''.join(parts))
            return
        self.unsent.extend(map(memoryview, parts))
        self._write_pieces()

    async def receive(self) -> Any:
        """Return the next h11 event of the answer.

        Returns
        -------
        h11 event
            `h11.Response`, `h11.Data` or `h11.EndOfMessage`.

        Raises
        ------
        ClientError
            If the connection fails, or the target sends a malformed answer.
        """
        while True:
            await self.turn.count_piece()
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._fail_with_error(f'answer is malformed: {exc}') from exc
            if event is h11.NEED_DATA:
                await self._wait_for_input()
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise self._fail_with_error('target closed the connection before its answer')
            elif isinstance(event, h11.InformationalResponse):
                self._count_informational_head()
            else:
                self._require_known_status(event)
                return event

    def skip_answer(self) -> None:
        """Skip a complete answer to an earlier request, so that the answer to the current one can be read.

        Raises
        ------
        ClientError
            If the skipped answer is incomplete or ended the connection.
        """
        self.foreign_answers += 1
        if self.foreign_answers > MAX_FOREIGN_ANSWERS:
            raise self._fail_with_error('target sends only answers to other requests')
        unparsed, closed = self.parser.trailing_data
        if self.parser.their_state is not h11.DONE or closed:
            raise self._fail_with_error('the answer of another request ended the connection')
        self.parser = h11.Connection(h11.CLIENT)
        self._encode_request()
        if unparsed:
            self.parser.receive_data(unparsed)

    def describe_end(self) -> str:
        """Return how the current answer ended, for logs.

        Returns
        -------
        str
            ``complete``, ``unfinished``, or the failure.
        """
        if self.failure:
            return self.failure
        return 'complete' if self.parser.their_state in _FINISHED_STATES else 'unfinished'

    def release(self) -> bool:
        """End the exchange; return whether the connection can be reused. It is aborted if it cannot."""
        states = {self.parser.our_state, self.parser.their_state}
        if self.unsent or self.ended or states != {h11.DONE} or self.parser.trailing_data[0]:
            self.fail('the exchange did not end cleanly')
            return False
        self.parser.start_next_cycle()
        self.busy = False
        self.released_at = BOOT_CLOCK.monotonic()
        return True

    def _write_pieces(self) -> None:
        while self.unsent and not self.writing_paused and not self.transport.is_closing():
            part = self.unsent.popleft()
            self.transport.write(part[:PIECE_BYTES])
            if len(part) > PIECE_BYTES:
                self.unsent.appendleft(part[PIECE_BYTES:])

    def _require_known_status(self, event: Any) -> None:
        if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
            raise self._fail_with_error(f'answer has status {event.status_code}')

    def _count_informational_head(self) -> None:
        self.informational_heads += 1
        if self.informational_heads > MAX_INFORMATIONAL_HEADS:
            raise self._fail_with_error('target sends only informational heads')

    def _encode_request(self) -> tuple[bytes, bytes, bytes]:
        """Advance the parser state past the request; return the encoded head, body and end of the request."""
        head = self.parser.send(self.request)
        content = self.parser.send(h11.Data(data=self.body)) if self.body else b''
        return head, content, self.parser.send(h11.EndOfMessage()) or b''

    async def _wait_for_input(self) -> None:
        if self.ended:
            raise self._fail_with_error('answer ended early')
        self.turn.begin()
        self.unread_bytes = 0
        self.transport.resume_reading()
        self.progress = asyncio.get_running_loop().create_future()
        try:
            await self.progress
        finally:
            self.progress = None

    def _fail_with_error(self, reason: str) -> ClientError:
        message = f'{reason}: {self.failure}' if self.failure else reason
        self.fail(reason)
        return ClientError(message, 'read_answer', self.peer, sent=True)
