"""HTTP/1.1 server: one task a connection owns its socket and its h11 state."""

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import h11
from loguru import logger

from tamarackfield.core.clock import SYSTEM_CLOCK, Clock
from tamarackfield.core.errors import RequestError
from tamarackfield.core.outcome import Outcome
from tamarackfield.web.limits import DEFAULT_LIMITS, HttpLimits
from tamarackfield.web.reading import READ_BYTES, BodyBudget, RequestReader
from tamarackfield.web.request import REQUEST_ID_HEADER, HttpRequest, choose_request_id, server_busy
from tamarackfield.web.responder import CallerGoneError, Responder

#: New connections that may wait to be accepted; those of a burst arrive together.
LISTEN_BACKLOG = 512
#: Seconds that a caller is given to read a refusal before its connection is closed.
LINGER_SECONDS = 1.0

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Accepts connections and runs a handler for each request.

    Parameters
    ----------
    handler : callable
        Coroutine function that answers one request; it is cancelled when the caller leaves.
    on_error : callable
        Coroutine function that answers a request that ended in a `RequestError`.
    limits : HttpLimits
        Sizes and times.
    clock : Clock
        Stamps requests with their time of arrival.
    id_header : str
        Header that carries the id of a request, both ways.

    Attributes
    ----------
    retiring : bool
        Whether each connection closes after its next answer, for good.
    shedding : bool
        Whether it does so for now.
    """

    def __init__(
        self,
        handler: Handler,
        on_error: Callable[[RequestError, Responder], Awaitable[None]],
        limits: HttpLimits = DEFAULT_LIMITS,
        clock: Clock = SYSTEM_CLOCK,
        id_header: str = REQUEST_ID_HEADER,
    ) -> None:
        """Prepare a server that does not listen yet."""
        self.clock = clock
        self.id_header = id_header
        self.handler = handler
        self.on_error = on_error
        self.limits = limits
        self.budget = BodyBudget(limits.max_buffered_bytes)
        self.server: asyncio.Server | None = None
        self.busy: set[asyncio.Task[None]] = set()
        self.idle: set[asyncio.Task[None]] = set()
        self.retiring = False
        self.shedding = False
        self.draining = False
        self.port = 0

    async def listen(self, host: str, port: int, context: ssl.SSLContext | None = None) -> None:
        """Start to listen; ``port`` 0 takes a free one, which is then in ``self.port``."""
        self.server = await asyncio.start_server(
            self.accept, host, port, limit=READ_BYTES, ssl=context, backlog=LISTEN_BACKLOG
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def retire(self) -> None:
        """Close each connection after its next answer; new ones are still taken."""
        self.retiring = True

    async def shutdown(self) -> None:
        """Stop listening, let running requests finish, close idle connections."""
        self.retire()
        self.draining = True
        if self.server is not None:
            self.server.close()
        for task in list(self.idle):
            task.cancel()
        while self.busy:
            await asyncio.wait(self.busy)

    async def close(self) -> None:
        """Stop listening and end every connection at once."""
        self.draining = True
        if self.server is not None:
            self.server.close()
        for task in (*self.idle, *self.busy):
            task.cancel()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        connection = _Connection(self, reader, writer)
        opened = len(self.idle) + len(self.busy)
        self.idle.add(task)
        try:
            await connection.begin(opened)
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
        self.requests = RequestReader(reader, writer, server.limits, server.budget, server.clock, server.id_header)
        self.protocol = self.requests.protocol

    async def begin(self, opened: int) -> None:
        """Serve the connection, or turn it away if too many others are open."""
        limit = self.server.limits.max_connections
        if opened < limit:
            await self.serve()
        elif opened < 2 * limit:
            await self.turn_away()

    async def serve(self) -> None:
        """Answer requests until the connection ends."""
        while not self.server.draining and await self.requests.wait_first_byte():
            self.server.mark_busy(busy=True)
            try:
                may_go_on = await self._answer_one()
            finally:
                self.requests.release()
                self.server.mark_busy(busy=False)
            if not may_go_on:
                return
            self.protocol.start_next_cycle()

    async def turn_away(self) -> None:
        """Refuse a connection for which there is no room."""
        responder = self._make_responder()
        await self._refuse(server_busy('too many connections are open', code='too_many_connections'), responder)

    async def _answer_one(self) -> bool:
        """Answer one request; return whether another may follow on this connection."""
        responder = self._make_responder()
        try:
            request = await self.requests.read()
            if request is None:
                return False
            await self._handle(request, responder)
        except RequestError as exc:
            await self._refuse(exc, responder)
            return False
        states = {self.protocol.our_state, self.protocol.their_state}
        return not responder.close_after and states == {h11.DONE}

    def _make_responder(self) -> Responder:
        server = self.server
        responder = Responder(
            self.protocol,
            self.writer,
            server.limits.write_seconds,
            lambda: server.retiring or server.shedding,
            server.id_header,
        )
        responder.request_id = choose_request_id('')
        return responder

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        responder.request_id = request.request_id
        responder.head_only = request.method == 'HEAD'
        work = asyncio.ensure_future(self._guard(request, responder))
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

    async def _guard(self, request: HttpRequest, responder: Responder) -> None:
        """Run the handler; an unexpected exception becomes a `RequestError`."""
        try:
            await self.server.handler(request, responder)
        except (RequestError, CallerGoneError, OSError):
            raise
        except Exception as exc:
            bound = logger.bind(request_id=request.request_id, path=request.path, step='handle', error=repr(exc))
            bound.opt(exception=exc).error('handler_failed')
            raise internal_error(Outcome.UNKNOWN) from exc

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
            async with asyncio.timeout(LINGER_SECONDS):
                await self._discard()

    async def _discard(self) -> None:
        left = b'unread'
        while left:
            left = await self.reader.read(READ_BYTES)


def internal_error(outcome: Outcome) -> RequestError:
    """Build the error for a fault of this process.

    Parameters
    ----------
    outcome : Outcome
        What is known of the run.

    Returns
    -------
    RequestError
        With status 500.
    """
    return RequestError(
        'this process failed while it handled the request',
        step='handle',
        outcome=outcome,
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        code='internal_error',
    )


async def _stop(work: asyncio.Future[Any]) -> None:
    work.cancel()
    await asyncio.wait((work,))
