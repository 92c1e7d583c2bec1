"""One exchange with a target: what is sent, and what is known of the run afterwards."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import h11

from tamarackfield.core import BOOT_CLOCK
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.model import AnswerHead, Call, HeaderLines
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection
from tamarackfield.web.pool import ConnectionPool

#: Largest answer that is held whole, in bytes; the largest body that callers may send is of this size.
MAX_ANSWER_BYTES = 4_194_304
#: Longest idle time, in seconds, of a connection that carries a call which may not be repeated.
#: A target may drop an idle connection without notice, and such a call is then lost.
FRESH_SECONDS = 1.5
#: The same for a call that may be repeated.
REUSE_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target did not run the call; ``sent`` tells whether it reached the target."""

    reason: str
    sent: bool
    retry_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class MaybeRan:
    """The call may have run and there is no whole answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class Answered:
    """The target's whole answer, not passed on yet."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Streamed:
    """The whole stream was passed on."""

    events: int


Result = NotRun | MaybeRan | Answered | Streamed


class Dialect(Protocol):
    """How calls and answers look on the connections to targets."""

    def request_headers(self, call: Call, target: Target, left_seconds: float, terms: 'CallTerms') -> HeaderLines:
        """Return the header lines of a call to a target."""

    def read_head(self, status: int, headers: HeaderLines) -> AnswerHead:
        """Read the head of an answer."""


@dataclass(frozen=True, slots=True)
class CallTerms:
    """What a target is told besides the call.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    version : int
        Version of the adapter that must run, 0 for any.
    last_event : int
        Last event that the caller has, 0 at the start of a stream.
    """

    priority: int
    version: int = 0
    last_event: int = 0


class Exchange:
    """One call on one connection.

    Parameters
    ----------
    pool : ConnectionPool
        Where the connection comes from.
    dialect : Dialect
        Of the targets.
    call : Call
        That is sent.
    target : Target
        Where it goes.
    """

    def __init__(self, pool: ConnectionPool, dialect: Dialect, call: Call, target: Target) -> None:
        """Start with nothing sent."""
        self.pool = pool
        self.dialect = dialect
        self.call = call
        self.target = target
        self.connection: TargetConnection | None = None
        self.sent_at = 0.0

    async def send(self, terms: CallTerms, reuse_seconds: float, may_send: Callable[[], bool]) -> bool:
        """Send the call; return False if it may no longer be sent, after a connection was found.

        Raises
        ------
        ClientError
            If there is no connection; its ``sent`` is False then.
        """
        connection = await self.pool.acquire(self.target.record.address, reuse_seconds)
        self.connection = connection
        if not may_send():
            return False
        call = self.call
        left = call.deadline - BOOT_CLOCK.monotonic()
        headers = self.dialect.request_headers(call, self.target, left, terms)
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        self.sent_at = BOOT_CLOCK.monotonic()
        connection.send(request, call.body)
        return True

    async def read_head(self) -> AnswerHead:
        """Read the head of the answer to this call; answers to earlier calls are passed over.

        Raises
        ------
        ClientError
            If the connection breaks first.
        """
        connection = self._connection()
        while True:
            event = await connection.receive()
            head = self.dialect.read_head(event.status_code, list(event.headers.raw_items()))
            if head.request_id == self.call.request_id:
                connection.keep_seconds = head.keep_seconds
                return head
            if not head.request_id:
                raise ClientError('answer names no request', 'read_head', connection.peer, sent=True)
            await self._discard()
            connection.restart()

    async def read_body(self) -> bytes:
        """Read the body whole.

        Raises
        ------
        ClientError
            If it is cut or too large.
        """
        connection = self._connection()
        body = bytearray()
        while True:
            event = await connection.receive()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            body += event.data
            if len(body) > MAX_ANSWER_BYTES:
                raise ClientError('answer is too large', 'read_body', connection.peer, sent=True)

    async def next_chunk(self) -> bytes:
        """Return the next part of the body, empty at its end.

        Raises
        ------
        ClientError
            If it is cut.
        """
        event = await self._connection().receive()
        return b'' if isinstance(event, h11.EndOfMessage) else bytes(event.data)

    def close(self) -> None:
        """Keep the connection if the exchange ended cleanly; otherwise the target sees it close."""
        connection = self.connection
        self.connection = None
        if connection is None:
            return
        if connection.busy and connection.ended and not connection.answered:
            self.pool.record_reset(self.target.record.address, connection)
        if connection.busy:
            self.pool.release(self.target.record.address, connection, self.target.max_open)
        else:
            connection.fail('not used')

    async def _discard(self) -> None:
        chunk = b'unread'
        while chunk:
            chunk = await self.next_chunk()

    def _connection(self) -> TargetConnection:
        if self.connection is None:
            raise ClientError('exchange is closed', 'exchange', self.target.record.name, sent=self.sent_at > 0)
        return self.connection


def judge(head: AnswerHead, body: bytes) -> Result:
    """Tell what a whole answer says of the run.

    Parameters
    ----------
    head : AnswerHead
        Of the answer to this call.
    body : bytes
        Whole body.

    Returns
    -------
    Result
        `NotRun` only if the target states it.
    """
    if head.not_run:
        return NotRun(f'target refused with status {head.status}', sent=True)
    if head.status < HTTPStatus.MULTIPLE_CHOICES and not head.genuine:
        return MaybeRan(f'status {head.status} without the mark of the target')
    return Answered(head, body)
