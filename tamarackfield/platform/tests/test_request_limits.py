"""Workers that state how many requests a second they take get no more from all entries together."""

import asyncio
import contextlib

import pytest

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.platform_site import MODEL_SERVICE, PLAIN_SERVICE, running_site
from tamarackfield.testing.processes import wait_until

ENTRIES = 3
#: Limit, time after its first statement from which it is to be kept, and the window in which requests are counted.
LIMIT = 2.0
CONTACT_SECONDS, WINDOW_SECONDS = 3.0, 4.0
#: Share of what the limit allows that is to be used while callers want more.
SERVED_SHARE = 0.7
MAX_REQUESTS_IN_WINDOW = 1.5 * LIMIT * WINDOW_SECONDS + 5
#: Requests a second of all callers together, about ten times what the worker takes.
CALLER_RATE = 20
ADAPTERS = 4


@pytest.fixture(params=[True, False], ids=['sidecars', 'no_sidecars'])
async def plain_site(tmp_path, request):
    """Run entries with a plain worker, beside a model worker or without any sidecar."""
    async with running_site(tmp_path) as site:
        await site.add_worker('w1')
        if request.param:
            await site.add_sidecar(await site.add_worker('m1', MODEL_SERVICE))
        for _ in range(ENTRIES):
            await site.wait_for_sidecars(await site.add_entry())
        yield site


@pytest.fixture
async def two_engine_site(tmp_path):
    """Run entries with two model workers."""
    async with running_site(tmp_path) as site:
        for name in ('m1', 'm2'):
            await site.add_sidecar(await site.add_worker(name, MODEL_SERVICE))
        for _ in range(ENTRIES):
            await site.wait_for_sidecars(await site.add_entry())
        yield site


@contextlib.asynccontextmanager
async def steady_calls(site, service):
    """Call a service through all entries in turn; yield the list of the statuses of the answers."""
    statuses = []

    async def call(number):
        headers = [('Tamarackfield-Model', f'base/a{number % ADAPTERS}')] if service == MODEL_SERVICE else []
        path, method = ('/draft/x', 'POST') if headers else ('/look/x', 'GET')
        status, _, _ = await site.call(path, method, b'', headers, number % ENTRIES)
        statuses.append(status)

    async def keep_calling():
        async with asyncio.TaskGroup() as calls:
            for number in range(10_000):
                calls.create_task(call(number))
                await asyncio.sleep(1 / CALLER_RATE)

    task = asyncio.create_task(keep_calling())
    try:
        yield statuses
    finally:
        task.cancel()
        await asyncio.wait((task,))


def count_densest_window(worker, since):
    """Return the largest number of requests that reached a worker within some window that begins after a time."""
    arrivals = [at for at, _ in worker.list_arrivals() if at >= since]
    return max((sum(begin <= at < begin + WINDOW_SECONDS for at in arrivals) for begin in arrivals), default=0)


async def exceed_limit(site, service, workers, disturb=None):
    """Call a service at ten times the limit that workers state, check it, and return the statuses since then."""
    async with steady_calls(site, service) as statuses:
        await asyncio.sleep(1)
        for worker in workers:
            worker.request_limit = str(LIMIT)
        kept_from = SYSTEM_CLOCK.monotonic() + CONTACT_SECONDS
        await asyncio.sleep(CONTACT_SECONDS)
        first = len(statuses)
        if disturb is not None:
            await disturb()
        await asyncio.sleep(WINDOW_SECONDS + 1)
    for worker in workers:
        assert count_densest_window(worker, kept_from) <= MAX_REQUESTS_IN_WINDOW
    return statuses[first:]


async def test_plain_worker_gets_no_more_requests_than_its_limit_from_all_entries_together(plain_site):
    statuses = await exceed_limit(plain_site, PLAIN_SERVICE, [plain_site.workers['w1']])
    assert set(statuses) == {200, 503}
    assert statuses.count(200) >= SERVED_SHARE * LIMIT * WINDOW_SECONDS


async def test_engine_gets_no_more_requests_than_its_limit_and_others_serve(two_engine_site):
    statuses = await exceed_limit(two_engine_site, MODEL_SERVICE, [two_engine_site.workers['m1']])
    assert set(statuses) == {200}


async def test_engines_that_all_state_a_limit_get_most_of_it(two_engine_site):
    workers = [two_engine_site.workers[name] for name in ('m1', 'm2')]
    statuses = await exceed_limit(two_engine_site, MODEL_SERVICE, workers)
    assert set(statuses) == {200, 503}
    assert statuses.count(200) >= SERVED_SHARE * len(workers) * LIMIT * WINDOW_SECONDS


async def test_engines_that_all_state_a_limit_keep_it_while_a_sidecar_is_killed(two_engine_site):
    workers = [two_engine_site.workers[name] for name in ('m1', 'm2')]
    statuses = await exceed_limit(two_engine_site, MODEL_SERVICE, workers, two_engine_site.sidecars['m1'].kill)
    assert set(statuses) == {200, 503}


async def test_caller_is_refused_at_once_with_the_next_turn_while_all_workers_are_at_their_limit(plain_site):
    worker = plain_site.workers['w1']
    worker.request_limit = '0.2'
    await plain_site.call('/look/x')
    arrivals = len(worker.list_arrivals())
    status, headers, body = await plain_site.call('/look/x')
    assert (status, body.startswith(b'not_run')) == (503, True)
    assert 1 < float(headers['retry-after']) <= 7
    assert len(worker.list_arrivals()) == arrivals


async def test_entry_that_restarts_knows_a_limit_before_it_calls_the_worker(two_engine_site):
    worker, entry = two_engine_site.workers['m1'], two_engine_site.entries[0]
    worker.request_limit = '0.2'
    await two_engine_site.entries[1].wait_for_log_text('event=target_limit')
    await entry.kill()
    await entry.start()
    await entry.wait_ready()
    await entry.wait_for_log_text('source=sidecar')
    assert worker.runs == []


async def test_limit_is_logged_and_not_passed_on_to_the_caller(one_worker_site):
    one_worker_site.workers['w1'].request_limit = '4.5'
    status, headers, _ = await one_worker_site.call('/look/x')
    assert (status, 'server-limit' in headers) == (200, False)
    await one_worker_site.entries[0].wait_for_log_text('event=target_limit')
    one_worker_site.workers['w1'].request_limit = ''

    async def is_served():
        return (await one_worker_site.call('/look/x'))[0] == 200

    await wait_until(is_served, 'a call is admitted')
    await one_worker_site.entries[0].wait_for_log_text('limit=None')


@pytest.mark.parametrize('text', ['-3', 'many', 'nan', 'inf', '9' * 400])
async def test_malformed_limit_limits_nothing(one_worker_site, text):
    one_worker_site.workers['w1'].request_limit = text
    assert [(await one_worker_site.call('/look/x'))[0] for _ in range(4)] == 4 * [200]
    assert 'event=target_limit' not in one_worker_site.entries[0].read_log()
