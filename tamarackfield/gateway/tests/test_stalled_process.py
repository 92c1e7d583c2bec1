"""Links of an entry that stood still: answers that arrived meanwhile count, and no sidecar is silent for it."""

import asyncio
import socket
from types import SimpleNamespace

import pytest

from tamarackfield.core.time_limits import listening_seconds
from tamarackfield.gateway.links import SILENCE_TIMEOUT_SECONDS, ManagerLink, ReservationRequest
from tamarackfield.testing.stalls import be_busy, freeze
from tamarackfield.wire.reservations import Granted

REQUEST = ReservationRequest('r1', 'base/a1', 0, 0, 0.1, 0.1, 10, redirectable=False)
STALL_SECONDS = SILENCE_TIMEOUT_SECONDS + 0.3


@pytest.fixture
async def link():
    """Return a link whose sidecar was heard of last at its start."""
    made = ManagerLink(('127.0.0.1', 1), lambda: None, lambda: None, lambda: None)
    made.stream = SimpleNamespace(last_received_at=listening_seconds(), send=lambda message: None)
    return made


@pytest.mark.parametrize('stall', [be_busy, freeze])
async def test_grant_that_arrives_in_a_stall_is_taken(link, stall):
    ours, sidecar = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=ours)

    async def receive():
        await reader.read(1)
        link.handle_message(Granted(1, 0, 0))

    receiving = asyncio.create_task(receive())
    reserving = asyncio.create_task(link.reserve(REQUEST))
    await asyncio.sleep(0.05)
    sidecar.send(b'1')
    stall(STALL_SECONDS)
    assert await reserving == (1, Granted(1, 0, 0))
    await receiving
    writer.close()
    sidecar.close()


async def test_sidecar_is_not_silent_because_this_process_stood_still(link):
    be_busy(STALL_SECONDS)
    assert not link.is_silent()


async def test_sidecar_that_is_not_heard_of_is_silent(link):
    await asyncio.sleep(STALL_SECONDS)
    assert link.is_silent()
