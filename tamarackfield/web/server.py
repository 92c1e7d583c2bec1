"""HTTP/1.1 server; one task for each connection owns its socket and its h11 state."""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import h11
from loguru import logger

from tamarackfield.core.clock import SYSTEM_CLOCK, Clock
from tamarackfield.core.connections import ConnectionServer, cancel_and_wait
from tamarackfield.core.errors import RequestError
from tamarackfield.core.outcome import Outcome
from tamarackfield.core.time_limits import listen_for, time_limit
from tamarackfield.web.answer_budget import AnswerBudget
from tamarackfield.web.limits import DEFAULT_LIMITS, HttpLimits
from tamarackfield.web.request import REQUEST_ID_HEADER, HttpRequest, choose_request_id, make_overload_error
from tamarackfield.web.request_end import record_unread, recorded_end
from tamarackfield.web.request_reader import MAX_READ_BYTES, BodyBudget, RequestReader
from tamarackfield.web.responder import (
    HANDLER_ERRORS,
    AnswerCutError,
    CallerDisconnectedError,
    Responder,
    reset_connection,
)

#: Limit on connections that wait to be accepted; a burst of callers connects at once.
LISTEN_BACKLOG = 512
#: Time after the end of listening in which a request that was on its way arrives and is still answered.
LAST_REQUEST_SECONDS = 0.25
#: Time that a caller has to read a refusal before its connection is closed.
LINGER_SECONDS = 1.0

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Accepts connections and runs a handler for each request.

    Parameters
    ----------
    handler : callable
        Coroutine function that answers one request; it is cancelled if the caller closes the connection.
    on_error : callable
        Coroutine function that answers a request that ended in a `RequestError`.
    limits : HttpLimits
        Limits on sizes and times.
    clock : Clock
        Clock for the arrival times of requests.
    id_header : str
        Name of the header that carries the request id, in requests and answers.
    answers : AnswerBudget, optional
        Budget that counts what callers do not read; None to count nothing.

    Attributes
    ----------
    keep_alive_disabled : bool
        Whether each connection closes after its next answer until the process ends.
    shedding : bool
        Whether each connection closes after its next answer while load is shed.
    draining : bool
        Whether the server takes no further request, also not on a connection whose answer ends now.
    idle, busy : set
        Tasks of the connections without and with a request in progress.
    count_unanswered : callable
        Called with the reason when a whole request ended without a whole answer or refusal.
    """

    def __init__(
        self,
        handler: Handler,
        on_error: Callable[[RequestError, Responder], Awaitable[None]],
        limits: HttpLimits = DEFAULT_LIMITS,
        clock: Clock = SYSTEM_CLOCK,
        id_header: str = REQUEST_ID_HEADER,
        answers: AnswerBudget | None = None,
    ) -> None:
        """Create a server that does not listen yet."""
        self.clock = clock
        self.id_header = id_header
        self.answers = answers
        self.handler = handler
        self.on_error = on_error
        self.limits = limits
        self.budget = BodyBudget(limits.max_buffered_bytes)
        self.server = ConnectionServer(self.serve_connection)
        self.busy: set[asyncio.Task[None]] = set()
        self.idle: set[asyncio.Task[None]] = set()
        self.keep_alive_disabled = False
        self.shedding = False
        self.draining = False
        self.port = 0
        self.count_unanswered: Callable[[str], None] = _ignore_reason

    async def listen(self, host: str, port: int, context: ssl.SSLContext | None = None) -> None:
        """Start to listen; with ``port`` 0 the kernel chooses a free port, which is stored in ``self.port``."""
        self.port = await self.server.listen(host, port, limit=MAX_READ_BYTES, ssl=context, backlog=LISTEN_BACKLOG)

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer; new connections are still accepted."""
        self.keep_alive_disabled = True

    async def shutdown(self) -> None:
        """Stop listening, answer the requests that have arrived or are on their way, and close all connections."""
        self.disable_keep_alive()
        await self.server.accept_established()
        self.server.stop_listening()
        await listen_for(LAST_REQUEST_SECONDS)
        self.draining = True
        for task in list(self.idle):
            task.cancel()
        while self.busy:
            await asyncio.wait(self.busy)
        await self.server.close()

    async def close(self) -> None:
        """Stop listening, close all connections immediately and wait until their tasks have ended."""
        await self.server.close()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        bound_buffers(writer.transport, self.limits)
        connection_state = _Connection(self, reader, writer)
        open_connections = len(self.idle) + len(self.busy)
        self.idle.add(task)
        try:
            await connection_state.serve_or_refuse(open_connections)
        except asyncio.CancelledError:
            logger.debug('connection_cancelled')
        except (OSError, CallerDisconnectedError, h11.ProtocolError) as exc:
            logger.bind(error=repr(exc)).debug('connection_ended')
        finally:
            self._remove_task(task)
            await self._close_connection(connection_state)

    async def _close_connection(self, connection_state: '_Connection') -> None:
        transport = connection_state.writer.transport
        connection_state.writer.close()
        if transport.get_write_buffer_size():
            # A closed transport keeps its descriptor until its peer has read everything.
            asyncio.get_running_loop().call_later(self.limits.write_seconds, reset_connection, transport)
        await record_unread(connection_state.request_reader, self.count_unanswered)

    def _remove_task(self, task: asyncio.Task[None]) -> None:
        self.idle.discard(task)
        self.busy.discard(task)

    def mark_busy(self, busy: bool) -> None:
        """Record whether the connection of the current task has a request in progress."""
        task = asyncio.current_task()
        (self.idle if busy else self.busy).discard(task)
        (self.busy if busy else self.idle).add(task)


class _Connection:
    """Serves one connection and keeps its protocol state."""

    def __init__(self, server: HttpServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.reader = reader
        self.writer = writer
        self.request_reader = RequestReader(
            reader, writer, lambda: server.limits, server.budget, server.clock, server.id_header
        )
        self.protocol = self.request_reader.protocol

    async def serve_or_refuse(self, open_connections: int) -> None:
        """Serve the connection; refuse it at the limit on open connections, drop it at twice the limit."""
        limit = self.server.limits.max_connections
        if open_connections < limit:
            await self.serve()
        elif open_connections < 2 * limit:
            await self.refuse_connection()

    async def serve(self) -> None:
        """Answer requests until the connection or the server closes."""
        while not self.server.draining and await self.request_reader.wait_for_first_byte():
            self.server.mark_busy(busy=True)
            try:
                may_continue = await self._answer_request()
            finally:
                self.request_reader.release_body()
                self.server.mark_busy(busy=False)
            if not may_continue:
                return
            self.protocol.start_next_cycle()

    async def refuse_connection(self) -> None:
        """Answer that too many connections are open."""
        responder = self._make_responder()
        await self._send_refusal(
            make_overload_error('too many connections are open', code='too_many_connections'), responder
        )

    async def _answer_request(self) -> bool:
        """Answer one request; return whether the connection can be reused."""
        responder = self._make_responder()
        try:
            request = await self.request_reader.read()
        except RequestError as exc:
            await self._send_refusal(exc, responder)
            return False
        if request is None:
            return False
        with recorded_end(request, responder, self.server.count_unanswered):
            return await self._answer_whole_request(request, responder)

    async def _answer_whole_request(self, request: HttpRequest, responder: Responder) -> bool:
        try:
            await self._handle_request(request, responder)
        except RequestError as exc:
            await self._send_refusal(exc, responder)
            return False
        states = {self.protocol.our_state, self.protocol.their_state}
        return not responder.close_after_answer and states == {h11.DONE}

    def _make_responder(self) -> Responder:
        server = self.server
        responder = Responder(
            self.protocol,
            self.writer,
            server.limits.write_seconds,
            lambda: server.keep_alive_disabled or server.shedding,
            server.id_header,
            server.answers,
        )
        responder.request_id = choose_request_id('')
        responder.is_last = lambda: server.draining
        return responder

    async def _handle_request(self, request: HttpRequest, responder: Responder) -> None:
        responder.request_id = request.request_id
        responder.head_only = request.method == 'HEAD'
        handler_task = asyncio.ensure_future(self._run_handler(request, responder))
        early_read = asyncio.ensure_future(self.reader.read(1))
        try:
            await asyncio.wait((handler_task, early_read), return_when=asyncio.FIRST_COMPLETED)
            if early_read.done() and not handler_task.done():
                await self._check_early_read(early_read, handler_task, responder)
            await handler_task
        finally:
            await cancel_and_wait((early_read, handler_task), HANDLER_ERRORS)
        self._buffer_early_byte(early_read)

    async def _run_handler(self, request: HttpRequest, responder: Responder) -> None:
        """Run the handler; convert an unexpected exception into a `RequestError`."""
        try:
            await self.server.handler(request, responder)
        except HANDLER_ERRORS:
            raise
        except Exception as exc:
            bound = logger.bind(request_id=request.request_id, path=request.path, step='handle', error=repr(exc))
            bound.opt(exception=exc).error('handler_failed')
            raise make_internal_error(Outcome.UNKNOWN) from exc

    async def _check_early_read(
        self, early_read: asyncio.Future[bytes], handler_task: asyncio.Future[None], responder: Responder
    ) -> None:
        if early_read.exception() is None and early_read.result():
            return
        await cancel_and_wait((handler_task,), HANDLER_ERRORS)
        if responder.cut_reason:
            raise AnswerCutError(responder.cut_reason)
        raise CallerDisconnectedError('caller closed the connection')

    def _buffer_early_byte(self, early_read: asyncio.Future[bytes]) -> None:
        if early_read.cancelled() or early_read.exception() is not None:
            return
        self.protocol.receive_data(early_read.result())

    async def _send_refusal(self, error: RequestError, responder: Responder) -> None:
        if responder.head_sent:
            return
        responder.close_after_answer = True
        if self.protocol.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self.server.on_error(error, responder)
            await self._linger()

    async def _linger(self) -> None:
        """Keep the connection open for up to `LINGER_SECONDS`, so that the caller can read the refusal."""
        with contextlib.suppress(OSError, TimeoutError):
            if self.writer.can_write_eof():
                self.writer.write_eof()
            async with time_limit(LINGER_SECONDS):
                await self._discard_input()

    async def _discard_input(self) -> None:
        chunk = b'unread'
        while chunk:
            chunk = await self.reader.read(MAX_READ_BYTES)


def bound_buffers(transport: asyncio.WriteTransport, limits: HttpLimits) -> None:
    """Bound what a connection buffers of an answer, in this process and in the kernel, if there are such limits."""
    if limits.write_buffer_bytes:
        transport.set_write_buffer_limits(high=limits.write_buffer_bytes)
    if limits.send_queue_bytes:
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, limits.send_queue_bytes)


def _ignore_reason(reason: str) -> None:
    """Count nothing; the reason has been logged."""


def make_internal_error(outcome: Outcome) -> RequestError:
    """Build the error for an unexpected exception in this process.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the request as far as it is known.

    Returns
    -------
    RequestError
        Error with HTTP status 500.
    """
    return RequestError(
        'this process failed while it handled the request',
        step='handle',
        outcome=outcome,
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        code='internal_error',
    )
