"""Relaying of a stream by an entry that stood still: the pause is not one of the target."""

import asyncio
from types import SimpleNamespace

from tamarackfield.gateway.relay import Incoming, _read_chunks, _Silence
from tamarackfield.testing.stalls import be_busy

STALL_SECONDS = 1.0
#: Delivery of a run without a successor.
KEPT = SimpleNamespace(is_replaced=bool)


class PausedExchange:
    """Exchange whose second chunk is read after a stall of this process."""

    def __init__(self):
        self.chunks = [b'first', b'second', b'']

    async def next_chunk(self):
        if len(self.chunks) == 2:
            await asyncio.sleep(0)
            be_busy(STALL_SECONDS)
        return self.chunks.pop(0)


async def has_not_ended():
    """Return that the target of the stream has not ended."""
    return False


async def test_time_in_which_this_process_stood_still_is_not_reported_as_a_wait_for_the_target():
    waits = []
    reservation = SimpleNamespace(report_wait=waits.append)
    incoming = Incoming(PausedExchange(), None, reservation, lambda: None, has_not_ended)
    chunks = [chunk async for chunk in _read_chunks(incoming, _Silence(None), KEPT)]
    assert chunks == [b'first', b'second']
    assert max(waits) < STALL_SECONDS / 2
