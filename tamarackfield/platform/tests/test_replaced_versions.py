"""Versions of adapters that are replaced while requests for them wait."""

import asyncio
from functools import partial

import pytest

from tamarackfield.testing.platform_site import MODEL, MODEL_SERVICE, make_config, running_site
from tamarackfield.testing.processes import wait_until

LONG = ('Tamarackfield-Deadline-Ms', '60000')
PLACES = 8
EVENT_SECONDS = 0.05
#: Events of the streams that take all places, long enough for the requests behind them to begin later than a replaced
#: version may be used.
LONG_EVENTS = 140


async def read_stream(site, path, adapter, begun):
    """Read a stream to its end; count it in ``begun`` once its first event has arrived."""
    async with site.stream(path, [('Tamarackfield-Model', f'{MODEL}/{adapter}'), LONG]) as response:
        async for _ in response.chunks():
            begun.add(asyncio.current_task())
        return response.status


async def have_begun(begun, count):
    """Return whether a number of streams have begun."""
    return len(begun) >= count


@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
async def test_requests_that_wait_while_their_version_is_replaced_begin_on_the_new_one(tmp_path, path):
    # Guards against a version that is stated when a request starts to wait and never looked at again.
    config = make_config()
    for route in config['routes']:
        route['timeout_ms'] = 60_000
    async with running_site(tmp_path, config) as site:
        worker = await site.add_worker('m1', MODEL_SERVICE, event_interval_seconds=EVENT_SECONDS)
        worker.event_count = LONG_EVENTS
        worker.adapters |= {'a1': 1, 'a2': 1, 'a3': 1}
        site.write_worker_entry(worker)
        await site.add_sidecar(worker)
        await site.wait_for_sidecars(await site.add_entry())
        begun = set()
        calls = [asyncio.create_task(read_stream(site, '/draft/x', 'a1', begun)) for _ in range(PLACES)]
        await wait_until(partial(have_begun, begun, PLACES), 'all places are taken')
        worker.event_count = 2
        calls += [asyncio.create_task(read_stream(site, path, f'a{2 + number % 2}', begun)) for number in range(8)]
        await asyncio.sleep(0.5)
        assert len(worker.runs) == PLACES
        for adapter in ('a2', 'a3'):
            site.store.put(f'op/version/{MODEL}.{adapter}', {'model': MODEL, 'adapter': adapter, 'version': 2})
        assert set(await asyncio.gather(*calls)) == {200}
        versions = [run.headers.get('tamarackfield-expect-version') for run in worker.runs[PLACES:]]
        assert versions == ['2' for _ in range(8)]
