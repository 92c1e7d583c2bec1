"""Time limits of a process that stands still: what has arrived wins, and the time does not count."""

import asyncio
import socket
import time

import pytest

from tamarackfield.core.time_limits import (
    MAX_PROMISED_POLL_SECONDS,
    MIN_POLL_PASSES,
    TimeLimit,
    deadline_at,
    listen_for,
    listening_seconds,
    time_limit,
    wait_within,
)
from tamarackfield.testing.stalls import be_busy, freeze

LIMIT_SECONDS = 0.6
STALL_SECONDS = 1.5


@pytest.fixture
async def stream():
    """Open a stream; return its reader and the socket of the other side."""
    ours, theirs = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=ours)
    yield reader, theirs
    writer.close()
    theirs.close()


async def read_in_task(reader):
    """Read in a task of a task, so that several passes of the event loop pass the bytes on."""

    async def read():
        return await asyncio.ensure_future(reader.read(100))

    return await asyncio.ensure_future(read())


def limit_of(kind):
    """Return a limit that is reached in `LIMIT_SECONDS`."""
    return {
        'listening': lambda: time_limit(LIMIT_SECONDS),
        'promised': lambda: deadline_at(asyncio.get_running_loop().time() + LIMIT_SECONDS),
    }[kind]()


@pytest.mark.parametrize('stall', [be_busy, freeze])
@pytest.mark.parametrize('kind', ['listening', 'promised'])
@pytest.mark.parametrize('read', [lambda reader: reader.read(100), read_in_task], ids=['read', 'tasks'])
async def test_bytes_that_arrive_in_a_stall_beyond_the_limit_are_read(stream, stall, kind, read):
    reader, other = stream
    loop = asyncio.get_running_loop()
    loop.call_later(LIMIT_SECONDS / 2, other.send, b'late')
    loop.call_later(LIMIT_SECONDS / 2, stall, STALL_SECONDS)
    async with limit_of(kind):
        assert await read(reader) == b'late'


@pytest.mark.parametrize('stall', [be_busy, freeze])
async def test_bytes_that_arrive_after_a_stall_within_the_time_left_are_read(stream, stall):
    reader, other = stream
    asyncio.get_running_loop().call_later(LIMIT_SECONDS / 2, stall, STALL_SECONDS)
    asyncio.get_running_loop().call_later(LIMIT_SECONDS / 2 + STALL_SECONDS + 0.02, other.send, b'later')
    async with time_limit(LIMIT_SECONDS):
        assert await reader.read(100) == b'later'


@pytest.mark.parametrize('kind', ['listening', 'promised'])
async def test_limit_ends_a_wait_for_nothing(stream, kind):
    reader, other = stream
    with pytest.raises(TimeoutError):
        async with limit_of(kind):
            await reader.read(100)
    other.send(b'next')
    assert await reader.read(100) == b'next'


async def test_promised_deadline_does_not_count_from_the_end_of_a_stall(stream):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + LIMIT_SECONDS
    loop.call_later(LIMIT_SECONDS / 2, be_busy, STALL_SECONDS)
    with pytest.raises(TimeoutError):
        async with deadline_at(deadline) as limit:
            await stream[0].read(100)
    assert limit.stalled_seconds() > STALL_SECONDS - LIMIT_SECONDS
    assert loop.time() < deadline + STALL_SECONDS


async def test_clock_does_not_count_a_stall():
    before = listening_seconds()
    be_busy(STALL_SECONDS)
    assert listening_seconds() - before < STALL_SECONDS - LIMIT_SECONDS
    be_busy(STALL_SECONDS)
    assert listening_seconds() - before < STALL_SECONDS - LIMIT_SECONDS


async def test_clock_counts_the_time_in_which_the_loop_runs():
    before = listening_seconds()
    started_at = time.monotonic()
    await listen_for(LIMIT_SECONDS)
    assert listening_seconds() - before >= LIMIT_SECONDS
    assert time.monotonic() - started_at >= LIMIT_SECONDS


async def test_cancelled_block_is_cancelled_and_not_timed_out():
    async def wait():
        async with time_limit(LIMIT_SECONDS):
            await asyncio.Event().wait()

    task = asyncio.create_task(wait())
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_moved_limit_ends_the_block_at_its_new_time():
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    with pytest.raises(TimeoutError):
        async with TimeLimit(started_at + 60, is_promised=True) as limit:
            limit.reschedule(started_at + LIMIT_SECONDS)
            await asyncio.Event().wait()


async def test_future_that_is_not_done_in_time_goes_on():
    future = asyncio.get_running_loop().create_future()
    assert not await wait_within(future, LIMIT_SECONDS)
    future.set_result(1)
    assert await wait_within(future, None)


async def test_promised_limit_is_not_late_by_many_slow_passes():
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + STALL_SECONDS
    starts = []

    def work_for_long():
        starts.append(loop.time())
        time.sleep(MAX_PROMISED_POLL_SECONDS)
        if not limit.expired:
            loop.call_soon(work_for_long)

    with pytest.raises(TimeoutError):
        async with deadline_at(ends_at) as limit:
            loop.call_soon(work_for_long)
            await loop.create_future()
    # Besides these, the pass in which the limit is noticed and the one in which the block ends.
    assert sum(started_at > ends_at for started_at in starts) <= MIN_POLL_PASSES + 2
