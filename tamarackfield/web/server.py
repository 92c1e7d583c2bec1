"""HTTP/1.1 server: one task a connection owns its socket and its h11 state."""

import asyncio
import contextlib
import json
import ssl
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import h11
from loguru import logger

from tamarackfield.core.clock import SYSTEM_CLOCK
from tamarackfield.core.errors import RequestError
from tamarackfield.web.request import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    HttpRequest,
    bad_request,
    check_framing,
)

#: Seconds in which a whole request must arrive once its first byte came.
REQUEST_TIMEOUT = 10.0
#: Seconds that an idle connection is kept.
IDLE_TIMEOUT = 75.0
#: Seconds that one write may wait for the caller to read.
WRITE_TIMEOUT = 30.0
_READ_BYTES = 65_536
_TIMED_OUT = ('request_timeout', HTTPStatus.REQUEST_TIMEOUT)
_JSON_TYPE = ('Content-Type', 'application/json')


class CallerGoneError(Exception):
    """The caller closed the connection."""


class Responder:
    """Writes one answer to the caller.

    Parameters
    ----------
    connection : h11.Connection
        Protocol state of the connection.
    writer : asyncio.StreamWriter
        The connection.
    """

    def __init__(self, connection: h11.Connection, writer: asyncio.StreamWriter) -> None:
        """Start with nothing sent."""
        self.connection = connection
        self.writer = writer
        self.started = False
        self.finished = False
        self.close_after = False

    async def send_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers."""
        self.started = True
        if self.close_after:
            headers = [*headers, ('Connection', 'close')]
        await self._write(h11.Response(status_code=status, headers=headers))

    async def send_body(self, chunk: bytes) -> None:
        """Send part of the body and wait until the caller has room for more."""
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
            async with asyncio.timeout(WRITE_TIMEOUT):
                await self.writer.drain()
        except (OSError, TimeoutError) as exc:
            raise CallerGoneError(repr(exc)) from exc


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Accepts connections and runs a handler for each request.

    Parameters
    ----------
    handler : callable
        Coroutine function that answers one request; it is cancelled when the caller leaves.
    on_error : callable
        Coroutine function that answers a request that ended in a `RequestError`.
    """

    def __init__(self, handler: Handler, on_error: Callable[[RequestError, Responder], Awaitable[None]]) -> None:
        """Prepare a server that does not listen yet."""
        self.handler = handler
        self.on_error = on_error
        self.server: asyncio.Server | None = None
        self.busy: set[asyncio.Task[None]] = set()
        self.idle: set[asyncio.Task[None]] = set()
        self.draining = False
        self.port = 0

    async def listen(self, host: str, port: int, context: ssl.SSLContext | None = None) -> None:
        """Start to listen; ``port`` 0 takes a free one, which is then in ``self.port``."""
        self.server = await asyncio.start_server(self._serve, host, port, limit=_READ_BYTES, ssl=context)
        self.port = self.server.sockets[0].getsockname()[1]

    async def shutdown(self) -> None:
        """Stop listening, let running requests finish, close idle connections."""
        self.draining = True
        if self.server is not None:
            self.server.close()
        for task in list(self.idle):
            task.cancel()
        while self.busy:
            await asyncio.wait(self.busy)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        exchange = _Connection(self, reader, writer)
        self.idle.add(task)
        try:
            await exchange.serve()
        except asyncio.CancelledError:
            logger.debug('connection_cancelled')
        except (OSError, CallerGoneError, h11.ProtocolError) as exc:
            logger.bind(error=repr(exc)).debug('connection_ended')
        finally:
            self._forget(task)
            writer.close()

    def _forget(self, task: asyncio.Task[None]) -> None:
        self.idle.discard(task)
        self.busy.discard(task)

    def mark_busy(self, busy: bool) -> None:
        """Note whether the current connection task has a request in hand."""
        task = asyncio.current_task()
        (self.idle if busy else self.busy).discard(task)
        (self.busy if busy else self.idle).add(task)


class _Connection:
    """State of one connection."""

    def __init__(self, server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def serve(self) -> None:
        """Answer requests until the connection ends."""
        while not self.server.draining:
            responder = Responder(self.protocol, self.writer)
            try:
                request = await self._read_request()
                if request is None:
                    return
                responder.close_after = self.server.draining
                await self._handle(request, responder)
            except RequestError as exc:
                await self._refuse(exc, responder)
                return
            finally:
                self.server.mark_busy(busy=False)
            if responder.close_after or self.protocol.our_state is not h11.DONE:
                return
            if self.protocol.their_state is not h11.DONE:
                return
            self.protocol.start_next_cycle()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        work = asyncio.ensure_future(self.server.handler(request, responder))
        watch = asyncio.ensure_future(self.reader.read(1))
        await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
        try:
            if watch.done() and not work.done():
                await self._pipelined_or_gone(watch, work)
            await work
        finally:
            await _stop(watch)
            await _stop(work)
        self._keep_early_byte(watch)

    async def _pipelined_or_gone(self, watch: asyncio.Future[bytes], work: asyncio.Future[None]) -> None:
        if watch.exception() is None and watch.result():
            return
        await _stop(work)
        raise CallerGoneError('caller closed the connection')

    def _keep_early_byte(self, watch: asyncio.Future[bytes]) -> None:
        if watch.cancelled() or watch.exception() is not None:
            return
        self.protocol.receive_data(watch.result())

    async def _refuse(self, error: RequestError, responder: Responder) -> None:
        if responder.started:
            return
        responder.close_after = True
        if self.protocol.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self.server.on_error(error, responder)
            await self._linger()

    async def _linger(self) -> None:
        """Give the caller a moment to read the refusal before the connection is closed."""
        with contextlib.suppress(OSError, TimeoutError):
            if self.writer.can_write_eof():
                self.writer.write_eof()
            async with asyncio.timeout(1):
                await self._discard()

    async def _discard(self) -> None:
        left = b'unread'
        while left:
            left = await self.reader.read(_READ_BYTES)

    async def _read_request(self) -> HttpRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        self.server.mark_busy(busy=True)
        received_at = SYSTEM_CLOCK.monotonic()
        body = await self._read_body()
        path, _, query = head.target.decode('ascii').partition('?')
        headers = {name.decode('ascii'): text.decode('latin-1') for name, text in head.headers}
        return HttpRequest(head.method.decode('ascii'), path, query, headers, body, received_at)

    async def _read_head(self) -> h11.Request | None:
        expires_at = SYSTEM_CLOCK.monotonic() + IDLE_TIMEOUT
        while True:
            before = self.protocol.trailing_data[0]
            event = self._next_event()
            if isinstance(event, h11.Request):
                consumed = len(before) - len(self.protocol.trailing_data[0])
                check_framing(before[:consumed])
                return event
            if not isinstance(event, type(h11.NEED_DATA)):
                return None
            if before and not self.server.busy.intersection({asyncio.current_task()}):
                self.server.mark_busy(busy=True)
                expires_at = SYSTEM_CLOCK.monotonic() + REQUEST_TIMEOUT
            try:
                await self._receive(expires_at)
            except TimeoutError:
                if before:
                    raise bad_request('the request head did not arrive in time', *_TIMED_OUT) from None
                return None

    async def _read_body(self) -> bytes:
        expires_at = SYSTEM_CLOCK.monotonic() + REQUEST_TIMEOUT
        body = bytearray()
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.ConnectionClosed):
                raise CallerGoneError('caller left inside a request')
            if isinstance(event, h11.Data):
                body += event.data
                _check_size(body)
            else:
                await self._receive_body(expires_at)

    async def _receive_body(self, expires_at: float) -> None:
        try:
            await self._receive(expires_at)
        except TimeoutError:
            raise bad_request('the body did not arrive in time', *_TIMED_OUT) from None

    async def _receive(self, expires_at: float) -> None:
        if self.protocol.they_are_waiting_for_100_continue:
            self.writer.write(self.protocol.send(h11.InformationalResponse(status_code=100, headers=[])))
        async with asyncio.timeout(expires_at - SYSTEM_CLOCK.monotonic()):
            chunk = await self.reader.read(_READ_BYTES)
        self.protocol.receive_data(chunk)

    def _next_event(self) -> Any:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            raise bad_request(f'malformed HTTP: {exc}', 'malformed_http', status) from None


def _check_size(body: bytearray) -> None:
    if len(body) > MAX_BODY_BYTES:
        raise bad_request(
            f'the body is larger than {MAX_BODY_BYTES} bytes',
            'body_too_large',
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        )


async def _stop(work: asyncio.Future[Any]) -> None:
    work.cancel()
    await asyncio.wait((work,))
