"""Callers of a soak: each keeps its connection until the entry ends it, and some leave early."""

import asyncio
import random
from dataclasses import dataclass
from http import HTTPStatus

import h11

from tamarackfield.core import SYSTEM_CLOCK, Address
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.testing.platform_site import HOST_NAME
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection
from tamarackfield.web.pool import ConnectionPool

#: Longest idle time in seconds of a caller's connection; the entry keeps them for longer.
REUSE_SECONDS = 12.0
#: Seconds beyond its deadline after which a call that was not answered counts as held.
HELD_SECONDS = 5.0
#: Share of calls whose caller leaves before the answer.
LEAVING_SHARE = 0.1
#: Adapters that are asked for; more than the places of a worker.
ADAPTERS = 8
#: Routes of the stand-in's configuration, with their weights.
PATHS = {'/look/x': 4, '/file/x': 3, '/draft/x': 2, '/summary/x': 2}
#: Routes whose calls run at most once.
ONCE = ('/file/x', '/draft/x')
STREAMS = ('/draft/x', '/summary/x')


@dataclass(slots=True)
class Call:
    """One call of a caller and how it ended.

    Parameters
    ----------
    request_id, path, entry : str
        Of the call.
    life : int
        Process that was asked.
    sent_at, deadline : float
        Monotonic seconds.
    left_at : float
        Monotonic seconds at which its caller left or lost its connection; 0 if it did not.
    held : bool
        Whether its caller gave up because nothing came long after the deadline.
    ended_at : float
        Monotonic seconds; 0 while it is open.
    status : int
        HTTP status; 0 if there was no answer.
    whole : bool
        Whether the answer came to its end.
    body : bytes
        What came of it.
    retry_after : str
        As the answer named it.
    """

    request_id: str
    path: str
    entry: str
    life: int
    sent_at: float
    deadline: float
    left_at: float = 0.0
    held: bool = False
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    body: bytes = b''
    retry_after: str = ''

    def is_answered(self) -> bool:
        """Tell whether the caller has a whole answer of success."""
        return self.whole and self.status == HTTPStatus.OK


class Caller:
    """One caller of one entry.

    Parameters
    ----------
    address : tuple of str and int
        Of the entry.
    rng : random.Random
        Draws adapters and who leaves.
    """

    def __init__(self, address: Address, rng: random.Random) -> None:
        """Start without a connection."""
        self.address = address
        self.rng = rng
        self.pool = ConnectionPool()

    async def make(self, call: Call) -> None:
        """Make a call and note how it ended."""
        left = call.deadline - SYSTEM_CLOCK.monotonic()
        leaves = self.rng.random() < LEAVING_SHARE
        patience = self.rng.uniform(0, left) if leaves else left + HELD_SECONDS
        connection: TargetConnection | None = None
        try:
            async with asyncio.timeout(patience):
                connection = await self.pool.acquire(self.address, REUSE_SECONDS)
                connection.send(self._make_request(call), b'prompt')
                await _receive(connection, call)
        except TimeoutError:
            call.left_at = SYSTEM_CLOCK.monotonic()
            call.held = not leaves
        except ClientError:
            call.left_at = SYSTEM_CLOCK.monotonic()
        finally:
            if connection is not None:
                self._release(connection, call)
        call.ended_at = SYSTEM_CLOCK.monotonic()

    def close(self) -> None:
        """End the connection."""
        self.pool.close()

    def _make_request(self, call: Call) -> h11.Request:
        left = call.deadline - SYSTEM_CLOCK.monotonic()
        headers = [
            ('Host', HOST_NAME),
            ('Content-Length', '6'),
            ('Tamarackfield-Request-Id', call.request_id),
            ('Tamarackfield-Deadline-Ms', str(round(left * MS_PER_SECOND))),
        ]
        if call.path in STREAMS:
            adapter = min(int(self.rng.expovariate(0.5)), ADAPTERS - 1)
            headers.append(('Tamarackfield-Model', f'base/a{adapter}'))
        return h11.Request(method='POST', target=call.path, headers=headers)

    def _release(self, connection: TargetConnection, call: Call) -> None:
        if call.whole:
            self.pool.release(self.address, connection)
        else:
            connection.fail('caller left')


async def _receive(connection: TargetConnection, call: Call) -> None:
    head = await connection.receive()
    call.status = head.status_code
    call.retry_after = dict(head.headers).get(b'retry-after', b'').decode()
    event = await connection.receive()
    while isinstance(event, h11.Data):
        call.body += event.data
        event = await connection.receive()
    call.whole = True
