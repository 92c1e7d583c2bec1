"""Writes the answer to one request."""

import asyncio
import fcntl
import json
import socket
import struct
import termios
from collections.abc import Callable
from typing import Any

import h11

from tamarackfield.core.clock import SYSTEM_CLOCK
from tamarackfield.core.errors import RequestError
from tamarackfield.core.time_limits import listening_seconds, time_limit
from tamarackfield.web.answer_budget import AnswerBudget
from tamarackfield.web.answer_room import HeldAnswer
from tamarackfield.web.request import REQUEST_ID_HEADER

#: Format of the number that the kernel returns for the size of a send queue.
_INT_FORMAT = struct.Struct('i')
#: Value of SO_LINGER with which the end of a connection is a reset, and its send queue is freed at once.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_JSON_TYPE = ('Content-Type', 'application/json')


def _always_false() -> bool:
    return False


class CallerDisconnectedError(Exception):
    """The caller closed the connection, or read nothing of an answer for as long as the write time-out."""


class AnswerCutError(CallerDisconnectedError):
    """This process ends an answer that has begun and cannot be completed, by closing the connection."""


#: Errors in which the handler of a request may end; any other is a fault of the program.
HANDLER_ERRORS = (RequestError, CallerDisconnectedError, OSError)


class Responder:
    """Writes one answer to the caller.

    Parameters
    ----------
    connection : h11.Connection
        Protocol state of the connection.
    writer : asyncio.StreamWriter
        Sending side of the connection.
    write_seconds : float
        Time after which a caller that reads nothing of what is sent counts as disconnected.
    should_close : callable
        Returns whether the connection must close after this answer; called when the head is sent.
    id_header : str
        Name of the header that carries the request id.
    answers : AnswerBudget, optional
        Budget that counts what the caller does not read; None to count nothing.

    Attributes
    ----------
    request_id : str
        Request id that is sent with the answer; none is sent if it is empty.
    head_only : bool
        Whether the body is omitted, as for HEAD requests.
    head_sent : bool
        Whether the head was sent.
    first_byte_at : float
        Time at which the first byte of the body was sent, in monotonic seconds; 0 before that.
    finished : bool
        Whether the whole answer was sent.
    close_after_answer : bool
        Whether the connection closes after this answer.
    is_last : callable
        Returns whether the connection closes after this answer although its head did not say so.
    source_bytes : int
        Bytes that the source of the answer holds while the caller reads nothing.
    cut_reason : str
        Why this process has closed the connection, empty if it has not.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        write_seconds: float,
        should_close: Callable[[], bool] = _always_false,
        id_header: str = REQUEST_ID_HEADER,
        answers: AnswerBudget | None = None,
    ) -> None:
        """Create a responder on which nothing has been sent."""
        self.id_header = id_header
        self.connection = connection
        self.writer = writer
        self.write_seconds = write_seconds
        self.request_id = ''
        self.head_only = False
        self.head_sent = False
        self.first_byte_at = 0.0
        self.finished = False
        self.close_after_answer = False
        self.should_close = should_close
        self.is_last: Callable[[], bool] = _always_false
        self.answers = answers
        self.source_bytes = 0
        self.cut_reason = ''

    def describe_peer(self) -> str:
        """Return the address of the caller, for logs."""
        address = self.writer.transport.get_extra_info('peername')
        return f'{address[0]}:{address[1]}' if address else 'unknown'

    def cut(self, reason: str) -> None:
        """Close the connection although its answer is not complete; the answer then ends in an `AnswerCutError`."""
        self.cut_reason = reason
        reset_connection(self.writer.transport)

    async def send_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers, including the request id."""
        self.close_after_answer = self.close_after_answer or self.should_close()
        if self.close_after_answer:
            headers = [*headers, ('Connection', 'close')]
        if self.request_id:
            other_headers = [pair for pair in headers if pair[0].lower() != self.id_header.lower()]
            headers = [*other_headers, (self.id_header, self.request_id)]
        head = h11.Response(status_code=status, headers=headers)
        self.head_sent = True
        await self._write(head)

    async def send_body(self, chunk: bytes) -> None:
        """Send part of the body; wait while the write buffer is above its limit."""
        self.first_byte_at = self.first_byte_at or SYSTEM_CLOCK.monotonic()
        if not self.head_only:
            await self._write(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Send the end of the answer; if it is the last on its connection, what the caller sends next is not read.

        A request that was not read may be sent once more.
        """
        if self.is_last():
            self.writer.transport.pause_reading()
        await self._write(h11.EndOfMessage())
        self.finished = True

    async def send_json(self, status: int, document: Any, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Send a complete JSON answer."""
        body = json.dumps(document).encode()
        await self.send_head(status, [_JSON_TYPE, ('Content-Length', str(len(body))), *headers])
        await self.send_body(body)
        await self.finish()

    async def _write(self, event: Any) -> None:
        self._require_open()
        encoded_event = self.connection.send(event)
        if encoded_event:
            self.writer.write(encoded_event)
        if not self.writer.transport.get_write_buffer_size():
            return
        try:
            await self._drain_counted()
        except TimeoutError as exc:
            # What the caller does not read would be kept until the connection breaks.
            reset_connection(self.writer.transport)
            if self.answers is not None:
                self.answers.count_closed('unread')
            raise CallerDisconnectedError(f'caller read nothing for {self.write_seconds} s') from exc
        except OSError as exc:
            self._require_open()
            raise CallerDisconnectedError(repr(exc)) from exc
        self._require_open()

    def _require_open(self) -> None:
        """Raise `AnswerCutError` if this process has closed the connection."""
        if self.cut_reason:
            raise AnswerCutError(self.cut_reason)

    async def _drain_counted(self) -> None:
        """Wait until the write buffer is below its limit, and count meanwhile what is held."""
        transport = self.writer.transport
        unread_bytes = transport.get_write_buffer_size()
        if self.answers is None or unread_bytes <= transport.get_write_buffer_limits()[1]:
            await self._drain()
            return
        held = HeldAnswer(self.request_id, self.describe_peer(), listening_seconds(), self.cut)
        self.answers.hold(held, unread_bytes + self.source_bytes)
        try:
            await self._drain()
        finally:
            self.answers.release(held)

    async def _drain(self) -> None:
        """Wait until the write buffer is below its limit; raise `TimeoutError` once the caller reads nothing more.

        A caller may read more slowly than a whole buffer in the time-out, so only the progress is limited in time.
        """
        unread = count_unread_bytes(self.writer.transport)
        while True:
            try:
                async with time_limit(self.write_seconds):
                    return await self.writer.drain()
            except TimeoutError:
                previous, unread = unread, count_unread_bytes(self.writer.transport)
                if unread >= previous:
                    raise


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a reset: neither this process nor the kernel keeps what its peer does not read."""
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()


def count_unread_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the bytes that were written to a transport and that its peer has not acknowledged.

    They are in the buffer of the transport or in the send queue of its socket; the kernel of the peer acknowledges
    them as the peer makes room by reading.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return transport.get_write_buffer_size()
    queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT_FORMAT.size))
    return transport.get_write_buffer_size() + _INT_FORMAT.unpack(queued)[0]
