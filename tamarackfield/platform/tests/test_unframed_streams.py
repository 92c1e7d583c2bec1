"""Streams that only the end of their connection ends: complete if the worker is proven to live on, else broken off.

Guards against taking for a proof that no process says otherwise.
"""

import asyncio
import signal
from contextlib import asynccontextmanager

import pytest

from tamarackfield.testing.platform_site import DRAIN_SECONDS, read_events
from tamarackfield.testing.platform_worker import WorkerFault
from tamarackfield.testing.processes import wait_until
from tamarackfield.web import ClientError

ADAPTER = ('Tamarackfield-Model', 'base/a7')
WHOLE_EVENTS = 20
EVENT_SECONDS = 0.05
#: Longest time after the crash of a worker in which its kernel accepts connections; beyond that of a proof.
LONG_SECONDS = 2.0


def has_run(worker):
    async def check():
        return bool(worker.runs)

    return check


async def receive_events(site, path):
    """Return the number of events of a stream; raise `ClientError` if it breaks off."""
    async with site.stream(path, [ADAPTER]) as response:
        return len(await read_events(response))


@asynccontextmanager
async def unframed_stream(site, path, event_count=WHOLE_EVENTS):
    """Open a stream without framing at the only worker, and run the block in the middle of it."""
    worker = site.workers['m1']
    await receive_events(site, path)
    worker.runs.clear()
    worker.event_count = event_count
    worker.event_interval_seconds = EVENT_SECONDS
    worker.fault = WorkerFault('unframed', 1)
    stream = asyncio.create_task(receive_events(site, path))
    await wait_until(has_run(worker), 'the stream runs')
    await asyncio.sleep(5 * EVENT_SECONDS)
    yield stream
    await asyncio.wait((stream,))


@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
async def test_stream_is_not_complete_if_worker_and_sidecar_are_killed_together(model_site, path):
    # Guards against review/7: the silence of a sidecar that ended too counted as proof that the worker lives.
    async with unframed_stream(model_site, path) as stream:
        model_site.sidecars['m1'].process.send_signal(signal.SIGKILL)
        await model_site.workers['m1'].crash()
    with pytest.raises(ClientError):
        await stream


@pytest.mark.parametrize('last_seconds', [0.2, 1.0])
@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
async def test_stream_is_not_complete_if_a_leaving_worker_exits_amid_it(model_site, path, last_seconds):
    # Guards against review/1: a sidecar that knew the end of the worker too early said nothing about its runs.
    worker = model_site.workers['m1']
    async with unframed_stream(model_site, path, 10 * WHOLE_EVENTS) as stream:
        worker.state = 'draining'
        worker.notice_headers = lambda: [('Connection', 'close')]
        model_site.write_worker_entry(worker)
        await asyncio.sleep(DRAIN_SECONDS / 2)
        worker.server.close()
        await asyncio.sleep(last_seconds)
        await worker.stop()
    with pytest.raises(ClientError):
        await stream


@pytest.mark.parametrize('sidecar_responds', [True, False])
async def test_stream_is_not_complete_if_the_machine_is_gone(model_site, sidecar_responds):
    # Guards against connections that hang, and a sidecar that stands still, as proofs (review/1, second way).
    model_site.workers['m1'].kernel_listens_seconds = LONG_SECONDS
    async with unframed_stream(model_site, '/draft/x') as stream:
        if not sidecar_responds:
            model_site.sidecars['m1'].process.send_signal(signal.SIGSTOP)
        await model_site.workers['m1'].crash()
    model_site.sidecars['m1'].process.send_signal(signal.SIGCONT)
    with pytest.raises(ClientError):
        await stream


@pytest.mark.parametrize('sidecar_responds', [True, False])
async def test_stream_is_not_complete_if_the_worker_restarts_under_its_name(model_site, sidecar_responds):
    # Guards against answers of the next incarnation as proofs for the one before.
    async with unframed_stream(model_site, '/draft/x') as stream:
        if not sidecar_responds:
            model_site.sidecars['m1'].process.send_signal(signal.SIGSTOP)
        await model_site.workers['m1'].restart()
    model_site.sidecars['m1'].process.send_signal(signal.SIGCONT)
    with pytest.raises(ClientError):
        await stream


@pytest.mark.parametrize('sidecar_fate', ['responds', 'stands_still', 'killed'])
@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
async def test_whole_stream_of_a_living_worker_is_complete_whatever_its_sidecar_does(model_site, path, sidecar_fate):
    # Guards against sound streams that depend on the word of a sidecar.
    sidecar = model_site.sidecars['m1'].process
    async with unframed_stream(model_site, path) as stream:
        if sidecar_fate != 'responds':
            sidecar.send_signal(signal.SIGSTOP if sidecar_fate == 'stands_still' else signal.SIGKILL)
    if sidecar_fate == 'stands_still':
        sidecar.send_signal(signal.SIGCONT)
    assert await stream == WHOLE_EVENTS


async def test_each_whole_stream_is_proven_by_its_worker(model_site):
    # Guards against streams that are complete since a fixed time has passed; each had waited for half a second.
    model_site.workers['m1'].fault = WorkerFault('unframed', 5)
    for _ in range(5):
        assert await receive_events(model_site, '/draft/x') == 5
    lines = [line for line in model_site.entries[0].read_log().splitlines() if 'event=liveness_checked' in line]
    assert len(lines) == 5
    assert all('liveness=alive' in line for line in lines)
