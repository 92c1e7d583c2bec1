"""Entries whose seeds differ agree on the entries that run, and so on the gate of a target."""

import asyncio
import contextlib
import random
import socket

import pytest

from tamarackfield.core.problems import split_address
from tamarackfield.gateway.configuration import Configuration, UnreadableItem
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.known_entries import MAX_AGE_SECONDS, ROUND_SECONDS, EntryDirectory
from tamarackfield.gateway.peers import PeerExchange
from tamarackfield.gateway.replica import Replica
from tamarackfield.gateway.tests.samples import ManualTime, make_quarantine
from tamarackfield.wire.codec import encode
from tamarackfield.wire.known_entries import AskEntries
from tamarackfield.wire.messages import Hello

HELLO = Hello('entry', 'e1', 1, 'zone-a', 1, '')


class Deployment:
    """Entries of which each knows, at first, some that started before it."""

    def __init__(self, count, seeds_of):
        self.time = ManualTime()
        self.rng = random.Random(1)
        self.addresses = [f'127.0.0.1:{number}' for number in range(1, count + 1)]
        self.entries = {
            address: EntryDirectory(address, self._make_seeds(seeds_of(index)), self.time.clock())
            for index, address in enumerate(self.addresses)
        }

    def play_round(self):
        self.time.now += ROUND_SECONDS
        for entry in list(self.entries.values()):
            for host, port in entry.list_told(self.rng):
                told = self.entries.get(f'{host}:{port}')
                if told is not None:
                    entry.record(told.answer(entry.ask()))

    def list_views(self):
        return {tuple(entry.list_running()) for entry in self.entries.values()}

    def _make_seeds(self, indexes):
        seeds = [split_address(self.addresses[index]) for index in indexes]
        return lambda: seeds


@pytest.mark.parametrize(
    'seeds_of',
    [lambda index: range(min(3, index + 1)), lambda index: [max(0, index - 1)], lambda index: [0]],
    ids=['first_ones', 'chain', 'one'],
)
@pytest.mark.parametrize('count', [3, 27])
def test_entries_with_different_seeds_know_the_same_entries_within_the_time_to_keep_a_limit(count, seeds_of):
    deployment = Deployment(count, seeds_of)
    for _ in range(int(3.0 / ROUND_SECONDS)):
        deployment.play_round()
    assert deployment.list_views() == {tuple(sorted(deployment.addresses))}


def test_entry_that_ended_is_forgotten_by_all():
    deployment = Deployment(8, lambda index: [0])
    for _ in range(6):
        deployment.play_round()
    deployment.entries.pop('127.0.0.1:3')
    for _ in range(int(2 * MAX_AGE_SECONDS / ROUND_SECONDS)):
        deployment.play_round()
    assert deployment.list_views() == {tuple(sorted(deployment.entries))}


def test_seeds_count_until_another_entry_has_answered():
    assert EntryDirectory('', lambda: [('127.0.0.1', 4)]).list_running() == ['127.0.0.1:4']


@pytest.mark.parametrize('message', [AskEntries(['no address'], [0]), AskEntries(['127.0.0.1:1'], [])])
async def test_odd_message_of_a_peer_ends_its_connection_only(message):
    configuration = Configuration(lambda item: UnreadableItem('unused'), Directory(), float)
    exchange = PeerExchange(Replica(), [], lambda: HELLO, list, configuration, make_quarantine())
    ours, peer = socket.socketpair()
    with contextlib.closing(peer):
        peer.send(encode(HELLO) + encode(message))
        await exchange.answer_peer(*await asyncio.open_connection(sock=ours))
    assert exchange.entries.seen_at == {}
