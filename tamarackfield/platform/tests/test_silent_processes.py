"""Work that runs is neither started again nor given up because a process was silent for a while."""

import asyncio

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, read_events, running_site

ADAPTER = ('Tamarackfield-Model', 'base/a1')
#: Time for which a process is frozen, above every time-out for silence.
FROZEN_SECONDS = 3.0
EVENT_COUNT = 30


@pytest.mark.parametrize('frozen', ['entry', 'sidecar'])
@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
async def test_running_stream_goes_on_at_its_worker_when_a_process_was_frozen(tmp_path, path, frozen):
    async with running_site(tmp_path) as site:
        for name in ('m1', 'm2'):
            worker = await site.add_worker(name, MODEL_SERVICE, event_count=EVENT_COUNT)
            await site.add_sidecar(worker)
        await site.wait_for_sidecars(await site.add_entry())
        for _ in range(12):
            await site.call('/summary/x', 'POST', b'x', [ADAPTER])
        for worker in site.workers.values():
            worker.event_interval_seconds = 0.05
        reading = asyncio.create_task(_read_stream(site, path))
        while not any(worker.running for worker in site.workers.values()):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        processes = site.entries if frozen == 'entry' else list(site.sidecars.values())
        for process in processes:
            process.freeze()
        await asyncio.sleep(FROZEN_SECONDS)
        for process in processes:
            process.thaw()
        assert len(await reading) == EVENT_COUNT
        assert site.count_runs('long') == 1


async def _read_stream(site, path):
    async with site.stream(path, [ADAPTER, ('Tamarackfield-Request-Id', 'long')]) as response:
        return await read_events(response)
