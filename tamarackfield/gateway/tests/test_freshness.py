"""Removed API keys: what entries may still run while stores, links and processes fail, in virtual time."""

import asyncio
import random
from functools import partial

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from tamarackfield.core import Clock, RequestError, cancel_and_wait
from tamarackfield.gateway.authentication import MAX_RETRY_SECONDS, Authenticator, KeyGuard, digest_key
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.configuration import Configuration
from tamarackfield.gateway.follower import Follower
from tamarackfield.gateway.freshness import FreshnessExchange, FreshnessTracker
from tamarackfield.gateway.replica import Item, Page, Replica, StoreError
from tamarackfield.gateway.revisions import Revision
from tamarackfield.gateway.tests.samples import make_call, make_catalog, make_customer, make_route
from tamarackfield.observe.prometheus import MetricRegistry
from tamarackfield.policy.freshness import CONFIRM_SECONDS
from tamarackfield.policy.store_reads import find_read_times
from tamarackfield.testing.virtual_time import run_in_virtual_time

REVOKE_SECONDS, APPLY_SECONDS = 5.0, 3.0
#: Time in which a message arrives, in seconds.
HOP_SECONDS = 0.004
#: Longest faults, in seconds; peers are cut off for less time than after which an era is confirmed without them.
MAX_FAULT_SECONDS, MAX_CUT_SECONDS = 15.0, 8.0
KEYS = ('k0', 'k1', 'k2')
#: Interval between two requests with the same key at the same entry, in seconds.
REQUEST_SECONDS = 0.31


def now():
    return asyncio.get_running_loop().time()


class Store:
    """Store of one configuration, which may return to its previous version."""

    def __init__(self):
        self.era = 1
        self.number = 1
        self.delay_seconds = 0.0
        self.calls = 0
        self.written = []
        self.changed = asyncio.Event()
        self.write(frozenset(KEYS))

    def write(self, keys):
        self.written.append((now(), keys))
        self._replace(len(self.written), keys)

    def restore(self):
        if len(self.written) > 1:
            self.era += 1
            self.number -= 1
            self._replace(len(self.written) - 1, self.written[-2][1])

    def list_states(self, key, begin, end):
        """Return whether the configurations that were in force at some time of an interval had a key."""
        ends = [at for at, _ in self.written[1:]] + [end + 1]
        spans = zip(self.written, ends, strict=True)
        return {key in keys for (at, keys), until in spans if at <= end and until >= begin}

    def page(self, after):
        item = Item('op/config', Revision(self.era, self.number), ' '.join((str(self.version), *self.keys)).encode())
        return Page((item,) if item.revision.number > after else (), item.revision)

    def _replace(self, version, keys):
        self.number += 1
        self.version = version
        self.keys = keys
        self.changed.set()
        self.changed = asyncio.Event()


class Node:
    """One entry, of which the parts that decide by keys are real."""

    def __init__(self, store, name, nodes):
        clock = Clock(asyncio.get_running_loop().time, int)
        self.store = store
        self.nodes = nodes
        self.cut_until = {'store': 0.0, 'refused': 0.0, 'peers': 0.0, 'frozen': 0.0}
        replica = Replica()
        self.configuration = Configuration(decode, None, float)
        self.follower = Follower(
            '', self, replica, self.configuration.apply_item, find_read_times(APPLY_SECONDS), clock
        )
        self.tracker = FreshnessTracker(self.configuration, replica, self.follower.check, lambda: name, clock)
        self.tracker.configure(True, REVOKE_SECONDS, APPLY_SECONDS)
        self.follower.on_applied = self.tracker.record_answer
        self.follower.is_news_urgent = self.tracker.claim_check
        self.follower.call_clock = clock
        addresses = [('n', number) for number in range(len(nodes)) if number != name]
        self.exchange = FreshnessExchange(self.tracker, lambda: addresses, self.query_peer)
        self.guard = KeyGuard(self.tracker, MetricRegistry('test'), Authenticator(), random.Random(1))
        self.endings = []

    def renew_connections(self):
        """No connections are kept."""

    async def awake(self):
        while now() < self.cut_until['frozen']:
            await asyncio.sleep(self.cut_until['frozen'] - now())

    async def read_range(self, prefix, after_key, on_progress):
        return await self.call_store(-1, 0)

    async def watch(self, prefix, after, wait_seconds, on_progress):
        return await self.call_store(after.number, wait_seconds)

    async def call_store(self, after, wait_seconds):
        await self.awake()
        await self.reach_store()
        self.store.calls += 1
        if self.store.number <= after:
            try:
                async with asyncio.timeout(wait_seconds):
                    await self.store.changed.wait()
            except TimeoutError:
                pass  # noqa: WPS420 the answer is empty
        page = self.store.page(after)
        await self.reach_store()
        await self.awake()
        return page

    async def reach_store(self):
        await asyncio.sleep(HOP_SECONDS + self.store.delay_seconds)
        if now() < self.cut_until['refused']:
            raise StoreError('refused')
        if now() < self.cut_until['store']:
            await asyncio.Event().wait()

    async def query_peer(self, address, question):
        peer = self.nodes[address[1]]
        await self.awake()
        await asyncio.sleep(HOP_SECONDS)
        if any(now() < max(node.cut_until['peers'], node.cut_until['frozen']) for node in (self, peer)):
            await asyncio.sleep(1.0)
            return None
        answer = peer.tracker.answer(question)
        await asyncio.sleep(HOP_SECONDS)
        await self.awake()
        return answer

    async def request(self, key, wait_seconds=0.0):
        """Send a request whose place at a target is free after some time; record how it ended, and check that."""
        sent_at, route = now(), make_route(name='keyed')
        await self.awake()
        call = make_call(key_digest=digest_key(key.encode()), received_at=now())
        try:
            await self.guard.settle_doubt(call, route)
            state = CallState(call, route, 'plain', 1, customer=self.guard.authenticate(call, route))
            await asyncio.sleep(wait_seconds)
            await self.awake()
            self.guard.require_key(state)
        except RequestError as exc:
            assert exc.outcome.value == 'not_run'
            assert exc.status == 401 or 0 < exc.retry_after <= MAX_RETRY_SECONDS
            was_valid = self.store.list_states(key, sent_at - APPLY_SECONDS, now()) == {True}
            assert exc.status != 401 or not was_valid, f'valid key {key} was unknown at {now()}, sent at {sent_at}'
            self.endings.append((now(), exc.status))
            return
        may_run = True in self.store.list_states(key, sent_at - REVOKE_SECONDS, now())
        assert may_run, f'removed key {key} ran at {now()}, sent at {sent_at}'
        self.endings.append((now(), 200))


def decode(item):
    version, *keys = item.content.decode().split()
    return make_catalog(version=int(version), customers=[make_customer(f'of {key}', key) for key in sorted(keys)])


async def play(history, keys=KEYS, nodes=3):
    """Play faults and changes, each some time after the one before, beside requests; return the nodes."""
    store = Store()
    entries: list[Node] = [None for _ in range(nodes)]
    for number in range(nodes):
        entries[number] = Node(store, number, entries)
    sends = []

    async def send_requests():
        for number in range(100_000):
            for node in entries:
                for key in keys:
                    sends.append(asyncio.create_task(node.request(key, 0.0 if number % 3 else 2.5)))
            await asyncio.sleep(REQUEST_SECONDS)

    loops = [asyncio.create_task(work()) for node in entries for work in (node.follower.run, node.exchange.run)]
    await asyncio.sleep(1.0)
    loops.append(asyncio.create_task(send_requests()))
    for seconds, action in history:
        await asyncio.sleep(seconds)
        action(store, entries)
    await asyncio.sleep(3 * REVOKE_SECONDS)
    await cancel_and_wait(loops)
    await asyncio.gather(*sends)
    return entries


def write(keys, store, entries):
    store.write(frozenset(keys))


def restore(store, entries):
    """Return to the version before, unless the first entry, which never fails, has not read the latest."""
    if entries[0].configuration.catalog.version == len(store.written):
        store.restore()


def slow_down(seconds, store, entries):
    store.delay_seconds = seconds


def fail(kind, number, seconds, store, entries):
    """Cut off or freeze an entry; peers only after some time without that."""
    cuts = entries[number].cut_until
    if kind != 'peers' or now() > cuts[kind] + 2:
        longest = MAX_CUT_SECONDS if kind == 'peers' else seconds
        cuts[kind] = now() + min(seconds, longest)


def fail_store(seconds, store, entries):
    for node in entries:
        node.cut_until['store'] = now() + seconds


SECONDS = st.floats(5.0, MAX_FAULT_SECONDS)
WRITES = st.builds(partial, st.just(write), st.sets(st.sampled_from(KEYS)))
FAULTS = st.one_of(
    *(
        st.builds(partial, st.just(fail), st.just(kind), st.just(1), SECONDS)
        for kind in ('store', 'refused', 'peers', 'frozen')
    ),
    st.builds(partial, st.just(fail_store), SECONDS),
    st.builds(partial, st.just(slow_down), st.sampled_from((0.0, 0.3, 1.0))),
)
#: Faults that overlap, with changes and returns of the store to older copies among them.
ACTIONS = st.one_of(WRITES, WRITES, FAULTS, FAULTS, st.just(restore))


@settings(max_examples=150, deadline=None)
@given(history=st.lists(st.tuples(st.floats(0.01, 2.0), ACTIONS), min_size=4, max_size=14))
def test_removed_key_runs_nothing_and_a_valid_one_is_not_unknown(history):
    # Guards against requests with removed keys at entries that are cut off, frozen, or read an older copy.
    run_in_virtual_time(play(history))


K0, ALL = partial(write, ['k0']), partial(write, KEYS)
FREEZE, CUT_PEERS = partial(fail, 'frozen', 1, 9.0), partial(fail, 'peers', 1, 8.0)
LOSE_STORE, REFUSE, LOSE_ALL = (
    partial(fail, 'store', 1, 20.0),
    partial(fail, 'refused', 1, 30.0),
    partial(fail_store, 20.0),
)
LOSE_BRIEFLY = partial(fail, 'store', 1, 3.0)
#: Histories, each with what goes wrong in it without one part of the proof.
HISTORIES = {
    'answer is dated by its arrival': ((2.0, FREEZE), (1.1, K0), (0.1, LOSE_STORE), (0.1, CUT_PEERS)),
    'statement of a peer with a newer configuration counts': ((2.0, REFUSE), (1.0, K0)),
    'older copy counts before peers were asked': ((2.0, LOSE_BRIEFLY), (0.1, CUT_PEERS), (0.4, K0), (2.0, restore)),
    'age of a proof exceeds the bound': ((1.99, ALL), (0.015, LOSE_ALL), (0.001, K0)),
    'statements of peers renew each other': ((1.99, ALL), (0.015, LOSE_ALL), (0.001, K0), (9.0, ALL)),
    'key added during a freeze is unknown': ((1.0, K0), (2.0, FREEZE), (1.0, ALL)),
    'key added while an entry was cut off is unknown': ((1.0, K0), (2.0, REFUSE), (0.1, CUT_PEERS), (0.5, ALL)),
}


@pytest.mark.parametrize('case', HISTORIES)
def test_no_removed_key_runs_and_no_valid_one_is_unknown_in(case):
    run_in_virtual_time(play(HISTORIES[case]))


def list_statuses(node, begin, end):
    return {status for at, status in node.endings if begin <= at <= end}


def test_without_faults_every_request_runs_and_no_call_is_added():
    node = run_in_virtual_time(play([(60.0, partial(slow_down, 0.0))], nodes=1))[0]
    assert list_statuses(node, 0, 100) == {200}
    assert node.store.calls <= 76 / find_read_times(APPLY_SECONDS).wait_seconds + 2


@pytest.mark.parametrize('kind', ['store', 'refused'])
def test_statements_of_peers_serve_an_entry_that_the_store_does_not_answer(kind):
    nodes = run_in_virtual_time(play([(2.0, partial(fail, kind, 1, 30.0)), (30.0, partial(slow_down, 0.0))]))
    assert all(list_statuses(node, 0, 100) == {200} for node in nodes)


def test_store_that_is_away_for_all_stops_requests_until_it_returns():
    nodes = run_in_virtual_time(play([(2.0, partial(fail_store, 20.0)), (20.0, partial(slow_down, 0.0))]))
    for node in nodes:
        assert list_statuses(node, 0, 3 + 3) == {200}
        assert list_statuses(node, 3 + REVOKE_SECONDS, 23) == {503}
        assert list_statuses(node, 23.7, 100) == {200}


def test_removed_key_is_refused_within_the_bound_and_may_come_back():
    history = [(2.0, partial(write, ['k0'])), (10.0, partial(write, KEYS)), (1.0, partial(slow_down, 0.0))]
    node = run_in_virtual_time(play(history, keys=['k1'], nodes=1))[0]
    assert list_statuses(node, 3.1, 13) == {401}
    assert list_statuses(node, 13 + APPLY_SECONDS, 100) == {200}


def test_new_era_without_any_peer_counts_after_a_time_and_costs_few_calls():
    # Guards against a tight loop of calls while answers do not count.
    node = run_in_virtual_time(play([(2.0, K0), (3.0, restore), (20.0, K0)], keys=['k0'], nodes=1))[0]
    assert list_statuses(node, 6 + REVOKE_SECONDS, 6 + CONFIRM_SECONDS) == {503}
    assert list_statuses(node, 6.5 + CONFIRM_SECONDS, 100) == {200}
    assert node.store.calls <= 41 / find_read_times(APPLY_SECONDS).wait_seconds + 20


def test_unknown_keys_cost_no_call_each():
    node = run_in_virtual_time(
        play([(2.0, partial(fail, 'frozen', 0, 9.0))], keys=['other' for _ in range(20)], nodes=1)
    )[0]
    assert node.store.calls <= 27 / find_read_times(APPLY_SECONDS).wait_seconds + 27
    assert list_statuses(node, 13, 100) == {401}


def test_later_item_with_the_same_version_and_other_customers_is_in_force():
    # Guards against a removed key after the store lost a version, which is then given out again.
    configuration = Configuration(decode, None, float)
    for number, keys in ((5, b'4 k0 k1'), (7, b'4 k0'), (6, b'4 k0 k1')):
        configuration.apply_item(Item('op/config', Revision(1, number), keys), missing_seconds=0)
    assert list(configuration.catalog.customers) == ['of k0']
