"""Slow answers that go on are not given up; streams that only seem to go on are."""

from tamarackfield.testing.platform_site import MODEL_SERVICE, read_events, running_site
from tamarackfield.testing.platform_worker import WorkerFault

ADAPTER = ('Tamarackfield-Model', 'base/a1')
#: Time between two events in seconds, above the silence after which a stream is resumed elsewhere.
SLOW_EVENT_SECONDS = 1.6


async def read_stream(site, path):
    """Return the events of one stream."""
    async with site.stream(path, [ADAPTER]) as response:
        return await read_events(response)


async def earn_retries(site):
    """Send requests that earn the retry of a later one."""
    for _ in range(12):
        await site.call('/summary/x', 'POST', b'x', [ADAPTER])


async def test_stalled_stream_that_sends_a_byte_now_and_then_goes_on_at_another_worker(tmp_path):
    async with running_site(tmp_path) as site:
        for name in ('m1', 'm2'):
            await site.add_sidecar(await site.add_worker(name, MODEL_SERVICE))
        await site.wait_for_sidecars(await site.add_entry())
        await earn_retries(site)
        site.workers['m1'].fault = WorkerFault('drip', 1)
        lengths = [len(await read_stream(site, '/summary/x')) for _ in range(6)]
        assert lengths == [5 for _ in lengths]


async def test_slow_stream_that_no_other_worker_can_take_is_not_cut(model_site):
    worker = model_site.workers['m1']
    await earn_retries(model_site)
    worker.event_interval_seconds = SLOW_EVENT_SECONDS
    worker.event_count = 3
    assert len(await read_stream(model_site, '/summary/x')) == 3
    assert len(worker.runs) == 13


async def test_slow_answer_that_no_other_worker_can_give_is_awaited(one_worker_site):
    one_worker_site.workers['w1'].event_interval_seconds = SLOW_EVENT_SECONDS
    status, _, _ = await one_worker_site.call('/look/x', headers=[('Tamarackfield-Deadline-Ms', '3000')])
    assert status == 200
