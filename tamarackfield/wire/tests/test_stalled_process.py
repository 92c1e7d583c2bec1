"""Streams of a process that stood still: what the peer sent meanwhile counts, and so does the time it then has."""

import asyncio
import socket

import pytest

from tamarackfield.core import cancel_and_wait
from tamarackfield.testing.stalls import be_busy, freeze
from tamarackfield.wire import stream as stream_module
from tamarackfield.wire.codec import encode
from tamarackfield.wire.messages import Heartbeat, Hello
from tamarackfield.wire.stream import PeerStream

LIMIT_SECONDS = 1.0
STALL_SECONDS = 2.0
HELLO = Hello('entry', 'e1', 1, 'zone-a', 1, '')


@pytest.fixture
async def connected(monkeypatch):
    """Open a stream with short limits; return it and the socket of its peer."""
    monkeypatch.setattr(stream_module, 'SILENCE_TIMEOUT_SECONDS', LIMIT_SECONDS)
    monkeypatch.setattr(stream_module, 'CONNECT_TIMEOUT_SECONDS', LIMIT_SECONDS)
    monkeypatch.setattr(stream_module, 'HEARTBEAT_INTERVAL_SECONDS', LIMIT_SECONDS / 4)
    ours, theirs = socket.socketpair()
    stream = PeerStream(*await asyncio.open_connection(sock=ours))
    yield stream, theirs
    stream.abort()
    theirs.close()


@pytest.mark.parametrize('stall', [be_busy, freeze])
async def test_hello_that_arrives_in_a_stall_is_accepted(connected, stall):
    stream, peer = connected
    exchanging = asyncio.create_task(stream.exchange_hellos(HELLO))
    await asyncio.sleep(LIMIT_SECONDS / 2)
    peer.send(encode(HELLO))
    stall(STALL_SECONDS)
    assert await exchanging == HELLO


@pytest.mark.parametrize('stall', [be_busy, freeze])
@pytest.mark.parametrize('beats_later', [0.0, LIMIT_SECONDS / 4])
async def test_stall_does_not_show_that_the_peer_is_silent(connected, stall, beats_later):
    stream, peer = connected
    tasks = [asyncio.create_task(stream.send_heartbeats()), asyncio.create_task(stream.receive())]
    await asyncio.sleep(LIMIT_SECONDS / 6)
    heartbeat = encode(Heartbeat(1, 1))
    if beats_later:
        asyncio.get_running_loop().call_later(STALL_SECONDS + beats_later, peer.send, heartbeat)
    else:
        peer.send(heartbeat)
    stall(STALL_SECONDS)
    await asyncio.sleep(LIMIT_SECONDS)
    assert not stream.timed_out
    await cancel_and_wait(tasks)


async def test_peer_that_sends_nothing_is_given_up_after_a_stall(connected):
    stream, _ = connected
    tasks = [asyncio.create_task(stream.send_heartbeats())]
    be_busy(STALL_SECONDS)
    await asyncio.sleep(3 * LIMIT_SECONDS)
    assert stream.timed_out
    await cancel_and_wait(tasks)
