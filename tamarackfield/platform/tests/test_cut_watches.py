"""Waiting watches of the store are cut while it answers all other calls: what it deletes is gone in time."""

import asyncio

import pytest

from tamarackfield.testing.platform_site import DRAIN_SECONDS, MODEL_SERVICE, PLAIN_SERVICE, running_site

ADAPTER = ('Tamarackfield-Model', 'base/a7')
PATHS = {PLAIN_SERVICE: ('/file/x', '/look/x'), MODEL_SERVICE: ('/draft/x', '/summary/x')}
LEAVING = ('w1', 'w2')
CALL_INTERVAL_SECONDS = 0.02
CUT_INTERVAL_SECONDS = 0.25
#: Time from the removal of one worker to that of the next.
STEP_SECONDS = 0.2
#: A drain time that is shorter than the time after which entries that lapsed are registered again.
SHORT_DRAIN_SECONDS = 1.2


async def cut_one_watch(store, resets):
    """Cut the watches that wait, as soon as one does."""
    while not store.cut_watches(resets):
        await asyncio.sleep(0.005)


async def cut_again_and_again(store):
    """Cut the watches that wait at short intervals."""
    while True:
        await cut_one_watch(store, resets=True)
        await asyncio.sleep(CUT_INTERVAL_SECONDS)


async def send_calls(site, service):
    """Send calls of each kind that the service takes at short intervals."""
    calls = []
    try:
        while True:
            calls += [asyncio.create_task(site.call(path, 'POST', headers=[ADAPTER])) for path in PATHS[service]]
            await asyncio.sleep(CALL_INTERVAL_SECONDS)
    finally:
        await asyncio.gather(*calls)


async def remove_workers(site):
    """Remove the entries of all workers of a service; return the time of each removal."""
    loop = asyncio.get_running_loop()
    removed_at = {}
    for name in LEAVING:
        site.store.delete(f'servers/{name}')
        removed_at[name] = loop.time()
        await asyncio.sleep(STEP_SECONDS)
    return removed_at


async def find_latest_arrival(site, service, disturb, gap_seconds, **changes):
    """Remove all workers of a service some time after a disturbance; return how late the last call reached one."""
    for name in LEAVING:
        worker = await site.add_worker(name, service, **changes)
        if service == MODEL_SERVICE:
            await site.add_sidecar(worker)
    await site.wait_for_sidecars(await site.add_entry())
    sending = asyncio.create_task(send_calls(site, service))
    await asyncio.sleep(DRAIN_SECONDS)
    disturbing = asyncio.create_task(disturb(site.store))
    await asyncio.sleep(gap_seconds)
    removed_at = await remove_workers(site)
    await asyncio.sleep(DRAIN_SECONDS + 0.5)
    for task in (sending, disturbing):
        task.cancel()
    await asyncio.wait((sending, disturbing))
    delays = [run.began_at - removed_at[name] for name in LEAVING for run in site.workers[name].runs]
    assert any(-1 < delay < 0 for delay in delays), 'the workers were not in use until they were removed'
    return max(delays)


def make_cut(resets=True):
    """Return a disturbance that cuts the watches that wait once."""

    async def cut(store):
        await cut_one_watch(store, resets)

    return cut


async def compact_after_cut(store):
    """Cut the watches that wait, and discard the history at once."""
    await cut_one_watch(store, resets=True)
    store.compact()


async def cut_three_times(store):
    """Cut the watches that wait three times in a row."""
    for _ in range(3):
        await cut_one_watch(store, resets=True)
        await asyncio.sleep(0)


# Guards against: a cut watch counts as an outage of the store, so that removed workers are called for seconds.
@pytest.mark.parametrize('resets', [True, False])
@pytest.mark.parametrize('gap_seconds', [0.02, 0.3, 0.7, 1.2])
async def test_workers_removed_after_a_cut_watch_get_no_call_beyond_the_drain_time(tmp_path, gap_seconds, resets):
    async with running_site(tmp_path) as site:
        assert await find_latest_arrival(site, PLAIN_SERVICE, make_cut(resets), gap_seconds) < DRAIN_SECONDS


# Guards against: a fixed time after a cut watch, which just fits into one drain time, exceeds a shorter one.
@pytest.mark.parametrize('disturb', [make_cut(), cut_three_times, cut_again_and_again, compact_after_cut])
@pytest.mark.parametrize('gap_seconds', [0.02, 0.7, 1.6])
async def test_workers_removed_after_a_cut_watch_get_no_call_beyond_a_short_drain_time(tmp_path, gap_seconds, disturb):
    async with running_site(tmp_path) as site:
        site.bounds = {'drain_ms': SHORT_DRAIN_SECONDS * 1000}
        assert await find_latest_arrival(site, PLAIN_SERVICE, disturb, gap_seconds) < SHORT_DRAIN_SECONDS


# Guards against: a cut watch counts as an outage of the store, so that removed workers are called for seconds.
@pytest.mark.parametrize('service', [PLAIN_SERVICE, MODEL_SERVICE])
async def test_workers_removed_while_watches_are_cut_get_no_call_beyond_the_drain_time(tmp_path, service):
    async with running_site(tmp_path) as site:
        assert await find_latest_arrival(site, service, cut_again_and_again, 1.0) < DRAIN_SECONDS


# Guards against: workers of a model service with sidecars are called on after a cut watch, by streams that waited too.
@pytest.mark.parametrize('event_interval_seconds', [0.01, 0.2])
async def test_model_workers_removed_after_a_cut_watch_get_no_call_beyond_the_drain_time(
    tmp_path, event_interval_seconds
):
    changes = {'event_interval_seconds': event_interval_seconds}
    async with running_site(tmp_path) as site:
        assert await find_latest_arrival(site, MODEL_SERVICE, make_cut(), 0.7, **changes) < DRAIN_SECONDS
