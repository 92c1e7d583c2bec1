"""Connection pool with targets that drop idle connections without closing them."""

import asyncio
import math

import h11
import pytest

from tamarackfield.core.clock import BOOT_CLOCK
from tamarackfield.web.client import ClientError
from tamarackfield.web.pool import ConnectionPool

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class ResettingTarget:
    """Answers on new connections; if ``resets_reused`` is set, resets a connection on its next request."""

    def __init__(self):
        self.resets_reused = False
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
        is_new = True
        while await reader.readuntil(b'\r\n\r\n'):
            if self.resets_reused and not is_new:
                writer.transport.abort()
                return
            is_new = False
            writer.write(ANSWER)


async def call(pool, address, max_idle_seconds=6.0):
    """Make one exchange in the same way as an entry."""
    connection = await pool.acquire(address, max_idle_seconds)
    try:
        connection.send(h11.Request(method='GET', target='/', headers=[('Host', 'a')]), b'')
        event = await connection.receive()
        while not isinstance(event, h11.EndOfMessage):
            event = await connection.receive()
    finally:
        if connection.ended and not connection.has_answer_bytes:
            pool.record_reset(address, connection)
        pool.release(address, connection)


async def make_call_reset_after_idle_time(pool, target):
    """Make a call, and a second one on the same connection, which the target resets."""
    await call(pool, target.address)
    set_idle_time(pool, target.address, 0.8)
    target.resets_reused = True
    with pytest.raises(ClientError):
        await call(pool, target.address)


def set_idle_time(pool, address, seconds):
    """Set back the release time of the idle connection."""
    pool.idle[address][0].released_at = BOOT_CLOCK.monotonic() - seconds


async def test_reset_of_an_idle_connection_lowers_the_idle_limit_of_later_calls():
    pool = ConnectionPool()
    async with ResettingTarget() as target:
        await make_call_reset_after_idle_time(pool, target)
        target.resets_reused = False
        await call(pool, target.address)
        set_idle_time(pool, target.address, 0.7)
        target.resets_reused = True
        await call(pool, target.address)
        assert target.accepted == 3


async def test_reset_without_idle_time_does_not_lower_the_idle_limit():
    pool = ConnectionPool()
    async with ResettingTarget() as target:
        await call(pool, target.address)
        target.resets_reused = True
        with pytest.raises(ClientError):
            await call(pool, target.address)
        assert not pool.idle_limits[target.address].record_reset(0.0, BOOT_CLOCK.monotonic())
        assert math.isinf(pool.idle_limits[target.address].seconds)


async def test_idle_limits_above_the_idle_time_out_are_pruned():
    pool = ConnectionPool()
    async with ResettingTarget() as target:
        await make_call_reset_after_idle_time(pool, target)
    pool.prune()
    assert pool.idle_limits
    for idle_limit in pool.idle_limits.values():
        idle_limit.lowered_at -= 60
    pool.prune()
    assert not pool.idle_limits
