"""The relay of the fault injection: without a fault it passes data unchanged; a reset reaches the caller."""

import asyncio
import socket
import struct

import pytest

from tamarackfield.testing.relay import Relay, no_faults

HOST = '127.0.0.1'
SIZE_BYTES = 4_000_000


async def test_slow_reader_gets_all_data_sent_before_the_close():
    async def send_all(reader, writer):
        writer.write(b'x' * SIZE_BYTES)
        await writer.drain()
        writer.close()

    upstream = await asyncio.start_server(send_all, HOST, 0)
    relay = Relay(upstream.sockets[0].getsockname(), no_faults())
    await relay.listen(HOST, 0)
    reader, writer = await asyncio.open_connection(*relay.server.sockets[0].getsockname(), limit=1024)
    received = 0
    while chunk := await reader.read(10_000):
        received += len(chunk)
        await asyncio.sleep(0.001)
    writer.close()
    relay.close()
    upstream.close()
    assert received == SIZE_BYTES


async def test_reset_closes_the_caller_connection_with_a_reset():
    async def keep_open(reader, writer):
        await reader.read()

    upstream = await asyncio.start_server(keep_open, HOST, 0)
    relay = Relay(upstream.sockets[0].getsockname(), no_faults())
    await relay.listen(HOST, 0)
    reader, writer = await asyncio.open_connection(*relay.server.sockets[0].getsockname())
    writer.write(b'x')
    while not relay.forwarded_bytes['up']:
        await asyncio.sleep(0.01)
    relay.reset_connections()
    try:
        await reader.read()
    except ConnectionResetError:
        was_reset = True
    else:
        was_reset = False
    writer.close()
    relay.close()
    upstream.close()
    assert was_reset


async def test_reset_by_the_upstream_is_not_turned_into_an_orderly_close():
    async def reset(_, writer):
        writer.write(b'part')
        await writer.drain()
        await asyncio.sleep(0.05)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        writer.transport.abort()

    upstream = await asyncio.start_server(reset, HOST, 0)
    relay = Relay(upstream.sockets[0].getsockname(), no_faults())
    await relay.listen(HOST, 0)
    reader, writer = await asyncio.open_connection(*relay.server.sockets[0].getsockname())
    assert await reader.readexactly(4) == b'part'
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.transport.abort()
    relay.close()
    upstream.close()


async def test_reset_of_a_connection_that_has_just_closed_is_no_error():
    async def keep_open(reader, writer):
        await reader.read()

    upstream = await asyncio.start_server(keep_open, HOST, 0)
    relay = Relay(upstream.sockets[0].getsockname(), no_faults())
    await relay.listen(HOST, 0)
    _, writer = await asyncio.open_connection(*relay.server.sockets[0].getsockname())
    while not relay.connections:
        await asyncio.sleep(0)
    for relayed in relay.connections.values():
        relayed.transport.abort()
    await asyncio.sleep(0)
    relay.reset_connections()
    writer.close()
    relay.close()
    upstream.close()
