"""Outages in which calls of the store are never answered: changes are known within the bound after each end."""

import asyncio

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from tamarackfield.core import Clock, cancel_and_wait
from tamarackfield.gateway.follower import Follower
from tamarackfield.gateway.replica import Item, Page, Replica
from tamarackfield.gateway.revisions import Revision
from tamarackfield.policy.store_reads import find_read_times
from tamarackfield.testing.virtual_time import run_in_virtual_time

#: Time within which a change must be in force, in seconds.
BOUND_SECONDS = 2.0
#: Time in which a healthy store answers, in seconds.
ANSWER_SECONDS = 0.004
#: Interval between the changes of the store, in seconds; not a part of any time of the reader.
CHANGE_INTERVAL_SECONDS = 0.37
#: Time within which entries that have lost the store are to know its changes after its return, in seconds.
RECOVERY_SECONDS = 0.5
OUTAGES = st.lists(st.tuples(st.floats(0.05, 6.0), st.floats(0.05, 12.0)), min_size=1, max_size=4)


class SilentStore:
    """Store that never answers the calls which reach it during an outage, or wait when one begins."""

    def __init__(self):
        self.number = 0
        self.silent = False
        self.outages = 0
        self.answer_seconds = ANSWER_SECONDS
        self.changed = asyncio.Event()
        self.calls = 0

    def renew_connections(self):
        """No connections are kept."""

    def change(self):
        self.number += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_range(self, prefix, after_key, on_progress):
        return await self._answer(self._list_changes(0))

    async def watch(self, prefix, after, wait_seconds, on_progress):
        self.calls += 1
        outages = self.outages
        if wait_seconds and after.number == self.number and not self.silent:
            try:
                async with asyncio.timeout(wait_seconds):
                    await self.changed.wait()
            except TimeoutError:
                pass  # noqa: WPS420 the answer is empty
        if outages != self.outages:
            await asyncio.Event().wait()
        return await self._answer(self._list_changes(after.number))

    async def _answer(self, events):
        outages = self.outages
        page = Page(events, Revision(0, self.number))
        if not self.silent:
            await asyncio.sleep(self.answer_seconds)
        if self.silent or outages != self.outages:
            await asyncio.Event().wait()
        return page

    def _list_changes(self, after):
        return tuple(Item(f'k{number}', Revision(0, number), b'1') for number in range(after + 1, self.number + 1))


async def follow(store, replica, followed):
    """Run followers of a store, one for each replica, beside other work."""
    loop = asyncio.get_running_loop()
    clock = Clock(loop.time, int)
    tasks = [
        asyncio.create_task(
            Follower('', store, copy, lambda item, unreliable: None, find_read_times(BOUND_SECONDS), clock).run()
        )
        for copy in replica
    ]
    try:
        await followed
    finally:
        await cancel_and_wait(tasks)


async def make_changes(store):
    while True:
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
        store.change()


async def play_outages(outages, entries=1):
    """Play outages after calm times; return the longest delay of a replica after the end of one, in seconds."""
    store = SilentStore()
    replicas = [Replica() for _ in range(entries)]
    delays = []

    async def play():
        changes = asyncio.create_task(make_changes(store))
        for calm_seconds, outage_seconds in outages:
            await asyncio.sleep(calm_seconds)
            store.silent = True
            store.outages += 1
            await asyncio.sleep(outage_seconds)
            store.silent = False
            delays.append(await find_delay(store, replicas))
        await cancel_and_wait((changes,))

    await follow(store, replicas, play())
    return max(delays)


async def find_delay(store, replicas):
    """Return after how many seconds all replicas have what the store has now."""
    loop = asyncio.get_running_loop()
    began, number = loop.time(), store.number
    while any(copy.revision.number < number for copy in replicas):
        await asyncio.sleep(0.01)
        assert loop.time() - began < 10 * BOUND_SECONDS, 'the change is never known'
    return loop.time() - began


@settings(max_examples=150)
@given(outages=OUTAGES)
def test_change_is_not_missed_for_longer_than_the_bound_after_an_outage_of_any_length(outages):
    assert run_in_virtual_time(play_outages(outages)) <= BOUND_SECONDS


@pytest.mark.parametrize('entries', [5, 27, 68])
def test_entries_that_wait_in_step_know_a_change_within_half_a_second_after_a_long_outage(entries):
    for outage_seconds in (4.7, 4.9, 6.3, 8.4, 8.7):
        assert run_in_virtual_time(play_outages([(3.0, outage_seconds)], entries)) <= RECOVERY_SECONDS


@pytest.mark.parametrize('answer_seconds', [0.2, 0.4, 1.0, 2.0])
def test_store_that_answers_later_than_a_call_counts_as_silent_is_read_all_the_same(answer_seconds):
    async def play():
        store = SilentStore()
        store.answer_seconds = answer_seconds
        replica = Replica()

        async def wait_for_changes():
            for _ in range(3):
                store.change()
                await find_delay(store, [replica])

        await follow(store, [replica], wait_for_changes())
        return replica.revision.number

    assert run_in_virtual_time(play()) == 3


def test_idle_store_is_not_polled_faster_than_its_watches_wait():
    async def play():
        store = SilentStore()
        store.change()
        await follow(store, [Replica()], asyncio.sleep(60))
        return store.calls

    assert run_in_virtual_time(play()) <= 60 / find_read_times(BOUND_SECONDS).wait_seconds + 1
