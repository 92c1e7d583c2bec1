"""Ends of streams between peers."""

import asyncio
import contextlib
import gc
import socket
import struct

import pytest

from tamarackfield.core import ConnectionServer
from tamarackfield.wire.stream import PeerStream, StreamClosedError, connect

HOST = '127.0.0.1'


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


@pytest.fixture
def loop_reports(monkeypatch):
    """Collect what the event loop reports, as if the collector finalized futures before the protocols that own them."""
    monkeypatch.delattr(asyncio.StreamReaderProtocol, '__del__')
    return []


async def collect_garbage():
    """Let closed transports end and collect the objects of their streams."""
    await asyncio.sleep(0.05)
    gc.collect()


async def reset_connection(_, writer):
    """Serve a connection by resetting it."""
    reset(writer)


async def receive_until_closed(stream):
    """Wait until a stream has failed."""
    with pytest.raises(StreamClosedError):
        await stream.receive()
    stream.abort()


async def test_reset_by_the_accepting_peer_leaves_no_unretrieved_exception(loop_reports):
    asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_reports.append(context['message']))
    server = ConnectionServer(reset_connection)
    await receive_until_closed(await connect(HOST, await server.listen(HOST, 0), None))
    await server.close()
    await collect_garbage()
    assert loop_reports == []


@pytest.mark.parametrize('reads', [True, False])
async def test_reset_by_the_connecting_peer_leaves_no_unretrieved_exception(loop_reports, reads):
    asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_reports.append(context['message']))
    served = asyncio.Event()

    async def serve(reader, writer):
        stream = PeerStream(reader, writer)
        with contextlib.suppress(StreamClosedError):
            await (stream.receive() if reads else asyncio.sleep(0.05))
        stream.abort()
        served.set()

    server = ConnectionServer(serve)
    _, writer = await asyncio.open_connection(HOST, await server.listen(HOST, 0))
    await asyncio.sleep(0.02)
    reset(writer)
    await served.wait()
    await server.close()
    await collect_garbage()
    assert loop_reports == []
