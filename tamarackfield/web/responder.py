"""The answer to one request."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import h11

from tamarackfield.core.clock import SYSTEM_CLOCK
from tamarackfield.web.request import REQUEST_ID_HEADER

_JSON_TYPE = ('Content-Type', 'application/json')


def _never() -> bool:
    return False


class CallerGoneError(Exception):
    """The caller closed the connection, or does not read."""


class Responder:
    """Writes one answer to the caller.

    Parameters
    ----------
    connection : h11.Connection
        Protocol state of the connection.
    writer : asyncio.StreamWriter
        The connection.
    write_seconds : float
        Time that one write may wait for the caller to read.
    retiring : callable
        Tells whether the connection must close after this answer; asked when the head is sent.
    id_header : str
        Header that carries the id of the request.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        write_seconds: float,
        retiring: Callable[[], bool] = _never,
        id_header: str = REQUEST_ID_HEADER,
    ) -> None:
        """Start with nothing sent."""
        self.id_header = id_header
        self.connection = connection
        self.writer = writer
        self.write_seconds = write_seconds
        self.request_id = ''
        self.head_only = False
        self.started = False
        self.first_byte_at = 0.0
        self.finished = False
        self.close_after = False
        self.retiring = retiring

    async def send_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers, with the request's id among them."""
        self.close_after = self.close_after or self.retiring()
        if self.close_after:
            headers = [*headers, ('Connection', 'close')]
        if self.request_id:
            kept = [pair for pair in headers if pair[0].lower() != self.id_header.lower()]
            headers = [*kept, (self.id_header, self.request_id)]
        head = h11.Response(status_code=status, headers=headers)
        self.started = True
        await self._write(head)

    async def send_body(self, chunk: bytes) -> None:
        """Send part of the body and wait until the caller has room for more."""
        self.first_byte_at = self.first_byte_at or SYSTEM_CLOCK.monotonic()
        if not self.head_only:
            await self._write(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Mark the answer as whole."""
        await self._write(h11.EndOfMessage())
        self.finished = True

    async def send_json(self, status: int, document: Any, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Send a whole answer in JSON."""
        body = json.dumps(document).encode()
        await self.send_head(status, [_JSON_TYPE, ('Content-Length', str(len(body))), *headers])
        await self.send_body(body)
        await self.finish()

    async def _write(self, event: Any) -> None:
        encoded = self.connection.send(event)
        if encoded:
            self.writer.write(encoded)
        if not self.writer.transport.get_write_buffer_size():
            return
        try:
            async with asyncio.timeout(self.write_seconds):
                await self.writer.drain()
        except (OSError, TimeoutError) as exc:
            raise CallerGoneError(repr(exc)) from exc
