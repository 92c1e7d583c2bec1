"""Turns of connections: one that sends without pause does not keep the event loop."""

import asyncio

from tamarackfield.core.turns import MAX_PIECES_PER_TURN, Turn, find_queue


async def parse(turn, pieces, parsed):
    for number in range(pieces):
        await turn.count_piece()
        parsed.append((turn.peer, number))


async def count_passes_until(task):
    passes = 0
    while not task.done():
        await asyncio.sleep(0)
        passes += 1
    return passes


async def test_pieces_of_one_turn_need_no_further_pass():
    parsed = []
    task = asyncio.create_task(parse(Turn('a'), MAX_PIECES_PER_TURN, parsed))
    await asyncio.sleep(0)
    assert len(parsed) == MAX_PIECES_PER_TURN
    await task


async def test_one_pass_runs_one_turn_however_many_peers_send_without_pause():
    parsed = []
    tasks = [asyncio.create_task(parse(Turn(str(number)), 50 * MAX_PIECES_PER_TURN, parsed)) for number in range(40)]
    await asyncio.sleep(0)
    for _ in range(20):
        before = len(parsed)
        await asyncio.sleep(0)
        assert len(parsed) - before <= MAX_PIECES_PER_TURN
    await asyncio.gather(*tasks)


async def test_peers_take_turns():
    parsed = []
    tasks = [asyncio.create_task(parse(Turn(name), 4 * MAX_PIECES_PER_TURN, parsed)) for name in 'ab']
    await asyncio.gather(*tasks)
    halfway = [name for name, _ in parsed[: len(parsed) // 2]]
    assert halfway.count('a') == halfway.count('b')


async def test_connection_that_ends_in_the_queue_does_not_stop_it():
    parsed = []
    ending, going_on = (asyncio.create_task(parse(Turn(name), 3 * MAX_PIECES_PER_TURN, parsed)) for name in 'ab')
    await asyncio.sleep(0)
    ending.cancel()
    await going_on
    assert not find_queue().waiting
    assert not find_queue().is_scheduled
