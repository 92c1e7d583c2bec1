"""A store that cuts watches is not away: removed targets get nothing in time, and those that only lapsed are kept."""

import asyncio

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from tamarackfield.core import Clock, cancel_and_wait
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.follower import Follower
from tamarackfield.gateway.replica import STORE_RECOVERY_SECONDS, Item, Page, Replica, StoreError, WatchCutError
from tamarackfield.gateway.revisions import Revision
from tamarackfield.gateway.tests.samples import make_target_record
from tamarackfield.policy.store_reads import find_read_times
from tamarackfield.testing.virtual_time import run_in_virtual_time

KEY = 'servers/t1'
ANSWER_SECONDS = 0.004
LOOK_SECONDS = 0.01
#: Bounds of the time after which a removed target gets nothing; the smallest is below `STORE_RECOVERY_SECONDS`.
DRAIN_BOUNDS = (1.2, 2.0, 3.0, 4.0)


class CuttingStore:
    """Store with one target, whose waiting watches can be cut, and which refuses all calls while it is away."""

    def __init__(self):
        self.changes = [b'{}']
        self.is_away = False
        self.calls = 0
        self.woken = asyncio.Event()
        self.is_cut = False

    def renew_connections(self):
        """No connections are kept."""

    def write(self, content):
        self.changes.append(content)
        self._wake(is_cut=False)

    def cut(self):
        self._wake(is_cut=True)

    async def read_range(self, prefix, after_key, on_progress):
        return await self._answer(0)

    async def watch(self, prefix, after, wait_seconds, on_progress):
        if wait_seconds and after.number == len(self.changes) and not self.is_away:
            try:
                async with asyncio.timeout(wait_seconds):
                    await self.woken.wait()
            except TimeoutError:
                return await self._answer(after.number)
            if self.is_cut:
                raise WatchCutError('peer closed', 'read_answer')
        return await self._answer(after.number)

    async def _answer(self, after):
        self.calls += 1
        await asyncio.sleep(ANSWER_SECONDS)
        if self.is_away:
            raise StoreError('store answered with status 503', 'kv-watch')
        numbers = range(after + 1, len(self.changes) + 1)
        items = tuple(Item(KEY, Revision(0, number), self.changes[number - 1]) for number in numbers)
        return Page(items[-1:], Revision(0, len(self.changes)))

    def _wake(self, is_cut):
        self.is_cut = is_cut
        self.woken.set()
        self.woken = asyncio.Event()


async def follow(store, bound_seconds, play):
    """Follow a store while a history is played; return the times at which the target became usable or unusable."""
    loop = asyncio.get_running_loop()
    clock = Clock(loop.time, int)
    directory = Directory(clock)
    turns = []

    def listen(item, missing_seconds):
        if item.content is None:
            directory.remove('t1', missing_seconds)
        else:
            directory.upsert(make_target_record('t1'))

    async def look():
        while True:
            directory.remove_expired()
            usable = bool(directory.usable_targets('plain'))
            if not turns or turns[-1][1] != usable:
                turns.append((loop.time(), usable))
            await asyncio.sleep(LOOK_SECONDS)

    follower = Follower('servers/', store, Replica(), listen, find_read_times(bound_seconds), clock)
    tasks = [asyncio.create_task(follower.run()), asyncio.create_task(look())]
    try:
        await play(loop)
    finally:
        await cancel_and_wait(tasks)
    return turns


async def play_cuts(bound_seconds, pauses, removal_after):
    """Cut watches, and remove the target after so many of the cuts; return how long it was usable after that."""
    store = CuttingStore()
    removed_at = []

    async def play(loop):
        for number, seconds in enumerate((1.0, *pauses, 3 * bound_seconds)):
            await asyncio.sleep(seconds)
            store.cut()
            if number == removal_after:
                store.write(None)
                removed_at.append(loop.time())
                await asyncio.sleep(ANSWER_SECONDS)
                store.cut()

    turns = await follow(store, bound_seconds, play)
    assert not turns[-1][1]
    return turns[-1][0] - removed_at[0]


@settings(max_examples=200)
@given(
    bound_seconds=st.sampled_from(DRAIN_BOUNDS),
    pauses=st.lists(st.floats(0.001, 2.0), min_size=1, max_size=12),
    share=st.floats(0, 1),
)
def test_target_removed_amid_cuts_is_unusable_within_the_drain_time(bound_seconds, pauses, share):
    delay = run_in_virtual_time(play_cuts(bound_seconds, pauses, int(share * len(pauses))))
    assert delay < bound_seconds


@settings(max_examples=200)
@given(
    away_seconds=st.floats(0.5, 10.0),
    lapse_share=st.floats(0, 1),
    back_seconds=st.floats(0.0, STORE_RECOVERY_SECONDS / 2),
    cuts=st.booleans(),
)
def test_target_that_lapses_while_the_store_is_away_stays_usable(away_seconds, lapse_share, back_seconds, cuts):
    store = CuttingStore()

    async def play(loop):
        await asyncio.sleep(3)
        store.is_away = True
        if cuts:
            store.cut()
        await asyncio.sleep(away_seconds * lapse_share)
        store.changes.append(None)
        await asyncio.sleep(away_seconds * (1 - lapse_share))
        store.is_away = False
        await asyncio.sleep(back_seconds)
        store.write(b'{"again": 1}')
        await asyncio.sleep(5)

    turns = run_in_virtual_time(follow(store, 2.0, play))
    assert [usable for _, usable in turns][1:] == [True]


@pytest.mark.parametrize('interval', [0.01, 0.1, 0.45])
def test_store_that_cuts_every_watch_is_not_polled(interval):
    async def play_all():
        store = CuttingStore()

        async def play(loop):
            for _ in range(int(60 / interval)):
                await asyncio.sleep(interval)
                store.cut()

        await follow(store, 2.0, play)
        return store.calls

    assert run_in_virtual_time(play_all()) <= 60 * 3


def test_store_is_away_if_the_call_after_a_cut_fails_too():
    time = Clock(lambda: 100.0, int)
    follower = Follower('servers/', None, Replica(), lambda item, missing_seconds: None, clock=time)

    async def fail_twice():
        follower.position = Revision(0, 1)
        await follower._handle_error(WatchCutError('peer closed', 'read_answer'))
        assert not follower.replica.is_unreliable(100.0)
        await follower._handle_error(StoreError('store answered with status 503', 'kv-watch'))

    run_in_virtual_time(fail_twice())
    assert follower.replica.is_unreliable(100.0)
