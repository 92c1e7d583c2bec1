"""Long work of an entry goes in steps, between which the event loop serves everything else."""

import asyncio
import contextlib
import socket

from tamarackfield.core import cancel_and_wait
from tamarackfield.core.steps import STEP_ELEMENTS
from tamarackfield.gateway.configuration import Configuration, UnreadableItem
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.follower import Follower
from tamarackfield.gateway.peers import PeerExchange
from tamarackfield.gateway.replica import Item, Page, Replica
from tamarackfield.gateway.revisions import Revision
from tamarackfield.gateway.tests.samples import make_quarantine
from tamarackfield.wire.codec import encode
from tamarackfield.wire.messages import Hello
from tamarackfield.wire.reservations import AskBeliefs

STEPS = 10
ITEMS = tuple(Item(f'k{number:05d}', Revision(1, number + 1), b'1') for number in range(STEPS * STEP_ELEMENTS))
HELLO = Hello('entry', 'e1', 1, 'zone-a', 1, '')


class OnePageStore:
    """Store whose items are in one page."""

    async def read_range(self, prefix, after_key, on_progress):
        return Page(ITEMS, ITEMS[-1].revision)


class PassCounter:
    """Count of the passes of the event loop."""

    def __init__(self):
        self.passes = 0
        self.task = asyncio.create_task(self.run())

    async def run(self):
        while True:
            self.passes += 1
            await asyncio.sleep(0)


def make_follower(listener):
    """Return a follower of the store."""
    return Follower('', OnePageStore(), Replica(), listener)


async def test_event_loop_runs_between_the_steps_of_a_page():
    counter = PassCounter()
    await asyncio.sleep(0)
    seen_at = [counter.passes]

    def listen(item, unreliable):
        seen_at.append(counter.passes)

    await make_follower(listen).read_next()
    assert max(seen_at.count(count) for count in seen_at) <= STEP_ELEMENTS + 1
    assert len(seen_at) == len(ITEMS) + 1
    await cancel_and_wait((counter.task,))


async def test_rest_of_a_page_is_left_out_if_a_peer_reports_a_later_era_between_two_steps():
    seen = []

    def listen(item, unreliable):
        seen.append(item)
        if len(seen) == 1:
            asyncio.get_running_loop().call_soon(setattr, follower.replica, 'era', 2)

    follower = make_follower(listen)
    await follower.read_next()
    assert len(seen) == STEP_ELEMENTS
    assert follower.position is None


async def test_event_loop_runs_between_the_answers_to_peers(monkeypatch):
    counter = PassCounter()
    configuration = Configuration(lambda item: UnreadableItem('unused'), Directory(), float)
    exchange = PeerExchange(Replica(), [], lambda: HELLO, list, configuration, make_quarantine())
    answered_at = []
    build = exchange.build_beliefs

    def build_beliefs():
        answered_at.append(counter.passes)
        return build()

    monkeypatch.setattr(exchange, 'build_beliefs', build_beliefs)
    with contextlib.ExitStack() as clean_up:
        connections = []
        for _ in range(STEPS):
            ours, peer = socket.socketpair()
            clean_up.callback(peer.close)
            peer.send(encode(HELLO) + encode(AskBeliefs()))
            connections.append(await asyncio.open_connection(sock=ours))
        tasks = [asyncio.create_task(exchange.answer_peer(*connection)) for connection in connections]
        while len(answered_at) < STEPS:
            await asyncio.sleep(0)
        assert len(set(answered_at)) == STEPS
        await cancel_and_wait((*tasks, counter.task))
