"""Followers of a store that comes back from older copies, gives revisions out again and answers late.

Once the store is quiet, every copy equals it within one complete read, and the version in force never fell.
"""

import asyncio
import dataclasses

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tamarackfield.gateway.configuration import Configuration, TargetRemoved, UnreadableItem
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.follower import RESTORED_ITEM_SECONDS, Follower
from tamarackfield.gateway.model import Catalog, Limits, TargetRecord
from tamarackfield.gateway.peers import PeerExchange
from tamarackfield.gateway.replica import STORE_RECOVERY_SECONDS, HistoryLostError, Item, Page, Replica, StoreError
from tamarackfield.gateway.revisions import Revision
from tamarackfield.gateway.tests.samples import ManualTime, make_quarantine

CONFIG_KEY = 'op/config'
WORKERS = st.sampled_from(('a', 'b', 'c'))
PAGE_ITEMS = 2
CHANGES = st.lists(st.tuples(WORKERS, st.integers(0, 3)), max_size=5)
ENTRIES = st.integers(0, 1)
#: Reads after the last disturbance: a late answer, the discovery of an era and a complete read, and a watch.
SETTLING_READS = 4


class ModelStore:
    """Store with eras; each answer may be replaced by one that it gave to the same call before."""

    def __init__(self):
        self.era = 1
        self.number = 1
        self.items = {}
        self.history = []
        self.copies = []
        self.answers = {}
        self.answers_late = False
        self.return_after_page = None

    def change(self, key, content):
        self.number += 1
        item = Item(key, Revision(self.era, self.number), content)
        self.history.append(item)
        if content is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item

    def save_copy(self):
        self.copies.append((dict(self.items), list(self.history), self.number))

    def come_back(self, index):
        items, history, number = self.copies[index]
        self.number = number
        self.era += 1
        self.items = {key: self._renew(item) for key, item in items.items()}
        self.history = [self._renew(item) for item in history]

    def renew_connections(self):
        raise AssertionError('no call of this test is silent')

    async def read_range(self, prefix, after_key, on_progress):
        keys = sorted(key for key in self.items if key > after_key)
        page = Page(
            tuple(self.items[key] for key in keys[:PAGE_ITEMS]),
            Revision(self.era, self.number),
            len(keys) > PAGE_ITEMS,
        )
        if self.return_after_page is not None and page.more:
            self.come_back(self.return_after_page)
            self.return_after_page = None
        return self._answer(('range', after_key), page)

    async def watch(self, prefix, after, wait_seconds, on_progress):
        if after.number > self.number:
            raise HistoryLostError('no such revision', era=self.era)
        events = tuple(item for item in self.history if item.revision.number > after.number)
        return self._answer(('watch', after.number), Page(events, Revision(self.era, self.number)))

    def _answer(self, call, page):
        earlier = self.answers.get(call)
        self.answers[call] = page
        return earlier if self.answers_late and earlier is not None else page

    def _renew(self, item):
        return dataclasses.replace(item, revision=Revision(self.era, item.revision.number))


class UnreachableStore:
    """Store that an entry cannot reach."""

    async def read_range(self, prefix, after_key, on_progress):
        raise StoreError('unreachable')

    async def watch(self, prefix, after, wait_seconds, on_progress):
        raise StoreError('unreachable')


class QuickFollower(Follower):
    """Follower that records failures without a pause."""

    async def _handle_failure(self, exc):
        self.store_status.record_failure(self.clock.monotonic())


def decode(item):
    """Decode the items of this test: versions of the configuration, and workers by their start."""
    if item.key == CONFIG_KEY and item.content is None:
        return UnreadableItem('item was deleted')
    if item.key == CONFIG_KEY:
        return Catalog(int(item.content), (), {}, Limits(0, 0, 0))
    if item.content is None:
        return TargetRemoved(item.key)
    return TargetRecord(item.key, 'plain', 'z', ('host', int(item.content)), 1, False, 1)


class Entry:
    """One entry: its copy of the store, the configuration and the targets decoded from it."""

    def __init__(self, store, time):
        self.directory = Directory(time.clock())
        self.configuration = Configuration(decode, self.directory, float)
        self.replica = Replica()
        self.follower = QuickFollower('', store, self.replica, self.configuration.apply_item, clock=time.clock())
        self.peers = PeerExchange(self.replica, [self.follower], None, list, self.configuration, make_quarantine())
        self.highest_version = 0

    def version(self):
        return self.configuration.catalog.version if self.configuration.catalog else 0


class EraMachine(RuleBasedStateMachine):
    """Two entries, of which one may be cut off, and a store that comes back from its copies."""

    def __init__(self):
        super().__init__()
        self.time = ManualTime()
        self.store = ModelStore()
        self.next_version = 1
        self.entries = [Entry(self.store, self.time) for _ in range(2)]
        self.store.save_copy()

    @rule()
    def configure(self):
        self.store.change(CONFIG_KEY, str(self.next_version).encode())
        self.next_version += 1

    @rule(worker=WORKERS, port=st.integers(1, 3))
    def register(self, worker, port):
        self.store.change(f'servers/{worker}', str(port).encode())

    @rule(worker=WORKERS)
    def deregister(self, worker):
        if f'servers/{worker}' in self.store.items:
            self.store.change(f'servers/{worker}', None)

    @rule()
    def save_copy(self):
        self.store.save_copy()

    @rule(data=st.data())
    def come_back(self, data):
        self.store.come_back(data.draw(st.integers(0, len(self.store.copies) - 1)))

    @rule(lost=CHANGES, index=ENTRIES, reissued=CHANGES)
    def lose_changes(self, lost, index, reissued):
        copy = len(self.store.copies)
        self.store.save_copy()
        self._change_workers(lost)
        self.read(index, late=False)
        self.store.come_back(copy)
        self._change_workers(reissued)

    @rule(data=st.data())
    def come_back_during_a_read(self, data):
        self.store.return_after_page = data.draw(st.integers(0, len(self.store.copies) - 1))

    @rule(index=ENTRIES, late=st.booleans())
    def read(self, index, late):
        self.store.answers_late = late
        asyncio.run(self.entries[index].follower.read_next())

    @rule(index=ENTRIES)
    def cut_off(self, index):
        self.entries[index].follower.store = UnreachableStore()

    @rule(index=ENTRIES)
    def reconnect(self, index):
        self.entries[index].follower.store = self.store

    @rule(index=ENTRIES, knows_eras=st.booleans())
    def exchange(self, index, knows_eras):
        sender, receiver = self.entries[index], self.entries[1 - index]
        if sender.replica.revision > receiver.replica.revision:
            knows_eras = knows_eras or receiver.replica.revision.era > 0
            asyncio.run(receiver.peers.apply_items(sender.peers.build_items(knows_eras), 'peer'))

    @rule(seconds=st.floats(0, 2 * STORE_RECOVERY_SECONDS))
    def wait(self, seconds):
        self.time.now += seconds
        for entry in self.entries:
            entry.directory.remove_expired()

    @rule()
    def settle(self):
        self.store.answers_late = False
        self.store.return_after_page = None
        for entry in self.entries:
            entry.follower.store = self.store
            for _ in range(SETTLING_READS):
                asyncio.run(entry.follower.read_next())
            assert entry.replica.items == self.store.items
        self.time.now += STORE_RECOVERY_SECONDS
        for entry in self.entries:
            entry.directory.remove_expired()
            assert entry.directory.targets.keys() <= self.store.items.keys()
        self.time.now += RESTORED_ITEM_SECONDS
        for entry in self.entries:
            asyncio.run(entry.follower.read_next())
            assert entry.directory.targets.keys() == self.store.items.keys() - {CONFIG_KEY}

    def teardown(self):
        self.settle()

    def _change_workers(self, changes):
        for worker, port in changes:
            if port:
                self.register(worker, port)
            else:
                self.deregister(worker)

    @invariant()
    def version_in_force_never_falls(self):
        for entry in self.entries:
            assert entry.version() >= entry.highest_version
            entry.highest_version = entry.version()


TestEras = EraMachine.TestCase
TestEras.settings = settings(max_examples=200, stateful_step_count=20)
