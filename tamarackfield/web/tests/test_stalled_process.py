"""What arrived while the process stood still counts, although a time limit passed meanwhile."""

import asyncio
import dataclasses
import json
import socket
import time

import pytest

from tamarackfield.observe.operations import answer_error
from tamarackfield.testing.stalls import be_busy, freeze
from tamarackfield.web import ClientError, ConnectionPool, HttpLimits, HttpServer
from tamarackfield.web.json_calls import call_json

HOST = '127.0.0.1'
LIMIT_SECONDS = 0.3
#: Time for which the event loop is blocked, above every limit of these tests.
STALL_SECONDS = 0.8
#: Limit of a call, long enough to read a large answer in what a stall that is noticed late leaves of it.
CALL_SECONDS = 2.0
CALL_STALL_SECONDS = 3.0
REQUEST = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody'
LIMITS = HttpLimits(request_seconds=LIMIT_SECONDS, idle_seconds=LIMIT_SECONDS)


async def answer(request, responder):
    """Answer with the size of the body."""
    await responder.send_json(200, {'size': len(request.body)})


@pytest.fixture
async def server():
    """Run a server with short limits."""
    running = HttpServer(answer, answer_error, LIMITS)
    await running.listen(HOST, 0)
    yield running
    await running.close()


async def open_callers(server, count=1):
    """Open connections that the server has accepted; all anew if some have passed the idle limit meanwhile."""
    while True:
        connections = await asyncio.gather(*(asyncio.open_connection(HOST, server.port) for _ in range(count)))
        while len(server.idle) < count and not any(reader.at_eof() for reader, _ in connections):
            await asyncio.sleep(0)
        if len(server.idle) == count:
            return connections
        await close_callers(connections)
        while server.idle:
            await asyncio.sleep(0)


async def read_status(reader):
    """Return the status of the next answer, None if the connection ends without one."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    await reader.readexactly(int(head.lower().partition(b'content-length: ')[2].partition(b'\r\n')[0]))
    return int(head.split()[1])


def stall_after_sending(writers, chunk, stall=be_busy):
    """Let bytes arrive, while the event loop stands still for longer than any limit."""
    for writer in writers:
        writer.write(chunk)
    stall(STALL_SECONDS)


async def close_callers(connections):
    """Close connections."""
    for _, writer in connections:
        writer.close()


@pytest.mark.parametrize('kept', [False, True], ids=['new', 'kept'])
@pytest.mark.parametrize('count', [1, 50])
@pytest.mark.parametrize('stall', [be_busy, freeze])
async def test_request_that_arrives_in_a_stall_beyond_the_idle_limit_is_answered(server, stall, count, kept):
    connections = await open_callers(server, count)
    if kept:
        for _, writer in connections:
            writer.write(REQUEST)
        statuses = await asyncio.gather(*(read_status(reader) for reader, _ in connections))
        assert statuses == count * [200]
        while server.busy:
            await asyncio.sleep(0)
    stall_after_sending([writer for _, writer in connections], REQUEST, stall)
    assert [await read_status(reader) for reader, _ in connections] == count * [200]
    await close_callers(connections)


@pytest.mark.parametrize('split_at', [9, len(REQUEST) - 2], ids=['head', 'body'])
async def test_rest_of_a_request_that_arrives_in_a_stall_completes_it(server, split_at):
    connections = await open_callers(server)
    reader, writer = connections[0]
    writer.write(REQUEST[:split_at])
    while not server.busy:
        await asyncio.sleep(0)
    stall_after_sending([writer], REQUEST[split_at:])
    assert await read_status(reader) == 200
    await close_callers(connections)


async def test_connection_without_a_request_ends_after_a_stall(server):
    connections = await open_callers(server)
    time.sleep(STALL_SECONDS)
    async with asyncio.timeout(10 * LIMIT_SECONDS):
        assert await connections[0][0].read() == b''
    await close_callers(connections)


async def test_request_that_arrives_in_a_stall_at_the_end_of_listening_is_answered(server):
    server.limits = HttpLimits()
    connections = await open_callers(server)
    reader, writer = connections[0]
    stopping = asyncio.create_task(server.shutdown())
    await asyncio.sleep(0.01)
    stall_after_sending([writer], REQUEST, freeze)
    assert await read_status(reader) == 200
    await stopping
    await close_callers(connections)


@pytest.mark.parametrize('before, after', [(LIMIT_SECONDS, 60.0), (60.0, LIMIT_SECONDS)], ids=['raised', 'lowered'])
async def test_changed_idle_limit_holds_for_open_connections(server, before, after):
    server.limits = dataclasses.replace(LIMITS, idle_seconds=before)
    connections = await open_callers(server)
    reader, writer = connections[0]
    server.limits = dataclasses.replace(LIMITS, idle_seconds=after)
    if after < before:
        # The changed limit holds from the next wait.
        writer.write(REQUEST)
        assert await read_status(reader) == 200
        async with asyncio.timeout(10 * LIMIT_SECONDS):
            assert await reader.read() == b''
    else:
        await asyncio.sleep(2 * LIMIT_SECONDS)
        writer.write(REQUEST)
        assert await read_status(reader) == 200
    await close_callers(connections)


@pytest.mark.parametrize('size', [10, 3_000_000], ids=['small', 'large'])
async def test_answer_that_arrives_in_a_stall_is_read(size):
    body = json.dumps((size - 2) * 'x').encode()

    def serve(listener):
        peer, _ = listener.accept()
        with peer:
            peer.recv(65_536)
            received.set()
            time.sleep(CALL_STALL_SECONDS / 2)
            peer.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size + body)

    received = asyncio.Event()
    pool = ConnectionPool()
    with socket.create_server((HOST, 0)) as listener:
        serving = asyncio.create_task(asyncio.to_thread(serve, listener))
        calling = asyncio.create_task(
            call_json(pool, (HOST, listener.getsockname()[1]), 'GET', '/', timeout_seconds=CALL_SECONDS)
        )
        while not received.is_set():
            await asyncio.sleep(0.001)
        time.sleep(CALL_STALL_SECONDS)
        assert len((await calling).document) == size - 2
        await serving
    pool.close()


async def test_connection_that_opens_in_a_stall_counts_as_open():
    with socket.create_server((HOST, 0)) as listener:
        pool = ConnectionPool()
        opening = asyncio.create_task(pool.acquire((HOST, listener.getsockname()[1]), 1.0))
        await asyncio.sleep(0)
        time.sleep(STALL_SECONDS)
        try:
            connection = await opening
        except ClientError as exc:
            pytest.fail(repr(exc))
        connection.fail('not used')
