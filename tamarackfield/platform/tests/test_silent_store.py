"""The store does not answer calls that are under way: what it tells afterwards is known in time all the same."""

import asyncio

import pytest

from tamarackfield.platform.settings import METRICS_PORT
from tamarackfield.testing.platform_site import (
    CONTACT_SECONDS,
    PLAIN_SERVICE,
    make_config,
    make_route,
    running_site,
)
from tamarackfield.testing.processes import wait_until
from tamarackfield.web.client import fetch

ADDED_ROUTE = make_route('/added/', 'idempotent', PLAIN_SERVICE)


async def wait_for_calls(store, count):
    """Wait until a number of calls have reached the store."""

    async def is_called():
        return len(store.calls) >= count

    await wait_until(is_called, f'{count} calls of the store')


async def lose_calls(store, count):
    """Lose a number of calls in a row; return when the store answers again, right after the last of them has begun."""
    # A change ends the watch that waits, so that the next call has just begun.
    calls_before = len(store.calls)
    store.put('op/other', {})
    await wait_for_calls(store, calls_before + 1)
    store.fault = 'silent'
    await wait_for_calls(store, calls_before + count)
    store.lose_calls()
    store.fault = ''


@pytest.mark.parametrize('lost_calls', [1, 2, 4])
async def test_route_is_served_in_time_after_the_store_lost_calls(one_worker_site, lost_calls):
    await lose_calls(one_worker_site.store, lost_calls)
    one_worker_site.store.put('op/config', make_config(2, [*make_config()['routes'], ADDED_ROUTE]))
    await asyncio.sleep(CONTACT_SECONDS)
    assert (await one_worker_site.call('/added/x'))[0] == 200


async def test_draining_worker_gets_no_request_in_time_after_the_store_lost_a_call(two_worker_site):
    leaving = two_worker_site.workers['w1']
    await lose_calls(two_worker_site.store, 1)
    two_worker_site.store.put('servers/w1', leaving.make_store_entry() | {'state': 'draining'})
    await asyncio.sleep(CONTACT_SECONDS)
    runs_before = len(leaving.runs)
    for _ in range(5):
        answers = await asyncio.gather(*(two_worker_site.call('/look/x') for _ in range(6)))
        assert {status for status, _, _ in answers} == {200}
    assert len(leaving.runs) == runs_before


async def test_log_and_histogram_tell_how_late_a_change_was_known(one_worker_site):
    await lose_calls(one_worker_site.store, 8)
    one_worker_site.store.put('op/config', make_config(2, [*make_config()['routes'], ADDED_ROUTE]))
    entry = one_worker_site.entries[0]
    await entry.wait_for_log_text('version=2 routes')
    late_lines = [line for line in entry.read_log().splitlines() if 'event=store_news_late' in line]
    assert ['source=watch' in line for line in late_lines] == [True]
    _, _, metrics = await fetch((entry.host, METRICS_PORT), 'GET', '/metrics')
    assert b'tamarackfield_store_news_seconds_count{source="watch"}' in metrics
    assert b'tamarackfield_store_age_seconds 0.' in metrics


async def test_entry_without_configuration_is_ready_in_time_after_the_store_lost_its_first_calls(tmp_path):
    async with running_site(tmp_path) as site:
        await site.add_worker('w1')
        site.store.fault = 'silent'
        await site.add_entry(wait=False)
        await wait_for_calls(site.store, 2)
        site.store.fault = ''
        await asyncio.sleep(CONTACT_SECONDS)
        assert (await site.call('/look/x'))[0] == 200
