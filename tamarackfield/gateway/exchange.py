"""One request-response exchange with a target, and the outcome that its answer proves."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import h11

from tamarackfield.core import BOOT_CLOCK
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.liveness import StatusDialect
from tamarackfield.gateway.model import AnswerHead, Call, HeaderLines
from tamarackfield.web.answer_budget import HeldBody, read_bounded_body
from tamarackfield.web.answer_room import HeldAnswer
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection
from tamarackfield.web.framing import BodyFraming, find_framing
from tamarackfield.web.pool import ConnectionPool

#: Limit of an answer that is buffered completely, in bytes; equals the largest request body of callers.
MAX_ANSWER_BYTES = 4_194_304
_STATUSES_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
#: Longest idle time, in seconds, of a connection that is reused for a call which may not be repeated.
#: A target may drop an idle connection without notice, and such a call then fails with an unknown outcome.
MAX_IDLE_NON_REPEATABLE_SECONDS = 1.5
#: Longest idle time, in seconds, of a connection that is reused for a call which may be repeated.
MAX_IDLE_REPEATABLE_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class NotRun:
    """Result of a call that the target did not run.

    ``sent`` is whether it reached the target, ``redirected`` whether its sidecar left it to other targets, ``outdated``
    whether what was reserved for it was replaced meanwhile, so that the same target may be asked again, ``full``
    whether its sidecar expects no room for it in time.
    """

    reason: str
    sent: bool
    retry_seconds: float = 0.0
    redirected: bool = False
    outdated: bool = False
    full: bool = False


@dataclass(frozen=True, slots=True)
class MaybeRan:
    """Result of a call that may have run, without a complete answer.

    ``outpaced`` is whether it was ended because its hedge answered, which says nothing against its target.
    """

    reason: str
    outpaced: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """Complete answer of the target, not yet sent to the caller."""

    head: AnswerHead
    body: HeldBody


@dataclass(frozen=True, slots=True)
class Streamed:
    """Result of a stream that was relayed to its end."""


AttemptResult = NotRun | MaybeRan | Answered | Streamed


class Dialect(StatusDialect, Protocol):
    """Format of calls and answers on the connections to targets."""

    def request_headers(
        self, call: Call, target: Target, remaining_seconds: float, options: 'CallOptions'
    ) -> HeaderLines:
        """Return the header lines of a call to a target."""


@dataclass(frozen=True, slots=True)
class CallOptions:
    """Parameters that are sent to a target with a call.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    version : int
        Required version of the adapter, 0 for any.
    last_event : int
        Number of the last event that the caller received, 0 at the start of a stream.
    """

    priority: int
    version: int = 0
    last_event: int = 0


class Exchange:
    """Exchange of one call on one connection.

    Parameters
    ----------
    pool : ConnectionPool
        Pool from which the connection is taken.
    dialect : Dialect
        Formats the call and parses the head of its answer.
    call : Call
        Call to send.
    target : Target
        Target that receives the call.

    Attributes
    ----------
    framing : BodyFraming or None
        Framing of the answer, None before its head.
    suspected_parts : frozenset of str
        Parts of the request that were suspected of a crash when it was sent.
    is_probe : bool
        Whether it was sent although it was in quarantine.
    first_part_at, last_part_at : float
        Monotonic seconds at which the first and the latest part of the body arrived; 0 before the first.
    end_reported : bool
        Whether the sidecar of the target was told that the connection has ended.
    on_limit_change : callable
        Called with the target when an answer changes what is known of its limit.
    """

    def __init__(self, pool: ConnectionPool, dialect: Dialect, call: Call, target: Target) -> None:
        """Prepare an exchange without a connection."""
        self.pool = pool
        self.dialect = dialect
        self.call = call
        self.target = target
        self.connection: TargetConnection | None = None
        self.framing: BodyFraming | None = None
        self.suspected_parts: frozenset[str] = frozenset()
        self.is_probe = False
        self.sent_at = 0.0
        self.first_part_at = 0.0
        self.last_part_at = 0.0
        self.end_reported = False
        self.on_limit_change: Callable[[Target], None] = _ignore_change

    async def send(
        self,
        options: CallOptions,
        max_idle_seconds: float,
        authorize_send: Callable[[], str],
        used_connections: list[TargetConnection],
    ) -> str:
        """Send the call once a connection is open, unless ``authorize_send`` returns why it may not be sent.

        A connection on which the call was sent before is not used again: a second copy of the earlier answer has the
        id of the call and would be taken for the answer to this attempt.

        Returns
        -------
        str
            Why the call was not sent; empty if it was.

        Raises
        ------
        ClientError
            If no connection can be opened; its ``sent`` is False.
        """
        connection = await self.pool.acquire(self.target.record.address, max_idle_seconds, used_connections)
        self.connection = connection
        refusal = authorize_send()
        if refusal:
            return refusal
        call = self.call
        remaining = call.deadline - BOOT_CLOCK.monotonic()
        headers = self.dialect.request_headers(call, self.target, remaining, options)
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        self.sent_at = BOOT_CLOCK.monotonic()
        connection.send(request, call.body)
        used_connections.append(connection)
        return ''

    async def read_head(self) -> AnswerHead:
        """Read the head of the answer to this call; answers to earlier calls are discarded.

        Raises
        ------
        ClientError
            If the connection breaks, or the answer has no request id.
        """
        connection = self._require_connection()
        while True:
            event = await connection.receive()
            head = self.dialect.read_head(event.status_code, list(event.headers.raw_items()))
            self.record_notices(head)
            if head.request_id == self.call.request_id:
                connection.idle_timeout_seconds = head.keep_alive_seconds
                self.framing = find_framing(event)
                return head
            if not head.request_id:
                raise ClientError('answer names no request', 'read_head', connection.peer, sent=True)
            await self._discard_body()
            connection.skip_answer()

    def record_notices(self, head: AnswerHead) -> None:
        """Record what an answer says of its target: that it leaves, wants no request for a while, or only so many."""
        # Another instance at the address refuses the call with this status.
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        if head.leaving:
            self.target.record_leaving_answer()
        if head.pause_seconds:
            self.target.pause(head.pause_seconds, BOOT_CLOCK.monotonic())
        # An answer to another call, or one begun before the limit was stated, does not end it.
        is_newer = head.request_id == self.call.request_id and self.sent_at > self.target.limit_noticed_at
        if head.request_limit is None and not (head.genuine and is_newer):
            return
        if self.target.record_limit(head.request_limit, 'answer', BOOT_CLOCK.monotonic()):
            self.on_limit_change(self.target)

    async def read_body(self, held: HeldAnswer) -> HeldBody:
        """Read the complete body, and count its bytes for ``held``.

        Raises
        ------
        ClientError
            If it is truncated or larger than `MAX_ANSWER_BYTES`.
        """
        return await read_bounded_body(self._require_connection(), self.pool.answers, held, MAX_ANSWER_BYTES)

    async def next_chunk(self) -> bytes:
        """Return the next chunk of the body, empty at its end.

        Raises
        ------
        ClientError
            If the body is truncated.
        """
        event = await self._require_connection().receive()
        if isinstance(event, h11.EndOfMessage):
            return b''
        self.last_part_at = BOOT_CLOCK.monotonic()
        self.first_part_at = self.first_part_at or self.last_part_at
        return bytes(event.data)

    def wrote_seconds(self) -> float:
        """Return the time from the first to the latest part of the body."""
        return self.last_part_at - self.first_part_at

    def has_connection_ended(self) -> bool:
        """Return whether the call was sent and its connection has ended since."""
        return self.sent_at > 0 and self.connection is not None and self.connection.ended

    def describe_end(self) -> str:
        """Return how the answer ended, for logs; empty without an answer."""
        return '' if self.connection is None or self.framing is None else self.connection.describe_end()

    def close(self) -> None:
        """Return the connection to the pool, or close it if the call was not sent.

        The pool closes the connection of an incomplete exchange, so that the target detects the abandoned call.
        """
        connection = self.connection
        self.connection = None
        if connection is None:
            return
        if connection.busy and connection.ended and not connection.has_answer_bytes:
            self.pool.record_reset(self.target.record.address, connection)
        if connection.busy:
            self.pool.release(self.target.record.address, connection, self.target.max_connections)
        else:
            connection.fail('not used')

    async def _discard_body(self) -> None:
        chunk = b'unread'
        while chunk:
            chunk = await self.next_chunk()

    def _require_connection(self) -> TargetConnection:
        if self.connection is None:
            raise ClientError('exchange is closed', 'exchange', self.target.record.name, sent=self.sent_at > 0)
        return self.connection


def classify_answer(head: AnswerHead, body: HeldBody) -> AttemptResult:
    """Return the result that a complete answer proves.

    Parameters
    ----------
    head : AnswerHead
        Head of the answer to this call.
    body : HeldBody
        Complete body of the answer.

    Returns
    -------
    AttemptResult
        `NotRun` only if the target states that it did not run the call.
    """
    if head.not_run:
        return NotRun(f'target refused with status {head.status}', sent=True)
    if head.status < HTTPStatus.MULTIPLE_CHOICES and not head.genuine:
        return MaybeRan(f'status {head.status} without the mark of the target')
    return Answered(head, body)


async def explain_unframed_end(
    exchange: Exchange, head: AnswerHead, body: HeldBody, explain_unproven_end: Callable[[], Awaitable[str]]
) -> str:
    """Return why an answer that only the end of its connection ended is not complete, empty if it is."""
    has_body = head.status not in _STATUSES_WITHOUT_BODY and exchange.call.method != 'HEAD'
    if exchange.framing is not BodyFraming.CLOSE or head.not_run or not has_body:
        return ''
    if not body and head.status < HTTPStatus.MULTIPLE_CHOICES:
        return 'connection was closed before the body'
    return await explain_unproven_end()


def _ignore_change(target: Target) -> None:
    """Do nothing."""
