"""The store comes back from an older copy: nothing in force reverts, and what is written again is applied."""

import asyncio
import re

import pytest

from tamarackfield.platform.settings import METRICS_PORT
from tamarackfield.testing.platform_site import PLAIN_SERVICE, make_config, make_route
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.processes import wait_until
from tamarackfield.web.client import fetch

RETURN_LOGGED = 'event=store_era_changed'
NEWER_ROUTE = make_route('/newer/', 'idempotent', PLAIN_SERVICE)
NEWEST_ROUTE = make_route('/newest/', 'idempotent', PLAIN_SERVICE)


def put_config(site, version, *routes):
    """Write a configuration with the standard routes and further ones."""
    site.store.put('op/config', make_config(version, [*make_config()['routes'], *routes]))


async def lose_configuration(site):
    """Write version 5 with a further route, then return to a copy without it."""
    copy = site.store.make_copy()
    put_config(site, 5, NEWER_ROUTE)
    await site.entries[0].wait_for_log_text('version=5 routes')
    site.store.return_from_copy(copy)
    await site.entries[0].wait_for_log_text(RETURN_LOGGED)


async def wait_for_status(site, path, status, entry=0):
    """Wait until calls to a path are answered with a status."""

    async def is_answered():
        return (await site.call(path, entry=entry))[0] == status

    await wait_until(is_answered, f'{path} is answered with {status}')


async def test_configuration_in_force_stays_although_the_store_lost_it(one_worker_site):
    await lose_configuration(one_worker_site)
    assert (await one_worker_site.call('/newer/x'))[0] == 200
    put_config(one_worker_site, 5, NEWER_ROUTE)
    put_config(one_worker_site, 6, NEWER_ROUTE, NEWEST_ROUTE)
    await wait_for_status(one_worker_site, '/newest/x', 200)
    log = one_worker_site.entries[0].read_log()
    assert log.count('event=configuration_in_force') == 3
    _, _, metrics = await fetch((one_worker_site.entries[0].host, METRICS_PORT), 'GET', '/metrics')
    assert b'tamarackfield_store_era 2' in metrics


async def test_return_of_the_store_leaves_one_line_for_each_prefix_with_both_eras_and_what_differs(one_worker_site):
    store = one_worker_site.store
    copy = store.make_copy()
    await one_worker_site.add_worker('w2', 'other')
    put_config(one_worker_site, 5, make_route('/newer/', 'idempotent', 'other'))
    await wait_for_status(one_worker_site, '/newer/x', 200)
    store.return_from_copy(copy)
    entry = one_worker_site.entries[0]
    await entry.wait_for_log_text('event=older_configuration_ignored')
    await entry.wait_for_log_text(RETURN_LOGGED)
    lines = [line for line in entry.read_log().splitlines() if RETURN_LOGGED in line]
    prefixes = [re.search(r'prefix=(\S+) before=1 era=2 changed=\d+ missing=\d+', line)[1] for line in lines]
    assert len(prefixes) == len(set(prefixes))
    assert any(not line.endswith('missing=0') for line in lines)


async def test_change_with_a_reissued_revision_is_applied(one_worker_site):
    store = one_worker_site.store
    copy = store.make_copy()
    for number in range(20):
        store.put(f'op/other-{number}', {})
    put_config(one_worker_site, 5, NEWER_ROUTE)
    await one_worker_site.entries[0].wait_for_log_text('version=5 routes')
    store.return_from_copy(copy)
    put_config(one_worker_site, 6, NEWEST_ROUTE)
    await wait_for_status(one_worker_site, '/newest/x', 200)


async def test_changes_are_applied_although_the_store_no_longer_states_its_era(one_worker_site):
    one_worker_site.store.era = 0
    put_config(one_worker_site, 6, NEWEST_ROUTE)
    await wait_for_status(one_worker_site, '/newest/x', 200)


async def test_change_is_not_skipped_when_reissued_revisions_have_overtaken_the_watch(one_worker_site):
    store = one_worker_site.store
    copy = store.make_copy()
    store.put('op/other', {})
    await one_worker_site.entries[0].wait_for_log_text('op/other')
    store.return_from_copy(copy)
    put_config(one_worker_site, 6, NEWEST_ROUTE)
    for number in range(5):
        store.put(f'op/later-{number}', {})
    await wait_for_status(one_worker_site, '/newest/x', 200)


async def test_worker_that_the_copy_lacks_is_served_until_it_registers_again(one_worker_site):
    store = one_worker_site.store
    copy = store.make_copy()
    worker = await one_worker_site.add_worker('w2', 'other')
    put_config(one_worker_site, 5, make_route('/newer/', 'idempotent', 'other'))
    await wait_for_status(one_worker_site, '/newer/x', 200)
    store.return_from_copy(copy)
    await one_worker_site.entries[0].wait_for_log_text('event=target_vanished')
    assert (await one_worker_site.call('/newer/x'))[0] == 200
    one_worker_site.write_worker_entry(worker)
    await one_worker_site.entries[0].wait_for_log_text('store_era_changed')
    assert (await one_worker_site.call('/newer/x'))[0] == 200
    assert 'event=target_gone' not in one_worker_site.entries[0].read_log()


async def test_worker_that_the_copy_lacks_and_that_does_not_register_again_is_gone(one_worker_site):
    copy = one_worker_site.store.make_copy()
    await one_worker_site.add_worker('w2')
    await one_worker_site.entries[0].wait_for_log_text('target=w2')
    one_worker_site.store.return_from_copy(copy)
    await one_worker_site.entries[0].wait_for_log_text('event=target_gone')


@pytest.mark.parametrize('announced', [True, False], ids=['draining', 'deleted'])
async def test_departed_worker_that_the_copy_lists_receives_no_requests(two_worker_site, announced):
    store, entry = two_worker_site.store, two_worker_site.entries[0]
    departing = two_worker_site.workers['w1']
    copy = store.make_copy()
    if announced:
        departing.state = 'draining'
        two_worker_site.write_worker_entry(departing)
        await entry.wait_for_log_text('event=target_leaving')
    store.delete('servers/w1')
    await entry.wait_for_log_text('event=target_gone')
    store.return_from_copy(copy)
    await entry.wait_for_log_text(RETURN_LOGGED)
    runs_before = len(departing.runs)
    for _ in range(8):
        assert (await two_worker_site.call('/look/x'))[0] == 200
    assert len(departing.runs) == runs_before
    departing.state = 'ready'
    await departing.restart()
    two_worker_site.write_worker_entry(departing)
    await entry.wait_for_log_text('target=w1 service', 2)
    await asyncio.gather(*(two_worker_site.call('/look/x') for _ in range(30)))
    assert len(departing.runs) > runs_before


async def test_adapter_version_that_the_copy_lacks_is_still_required(model_site):
    entry = model_site.entries[0]
    copy = model_site.store.make_copy()
    model_site.store.put('op/version/base.a7', {'model': 'base', 'adapter': 'a7', 'version': 3})
    await entry.wait_for_log_text('event=adapter_version')
    model_site.store.return_from_copy(copy)
    await entry.wait_for_log_text(RETURN_LOGGED)
    async with model_site.stream('/draft/x', [('Tamarackfield-Model', 'base/a7')]) as response:
        assert response.status == 200
    last_run = model_site.workers['m1'].runs[-1]
    assert last_run.headers['tamarackfield-expect-version'] == '3'


async def test_entry_started_without_the_store_gets_the_lost_configuration_from_peers(one_worker_site):
    await lose_configuration(one_worker_site)
    one_worker_site.store.fault = 'reset'
    await one_worker_site.entries[0].wait_for_log_text('event=store_lost')
    await one_worker_site.add_entry()
    assert (await one_worker_site.call('/newer/x', entry=1))[0] == 200


async def test_entry_cut_off_from_the_store_learns_of_the_return_from_peers(one_worker_site):
    await one_worker_site.add_entry()
    store, cut_off = one_worker_site.store, one_worker_site.entries[1]
    copy = store.make_copy()
    for number in range(20):
        store.put(f'op/other-{number}', {})
    await cut_off.wait_for_log_text('op/other-19')
    address = cut_off.settings['provider']['address']
    cut_off.settings['provider'] = {'address': f'{cut_off.host}:{reserve_port()}'}
    cut_off.reload()
    await cut_off.wait_for_log_text('event=store_lost')
    store.return_from_copy(copy)
    put_config(one_worker_site, 6, NEWEST_ROUTE)
    await wait_for_status(one_worker_site, '/newest/x', 200, entry=1)
    cut_off.settings['provider'] = {'address': address}
    cut_off.reload()
    put_config(one_worker_site, 7, NEWEST_ROUTE, NEWER_ROUTE)
    await wait_for_status(one_worker_site, '/newer/x', 200, entry=1)


async def test_two_returns_within_a_second_are_both_followed(one_worker_site):
    store = one_worker_site.store
    copy = store.make_copy()
    put_config(one_worker_site, 5, NEWER_ROUTE)
    await one_worker_site.entries[0].wait_for_log_text('version=5 routes')
    for _ in range(2):
        store.return_from_copy(copy)
        store.put('op/other', {})
        await asyncio.sleep(0.3)
    put_config(one_worker_site, 6, NEWEST_ROUTE)
    await wait_for_status(one_worker_site, '/newest/x', 200)


async def restart(process):
    """Kill a process, start it again and wait until it is ready."""
    await process.kill()
    await process.start()
    await process.wait_ready()
    await process.wait_for_log_text('event=beliefs_of_peer')


async def test_entry_that_restarts_after_the_return_has_the_configuration_in_force_at_its_peers(one_worker_site):
    restarted = await one_worker_site.add_entry()
    await lose_configuration(one_worker_site)
    await restart(restarted)
    assert (await one_worker_site.call('/newer/x', entry=1))[0] == 200


async def test_entry_that_restarts_does_not_use_a_departed_worker_that_the_copy_lists(two_worker_site):
    restarted = await two_worker_site.add_entry()
    leaving, store = two_worker_site.workers['w1'], two_worker_site.store
    copy = store.make_copy()
    leaving.state = 'draining'
    two_worker_site.write_worker_entry(leaving)
    await two_worker_site.entries[0].wait_for_log_text('event=target_leaving')
    store.return_from_copy(copy)
    await two_worker_site.entries[0].wait_for_log_text(RETURN_LOGGED)
    await restart(restarted)
    arrivals = len(leaving.list_arrivals())
    statuses = [(await two_worker_site.call('/look/x', entry=1))[0] for _ in range(12)]
    assert set(statuses) == {200}
    assert len(leaving.list_arrivals()) == arrivals
