"""Callers of a soak test: each reuses its connection until the entry closes it, and some disconnect early.

Resting callers leave their connections idle for long; they also send while their entry stands still.
"""

import asyncio
import random
import socket
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

import h11

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK, Address
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.testing.platform_site import HOST_NAME
from tamarackfield.testing.soak.variation import IDLE_LIMITS_SECONDS
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection

#: Idle time after which a caller uses its connection no more: four fifths of the shortest idle limit, as callers may.
MAX_IDLE_SECONDS = 0.8 * min(IDLE_LIMITS_SECONDS)
#: Time after an orderly close in which a reset follows if the request was not read.
RESET_SECONDS = 0.03
#: Time beyond its deadline after which an unanswered call counts as timed out.
UNANSWERED_GRACE_SECONDS = 5.0
#: Share of calls whose caller disconnects before the answer.
DISCONNECT_SHARE = 0.1
#: Number of requested adapters; exceeds the adapter slots of a worker.
ADAPTER_COUNT = 8
#: Request paths, one for each route of the stand-in's configuration, and their weights.
PATH_WEIGHTS = {'/look/x': 4, '/file/x': 3, '/draft/x': 2, '/summary/x': 2}
#: Paths whose calls run at most once.
AT_MOST_ONCE_PATHS = ('/file/x', '/draft/x')
STREAM_PATHS = ('/draft/x', '/summary/x')
#: Part of prompts on which workers crash while the fault of that name lasts, and share of the calls that have it.
CRASHING_PART = 'crashing'
CRASHING_CALLS = 15
_OTHER_PARTS = 3
#: Share of the calls that are one request on which workers crash, while the fault of that name lasts.
CRASHING_REQUESTS = 13


def list_shared_parts(request_id: str) -> list[str]:
    """Return the parts of the prompt of a call that others have as well; its id determines them.

    Examples
    --------
    >>> list_shared_parts('call-31'), list_shared_parts('call-30')
    (['all', 'some1'], ['all', 'crashing', 'some0'])
    """
    number = int(request_id.rpartition('-')[2])
    crashing = [] if number % CRASHING_CALLS else [CRASHING_PART]
    return ['all', *crashing, f'some{number % _OTHER_PARTS}']


@dataclass(frozen=True, slots=True)
class Pace:
    """Bounds, in seconds, of the pauses and deadlines of a caller, and its share of calls on new connections."""

    max_pause_seconds: float
    min_deadline_seconds: float
    max_deadline_seconds: float
    renewal_share: float = 0.0


BUSY = Pace(0.08, 0.5, 5.0)
#: Keeps its connection idle for long, and waits for answers for longer than an entry stands still.
RESTING = Pace(MAX_IDLE_SECONDS, 8.0, 10.0, renewal_share=0.2)


class Close(StrEnum):
    """How an entry closed the connection of a call: after it had read the call, or with a reset."""

    NONE = ''
    READ = 'read'
    RESET = 'reset'


@dataclass(slots=True)
class Call:
    """One call and its outcome.

    Parameters
    ----------
    request_id, path, entry : str
        Request id, request path and name of the entry.
    process_id : int
        Process id of the entry when the call was created.
    sent_at, deadline : float
        Time of sending and deadline in monotonic seconds.
    disconnected_at : float
        Monotonic seconds at which the caller disconnected or lost its connection; 0 if it did not.
    timed_out : bool
        Whether no complete answer arrived within `UNANSWERED_GRACE_SECONDS` after the deadline.
    ended_at : float
        Monotonic seconds at which the call ended; 0 while it is open.
    status : int
        HTTP status; 0 if there was no answer.
    complete : bool
        Whether the end of the answer was received.
    body : bytes
        Received part of the answer's body.
    retry_after : str
        ``Retry-After`` header of the answer; empty if it is absent.
    close : Close
        How the entry closed the connection before the end of the answer, if it did.
    query : str
        Query of a request on which workers may crash, which is one request in all calls with it; empty for others.
    """

    request_id: str
    path: str
    entry: str
    process_id: int
    sent_at: float
    deadline: float
    disconnected_at: float = 0.0
    timed_out: bool = False
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    body: bytes = b''
    retry_after: str = ''
    close: Close = Close.NONE
    query: str = ''

    def is_answered_successfully(self) -> bool:
        """Return whether the caller received a complete answer with status 200."""
        return self.complete and self.status == HTTPStatus.OK


class CallerConnection(TargetConnection):
    """Connection of a caller, which tells whether an entry that closes it had read all that was sent.

    The kernel of an entry answers what is sent to a closed connection, or was not read before the close, by a reset.
    """

    def __init__(self, peer: str) -> None:
        """Create a connection whose transport is not connected yet."""
        super().__init__(peer)
        self.close = Close.NONE

    def eof_received(self) -> bool:
        """Wait whether a reset follows; an idle connection is used no more at once."""
        self.ended = not self.busy
        asyncio.get_running_loop().call_later(RESET_SECONDS, self.end_in_order)
        return True

    def end_in_order(self) -> None:
        """End the exchange unless it has ended meanwhile."""
        if self.ended:
            self.transport.abort()
            return
        sock = self.transport.get_extra_info('socket')
        self.close = Close.RESET if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) else Close.READ
        self.ended = True
        self.parser.receive_data(b'')
        self.wake_waiter()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record a reset."""
        if isinstance(exc, ConnectionResetError):
            self.close = Close.RESET
        super().connection_lost(exc)


class Caller:
    """Caller that sends its calls to one entry.

    Parameters
    ----------
    address : tuple of str and int
        Host and port of the entry.
    rng : random.Random
        Source of adapters and of early disconnections.
    """

    def __init__(self, address: Address, rng: random.Random) -> None:
        """Create a caller without a connection."""
        self.address = address
        self.rng = rng
        self.idle_connection: CallerConnection | None = None

    async def send_call(self, call: Call) -> None:
        """Send a call and record its outcome in it."""
        remaining_seconds = call.deadline - SYSTEM_CLOCK.monotonic()
        disconnects_early = self.rng.random() < DISCONNECT_SHARE
        timeout_seconds = (
            self.rng.uniform(0, remaining_seconds)
            if disconnects_early
            else remaining_seconds + UNANSWERED_GRACE_SECONDS
        )
        connection: CallerConnection | None = None
        try:
            async with asyncio.timeout(timeout_seconds):
                connection = await self._acquire()
                connection.send(self.make_request(call), b'prompt')
                await _receive_answer(connection, call)
        except TimeoutError:
            call.disconnected_at = SYSTEM_CLOCK.monotonic()
            call.timed_out = not disconnects_early
        except (ClientError, OSError):
            call.disconnected_at = SYSTEM_CLOCK.monotonic()
            call.close = Close.NONE if connection is None else connection.close
        finally:
            if connection is not None:
                self._release(connection, call)
        call.ended_at = SYSTEM_CLOCK.monotonic()

    def close(self) -> None:
        """Close the idle connection."""
        if self.idle_connection is not None:
            self.idle_connection.fail('caller ends')
        self.idle_connection = None

    async def _acquire(self) -> CallerConnection:
        """Return the idle connection, or open a new one."""
        connection = self.idle_connection
        self.idle_connection = None
        if connection is not None:
            if not connection.ended and BOOT_CLOCK.monotonic() - connection.released_at < MAX_IDLE_SECONDS:
                return connection
            connection.fail('idle for too long')
        connection = CallerConnection(self.address[0])
        await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
        return connection

    def make_request(self, call: Call) -> h11.Request:
        """Return the request of a call."""
        remaining_seconds = call.deadline - SYSTEM_CLOCK.monotonic()
        headers = [
            ('Host', HOST_NAME),
            ('Content-Length', '6'),
            ('Tamarackfield-Request-Id', call.request_id),
            ('Tamarackfield-Deadline-Ms', str(round(remaining_seconds * MS_PER_SECOND))),
        ]
        if call.path in STREAM_PATHS:
            drawn = min(int(self.rng.expovariate(0.5)), ADAPTER_COUNT - 1)
            adapter = 0 if call.query else drawn
            headers.append(('Tamarackfield-Model', f'base/a{adapter}'))
            # Calls with a query are one request, which has the same shared parts whatever its id.
            shared_parts = ['all', call.query.removeprefix('?')] if call.query else list_shared_parts(call.request_id)
            parts = [*shared_parts, call.request_id]
            headers.append(('Tamarackfield-Prompt-Prefix', ','.join(f'{part}:10' for part in parts)))
        return h11.Request(method='POST', target=f'{call.path}{call.query}', headers=headers)

    def _release(self, connection: CallerConnection, call: Call) -> None:
        if not call.complete:
            connection.fail('caller disconnected')
        elif connection.release():
            self.idle_connection = connection


async def _receive_answer(connection: TargetConnection, call: Call) -> None:
    head = await connection.receive()
    call.status = head.status_code
    call.retry_after = dict(head.headers).get(b'retry-after', b'').decode()
    event = await connection.receive()
    while isinstance(event, h11.Data):
        call.body += event.data
        event = await connection.receive()
    call.complete = True
