"""Streams of sound workers that are silent for a while beside workers that turn requests away."""

import asyncio
import contextlib

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, read_events, running_site
from tamarackfield.testing.platform_worker import WorkerFault
from tamarackfield.testing.processes import wait_until

ADAPTER = ('Tamarackfield-Model', 'base/a1')
EVENT_COUNT = 8
SILENT_AFTER = 3


async def read_stream(site, request_id, entry=0):
    """Return the events of one stream on a route whose streams may be resumed."""
    headers = [ADAPTER, ('Tamarackfield-Request-Id', request_id)]
    async with site.stream('/summary/x', headers, entry) as response:
        return await read_events(response)


async def earn_retries(site):
    """Send requests that earn the retries of later ones at every entry."""
    for number in range(12 * len(site.entries)):
        await site.call('/summary/x', 'POST', b'x', [ADAPTER], number % len(site.entries))


@contextlib.asynccontextmanager
async def running_model_site(directory, names, entries=1):
    """Run a site of model workers with their sidecars and entries that have earned retries."""
    async with running_site(directory) as site:
        for name in names:
            worker = await site.add_worker(name, MODEL_SERVICE, event_count=EVENT_COUNT)
            await site.add_sidecar(worker)
        for _ in range(entries):
            await site.wait_for_sidecars(await site.add_entry())
        await earn_retries(site)
        for worker in site.workers.values():
            worker.event_interval_seconds = 0.05
        yield site


async def wait_for_worker(site, request_id):
    """Return the worker that runs a request, and the others."""

    async def is_running():
        return any(request_id in worker.running for worker in site.workers.values())

    await wait_until(is_running, 'a worker runs the stream')
    first = next(worker for worker in site.workers.values() if request_id in worker.running)
    return first, [worker for worker in site.workers.values() if worker is not first]


@pytest.mark.parametrize('seconds', [1.7, 3.0])
@pytest.mark.parametrize('fault', ['pause', 'shed', 'reset_after_run'])
async def test_stream_of_a_silent_worker_goes_on_beside_one_that_takes_no_request(tmp_path, fault, seconds):
    async with running_model_site(tmp_path, ('m1', 'm2')) as site:
        for worker in site.workers.values():
            worker.silences = {SILENT_AFTER: seconds}
        reading = asyncio.create_task(read_stream(site, 'long'))
        first, others = await wait_for_worker(site, 'long')
        others[0].retry_after = '30'
        others[0].fault = WorkerFault(fault, 100)
        assert len(await reading) == EVENT_COUNT
        assert [run.finished for run in first.runs if run.request_id == 'long'] == [True]


async def test_silent_streams_of_two_entries_go_on_if_another_worker_asks_one_of_them_for_a_pause(tmp_path):
    async with running_model_site(tmp_path, ('m1', 'm2'), entries=2) as site:
        for worker in site.workers.values():
            worker.silences = {SILENT_AFTER: 1.7}
        readings = [asyncio.create_task(read_stream(site, f'long-{entry}', entry)) for entry in range(2)]
        for entry in range(2):
            await wait_for_worker(site, f'long-{entry}')
        for worker in site.workers.values():
            worker.retry_after = '30'
            worker.fault = WorkerFault('pause', 1)
        assert [len(events) for events in await asyncio.gather(*readings)] == [EVENT_COUNT, EVENT_COUNT]


async def test_caller_that_leaves_while_two_workers_run_its_stream_leaves_no_run_behind(tmp_path):
    async with running_model_site(tmp_path, ('m1', 'm2')) as site:
        for worker in site.workers.values():
            worker.silences = {0: 30.0}
        reading = asyncio.create_task(read_stream(site, 'left'))

        async def run_both():
            return all('left' in worker.running for worker in site.workers.values())

        async def run_none():
            return not any('left' in worker.running for worker in site.workers.values())

        await wait_until(run_both, 'both workers run the stream')
        reading.cancel()
        await wait_until(run_none, 'the runs of the caller that left are ended')
        assert site.count_runs('left') == 2
