"""Reads requests from one connection and enforces limits on framing, size and time."""

import asyncio
import contextlib
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11

from tamarackfield.core.clock import SYSTEM_CLOCK, Clock
from tamarackfield.core.time_limits import listening_seconds, time_limit_at
from tamarackfield.core.turns import Turn
from tamarackfield.web.limits import HttpLimits
from tamarackfield.web.request import (
    MAX_HEAD_BYTES,
    REQUEST_ID_HEADER,
    HttpRequest,
    build_request,
    check_body_size,
    check_framing,
    make_overload_error,
    make_read_error,
    parse_content_length,
)
from tamarackfield.web.responder import CallerDisconnectedError

#: Limit on the bytes of one read from a socket.
MAX_READ_BYTES = 65_536


class BodyBudget:
    """Memory budget for the request bodies of one server.

    Parameters
    ----------
    limit_bytes : int
        Limit on the bytes that are reserved at once.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget of which nothing is reserved."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int) -> None:
        """Reserve bytes.

        Raises
        ------
        RequestError
            If the limit would be exceeded; nothing is reserved in this case.
        """
        if self.reserved_bytes + size > self.limit_bytes:
            raise make_overload_error('too many request bodies are held at the moment', code='too_much_buffered')
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.reserved_bytes -= size


class RequestReader:
    """Reads the requests of one connection.

    Parameters
    ----------
    reader, writer : asyncio streams
        Receiving and sending side of the connection.
    read_limits : callable
        Returns the limits on sizes and times that are in force.
    budget : BodyBudget
        Memory budget shared by all connections of the server.
    clock : Clock
        Clock for the arrival times of requests.
    id_header : str
        Name of the header that carries the request id.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        read_limits: Callable[[], HttpLimits],
        budget: BodyBudget,
        clock: Clock = SYSTEM_CLOCK,
        id_header: str = REQUEST_ID_HEADER,
    ) -> None:
        """Create a reader with an empty parser."""
        self.clock = clock
        self.id_header_name = id_header.lower()
        self.reader = reader
        self.writer = writer
        self.read_limits = read_limits
        self.budget = budget
        self.turn = Turn(describe_peer(writer))
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.reserved_bytes = 0

    async def wait_for_first_byte(self) -> bool:
        """Wait for the first byte of a request; an idle time-out that is raised meanwhile holds for this wait.

        Returns
        -------
        bool
            False if the caller closed the connection or the idle time-out expired.
        """
        if self.protocol.trailing_data[0]:
            return True
        idle_since = listening_seconds()
        idle_seconds = 0.0
        while self.read_limits().idle_seconds > idle_seconds:
            idle_seconds = self.read_limits().idle_seconds
            with contextlib.suppress(TimeoutError):
                await self._receive(idle_since + idle_seconds)
                return bool(self.protocol.trailing_data[0])
        return False

    async def read(self) -> HttpRequest | None:
        """Read one complete request; return None if the caller closed the connection before it.

        Raises
        ------
        RequestError
            If the request is malformed, too large, or does not arrive in time.
        CallerDisconnectedError
            If the caller closes the connection within the request.
        """
        limits = self.read_limits()
        expires_at = listening_seconds() + limits.request_seconds
        head = await self._read_head(expires_at)
        if head is None:
            return None
        received_at = self.clock.monotonic()
        self._reserve(parse_content_length(head, limits.max_body_bytes))
        body = await self._read_body(expires_at, limits.max_body_bytes)
        return build_request(head, body, received_at, self.id_header_name)

    def release_body(self) -> None:
        """Release the bytes reserved for the body of the last request."""
        self.budget.release(self.reserved_bytes)
        self.reserved_bytes = 0

    def _reserve(self, size: int) -> None:
        self.budget.reserve(size)
        self.reserved_bytes += size

    async def _read_head(self, expires_at: float) -> h11.Request | None:
        while True:
            await self.turn.count_piece()
            before = self.protocol.trailing_data[0]
            event = self._next_event()
            if isinstance(event, h11.Request):
                consumed = len(before) - len(self.protocol.trailing_data[0])
                check_framing(before[:consumed])
                return event
            if not isinstance(event, type(h11.NEED_DATA)):
                return None
            await self._receive_in_time(expires_at, 'head')

    async def _read_body(self, expires_at: float, max_bytes: int) -> bytes:
        body = bytearray()
        while True:
            await self.turn.count_piece()
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.ConnectionClosed):
                raise CallerDisconnectedError('caller closed the connection within a request')
            if isinstance(event, h11.Data):
                body += event.data
                check_body_size(len(body), max_bytes)
                self._reserve(max(0, len(body) - self.reserved_bytes))
            else:
                await self._receive_in_time(expires_at, 'body')

    async def _receive_in_time(self, expires_at: float, part: str) -> None:
        try:
            await self._receive(expires_at)
        except TimeoutError:
            raise make_read_error(
                f'the {part} of the request did not arrive in time',
                code='request_timeout',
                status=HTTPStatus.REQUEST_TIMEOUT,
            ) from None

    async def _receive(self, expires_at: float) -> None:
        if self.protocol.they_are_waiting_for_100_continue:
            self.writer.write(self.protocol.send(h11.InformationalResponse(status_code=100, headers=[])))
        self.turn.begin()
        async with time_limit_at(expires_at):
            chunk = await self.reader.read(MAX_READ_BYTES)
        self.protocol.receive_data(chunk)

    def _next_event(self) -> Any:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as exc:
            raise make_read_error(
                f'malformed HTTP: {exc}', code='malformed_http', status=exc.error_status_hint
            ) from None


def describe_peer(writer: asyncio.StreamWriter) -> str:
    """Return the address of the peer of a connection, for logs."""
    address = writer.transport.get_extra_info('peername')
    return f'{address[0]}:{address[1]}' if address else 'unknown'
