"""Kept connections to targets that drop idle ones without notice."""

import asyncio
import math

import h11
import pytest

from tamarackfield.core.clock import BOOT_CLOCK
from tamarackfield.web.client import ClientError
from tamarackfield.web.pool import ConnectionPool

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class ForgetfulTarget:
    """Answers on new connections; resets one whose next request comes while it is told to forget."""

    def __init__(self):
        self.forgets = False
        self.accepted = 0
        self.server = None

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        return self

    async def __aexit__(self, *_):
        self.server.close()

    @property
    def address(self):
        return self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.accepted += 1
        fresh = True
        while await reader.readuntil(b'\r\n\r\n'):
            if self.forgets and not fresh:
                writer.transport.abort()
                return
            fresh = False
            writer.write(ANSWER)


async def call(pool, address, max_idle_seconds=6.0):
    """Make one exchange as an entry does."""
    connection = await pool.acquire(address, max_idle_seconds)
    try:
        connection.send(h11.Request(method='GET', target='/', headers=[('Host', 'a')]), b'')
        event = await connection.receive()
        while not isinstance(event, h11.EndOfMessage):
            event = await connection.receive()
    finally:
        if connection.ended and not connection.answered:
            pool.record_reset(address, connection)
        pool.release(address, connection)


async def lose_call_after_rest(pool, target):
    """Make a call, and another on the same connection once the target has forgotten it."""
    await call(pool, target.address)
    let_rest(pool, target.address, 0.8)
    target.forgets = True
    with pytest.raises(ClientError):
        await call(pool, target.address)


def let_rest(pool, address, seconds):
    """Let the kept connection look as if it had rested."""
    pool.idle[address][0].released_at = BOOT_CLOCK.monotonic() - seconds


async def test_reset_after_a_rest_makes_later_calls_use_new_connections():
    pool = ConnectionPool()
    async with ForgetfulTarget() as target:
        await lose_call_after_rest(pool, target)
        target.forgets = False
        await call(pool, target.address)
        let_rest(pool, target.address, 0.7)
        target.forgets = True
        await call(pool, target.address)
        assert target.accepted == 3


async def test_reset_of_a_new_connection_says_nothing_of_rests():
    pool = ConnectionPool()
    async with ForgetfulTarget() as target:
        await call(pool, target.address)
        target.forgets = True
        with pytest.raises(ClientError):
            await call(pool, target.address)
        assert not pool.rests[target.address].record_reset(0.0, BOOT_CLOCK.monotonic())
        assert math.isinf(pool.rests[target.address].seconds)


async def test_trusted_rests_are_forgotten_once_they_exceed_all_others():
    pool = ConnectionPool()
    async with ForgetfulTarget() as target:
        await lose_call_after_rest(pool, target)
    pool.prune()
    assert pool.rests
    for rest in pool.rests.values():
        rest.lowered_at -= 60
    pool.prune()
    assert not pool.rests
