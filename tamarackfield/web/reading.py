"""Reads requests from one connection: framing, sizes and times are checked on arrival."""

import asyncio
from http import HTTPStatus
from typing import Any

import h11

from tamarackfield.core.clock import SYSTEM_CLOCK, Clock
from tamarackfield.web.limits import HttpLimits
from tamarackfield.web.request import (
    MAX_HEAD_BYTES,
    REQUEST_ID_HEADER,
    HttpRequest,
    bad_request,
    build_request,
    check_framing,
    check_size,
    server_busy,
    stated_length,
)
from tamarackfield.web.responder import CallerGoneError

#: Bytes read from a socket at once.
READ_BYTES = 65_536


class BodyBudget:
    """Bytes of request bodies that one server may hold at once.

    Parameters
    ----------
    limit : int
        Bytes.
    """

    def __init__(self, limit: int) -> None:
        """Start with nothing held."""
        self.limit = limit
        self.held = 0

    def take(self, size: int) -> None:
        """Count bytes as held.

        Raises
        ------
        RequestError
            If there is no room for them; they are not counted then.
        """
        if self.held + size > self.limit:
            raise server_busy('too many request bodies are held at the moment', code='too_much_buffered')
        self.held += size

    def give_back(self, size: int) -> None:
        """Count bytes as dropped."""
        self.held -= size


class RequestReader:
    """Reads the requests of one connection.

    Parameters
    ----------
    reader, writer : asyncio streams
        The connection.
    limits : HttpLimits
        Sizes and times.
    budget : BodyBudget
        Shared by all connections of the server.
    clock : Clock
        Stamps requests with their time of arrival.
    id_header : str
        Header that carries the id of a request.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
        budget: BodyBudget,
        clock: Clock = SYSTEM_CLOCK,
        id_header: str = REQUEST_ID_HEADER,
    ) -> None:
        """Start with nothing read."""
        self.clock = clock
        self.id_name = id_header.lower()
        self.reader = reader
        self.writer = writer
        self.limits = limits
        self.budget = budget
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.held = 0

    async def wait_first_byte(self) -> bool:
        """Wait until a request begins; False if the caller leaves or stays idle for too long."""
        if self.protocol.trailing_data[0]:
            return True
        try:
            await self._receive(SYSTEM_CLOCK.monotonic() + self.limits.idle_seconds)
        except TimeoutError:
            return False
        return bool(self.protocol.trailing_data[0])

    async def read(self) -> HttpRequest | None:
        """Read one request whole; None if the caller closed the connection before it.

        Raises
        ------
        RequestError
            If the request is malformed, too large or too slow.
        CallerGoneError
            If the caller leaves inside the request.
        """
        expires_at = SYSTEM_CLOCK.monotonic() + self.limits.request_seconds
        head = await self._read_head(expires_at)
        if head is None:
            return None
        received_at = self.clock.monotonic()
        self._hold(stated_length(head, self.limits.max_body_bytes))
        body = await self._read_body(expires_at)
        return build_request(head, body, received_at, self.id_name)

    def release(self) -> None:
        """Count the body of the last request as dropped."""
        self.budget.give_back(self.held)
        self.held = 0

    def _hold(self, size: int) -> None:
        self.budget.take(size)
        self.held += size

    async def _read_head(self, expires_at: float) -> h11.Request | None:
        while True:
            before = self.protocol.trailing_data[0]
            event = self._next_event()
            if isinstance(event, h11.Request):
                consumed = len(before) - len(self.protocol.trailing_data[0])
                check_framing(before[:consumed])
                return event
            if not isinstance(event, type(h11.NEED_DATA)):
                return None
            await self._receive_in_time(expires_at, 'head')

    async def _read_body(self, expires_at: float) -> bytes:
        body = bytearray()
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.ConnectionClosed):
                raise CallerGoneError('caller left inside a request')
            if isinstance(event, h11.Data):
                body += event.data
                check_size(len(body), self.limits.max_body_bytes)
                self._hold(max(0, len(body) - self.held))
            else:
                await self._receive_in_time(expires_at, 'body')

    async def _receive_in_time(self, expires_at: float, part: str) -> None:
        try:
            await self._receive(expires_at)
        except TimeoutError:
            raise bad_request(
                f'the {part} of the request did not arrive in time',
                code='request_timeout',
                status=HTTPStatus.REQUEST_TIMEOUT,
            ) from None

    async def _receive(self, expires_at: float) -> None:
        if self.protocol.they_are_waiting_for_100_continue:
            self.writer.write(self.protocol.send(h11.InformationalResponse(status_code=100, headers=[])))
        async with asyncio.timeout(expires_at - SYSTEM_CLOCK.monotonic()):
            chunk = await self.reader.read(READ_BYTES)
        self.protocol.receive_data(chunk)

    def _next_event(self) -> Any:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as exc:
            raise bad_request(f'malformed HTTP: {exc}', code='malformed_http', status=exc.error_status_hint) from None
