"""Workers that fall silent for a second and go on: their answers reach the callers whole."""

import asyncio

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, PLAIN_SERVICE, read_events, running_site
from tamarackfield.testing.platform_worker import WorkerFault

ADAPTER = ('Tamarackfield-Model', 'base/a1')
#: Silence of a worker in seconds, above the time after which its requests are moved to another one.
SILENT_SECONDS = 2.0
EVENT_SECONDS = 0.05
EVENT_COUNT = 20
STREAMS = 5


async def start_two_model_workers(site):
    """Start two model workers that have earned the repeat of a later stream."""
    for name in ('m1', 'm2'):
        await site.add_sidecar(await site.add_worker(name, MODEL_SERVICE))
    await site.wait_for_sidecars(await site.add_entry())
    for _ in range(12):
        await site.call('/summary/x', 'POST', b'x', [ADAPTER])


async def pause_events(workers):
    """Let workers that write a stream fall silent before their next event, and go on at their former pace then."""
    for worker in workers:
        worker.event_interval_seconds = SILENT_SECONDS
    await asyncio.sleep(2 * EVENT_SECONDS)
    for worker in workers:
        worker.event_interval_seconds = EVENT_SECONDS


async def wait_for_run(site):
    """Wait until a worker runs a request; return it and the other one."""
    while True:
        workers = list(site.workers.values())
        running = [worker for worker in workers if worker.running]
        if running:
            return running[0], next(worker for worker in workers if worker is not running[0])
        await asyncio.sleep(0.005)


async def read_stream(site):
    """Return the status and the events of one stream."""
    async with site.stream('/summary/x', [ADAPTER]) as response:
        return response.status, await read_events(response)


@pytest.mark.parametrize('events_before', [0, 5])
async def test_stream_of_a_worker_that_was_silent_is_whole_if_no_other_one_takes_it(tmp_path, events_before):
    async with running_site(tmp_path) as site:
        await start_two_model_workers(site)
        for worker in site.workers.values():
            worker.event_count = EVENT_COUNT
            worker.event_interval_seconds = EVENT_SECONDS if events_before else SILENT_SECONDS
        reading = asyncio.create_task(read_stream(site))
        silent, other = await wait_for_run(site)
        other.fault = WorkerFault('shed', 100)
        await asyncio.sleep(EVENT_SECONDS * (events_before + 0.5))
        await pause_events([silent])
        status, events = await reading
        assert (status, len(events)) == (200, EVENT_COUNT)


async def test_streams_that_fall_silent_together_are_whole_if_the_budget_allows_few_to_move(tmp_path, monkeypatch):
    monkeypatch.setattr('tamarackfield.testing.platform_site.RETRY_ALLOWANCE', 0)
    async with running_site(tmp_path) as site:
        await start_two_model_workers(site)
        workers = list(site.workers.values())
        for worker in workers:
            worker.event_count = EVENT_COUNT
            worker.event_interval_seconds = EVENT_SECONDS
        reading = [asyncio.create_task(read_stream(site)) for _ in range(STREAMS)]
        while sum(len(worker.running) for worker in workers) < STREAMS:
            await asyncio.sleep(0.005)
        await asyncio.sleep(5 * EVENT_SECONDS)
        await pause_events(workers)
        outcomes = await asyncio.gather(*reading, return_exceptions=True)
        assert outcomes == [(200, outcomes[0][1]) for _ in reading]
        assert len(outcomes[0][1]) == EVENT_COUNT


async def test_answer_of_a_worker_that_was_silent_arrives_if_no_other_one_takes_the_call(tmp_path):
    async with running_site(tmp_path) as site:
        for name in ('w1', 'w2'):
            await site.add_worker(name, PLAIN_SERVICE)
        await site.add_entry()
        for _ in range(12):
            await site.call('/look/x')
        for worker in site.workers.values():
            worker.event_interval_seconds = SILENT_SECONDS
        calling = asyncio.create_task(site.call('/look/x', headers=[('Tamarackfield-Deadline-Ms', '3000')]))
        _, other = await wait_for_run(site)
        other.fault = WorkerFault('shed', 100)
        status, _, _ = await calling
        assert status == 200
