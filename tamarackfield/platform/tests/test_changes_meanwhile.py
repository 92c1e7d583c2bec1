"""Requests that wait while the configuration changes are served as when they arrived: they were sent before."""

import asyncio
import contextlib

import pytest

from tamarackfield.testing.platform_site import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    make_config,
    make_route,
    read_events,
    running_site,
)

KEPT_ROUTES = [route for route in make_config()['routes'] if route['service'] == PLAIN_SERVICE]
#: Routes of a configuration without the routes to model workers, with these at another service, and with
#: limits that the waiting requests exceed.
CHANGES = {
    'dropped': KEPT_ROUTES,
    'moved': [
        *KEPT_ROUTES,
        make_route('/draft/', 'streaming', PLAIN_SERVICE, max_attempts=1),
        make_route('/summary/', 'streaming', PLAIN_SERVICE, resumable=True),
    ],
    'changed': [
        *KEPT_ROUTES,
        make_route('/draft/', 'streaming', MODEL_SERVICE, max_attempts=1, timeout_ms=100),
        make_route('/summary/', 'streaming', MODEL_SERVICE, timeout_ms=100),
    ],
}


def adapter(number):
    """Return the header that names an adapter."""
    return ('Tamarackfield-Model', f'base/a{number}')


async def change_routes(site, change):
    """Let a changed configuration come into force."""
    site.store.put('op/config', make_config(9, CHANGES[change]))
    await site.entries[0].wait_for_log_text('event=configuration_in_force', 2)


@pytest.mark.parametrize('change', CHANGES)
async def test_request_that_waits_at_a_sidecar_keeps_its_route(model_site, change):
    worker, entry = model_site.workers['m1'], model_site.entries[0]
    worker.event_count = 10_000
    async with contextlib.AsyncExitStack() as running:
        for number in range(worker.adapter_slots):
            await running.enter_async_context(model_site.stream('/draft/x', [adapter(number)]))
        waiting = asyncio.create_task(model_site.call('/draft/x', 'POST', b'x', [adapter(9)]))
        await entry.wait_for_log_text('event=chosen', worker.adapter_slots + 1)
        await change_routes(model_site, change)
        worker.event_count = 5
    assert (await waiting)[0] == 200
    assert [run.target for run in worker.runs] == ['/draft/x' for _ in range(worker.adapter_slots + 1)]


@pytest.mark.parametrize('change', CHANGES)
async def test_stream_whose_worker_dies_after_a_change_is_resumed_by_its_route(tmp_path, change):
    async with running_site(tmp_path) as site:
        for name in ('m1', 'm2'):
            await site.add_sidecar(await site.add_worker(name, MODEL_SERVICE))
        await site.wait_for_sidecars(await site.add_entry())
        for _ in range(12):
            await site.call('/summary/x', 'POST', b'x', [adapter(1)])
        for worker in site.workers.values():
            worker.event_interval_seconds = 0.5
        async with site.stream('/summary/x', [adapter(1), ('Tamarackfield-Request-Id', 'long')]) as response:
            await change_routes(site, change)
            first = next(worker for worker in site.workers.values() if 'long' in worker.running)
            await first.crash()
            assert len(await read_events(response)) == 5
        assert site.count_runs('long') == 2
