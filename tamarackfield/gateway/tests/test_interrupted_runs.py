"""A run that is to end in favour of its successor ends at once, whatever it is waiting for."""

import asyncio
from types import SimpleNamespace

from tamarackfield.gateway import relay
from tamarackfield.gateway.attempts import _read_unless_replaced
from tamarackfield.gateway.handover import Delivery

#: Silence after which the stand-in of a run would seek another successor: longer than any test waits.
SILENCE_SECONDS = 60.0


async def wait_forever(*arguments):
    """Wait until it is cancelled."""
    await asyncio.get_running_loop().create_future()


async def test_run_that_is_replaced_does_not_wait_on_after_a_part_of_an_event():
    parts = asyncio.Queue()
    replaced = []
    delivery = SimpleNamespace(is_replaced=lambda: bool(replaced))
    reservation = SimpleNamespace(report_wait=lambda seconds: None)
    incoming = SimpleNamespace(
        exchange=SimpleNamespace(next_chunk=parts.get), reservation=reservation, seek_successor=list
    )
    silence = relay._Silence(SILENCE_SECONDS)

    async def read():
        return [chunk async for chunk in relay._read_chunks(incoming, silence, delivery)]

    reading = asyncio.create_task(read())
    await asyncio.sleep(0)
    replaced.append(True)
    parts.put_nowait(b'x')
    await asyncio.sleep(0)
    silence.interrupt()
    assert (await asyncio.wait_for(reading, SILENCE_SECONDS / 2), silence.gave_up) == ([b'x'], True)


async def test_answer_of_a_successor_does_not_wait_for_a_body_that_hangs():
    successor_answers = asyncio.Event()

    async def answer(delivery):
        successor = Delivery(None, delivery, wait_forever)
        await successor_answers.wait()
        await successor.claim()
        return True

    async with Delivery(None, None, answer) as delivery:
        delivery.start_search()
        reading = asyncio.create_task(_read_unless_replaced(wait_forever(), delivery))
        await asyncio.sleep(0)
        successor_answers.set()
        assert await asyncio.wait_for(reading, SILENCE_SECONDS / 2) is None
        assert await delivery.hand_over()
