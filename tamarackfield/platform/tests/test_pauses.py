"""Workers that turn requests away with 503 and Retry-After get nothing until their time."""

import asyncio
import contextlib

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, read_events
from tamarackfield.testing.platform_worker import WorkerFault
from tamarackfield.testing.processes import wait_until
from tamarackfield.web.client import ClientError

LONG_PAUSE = '30'


def turn_away(worker, retry_after, requests=1):
    """Let a worker turn its next requests away."""
    worker.retry_after = retry_after
    worker.fault = WorkerFault('pause', requests)


async def call_many(site, number=12):
    """Send calls at the same time and return their statuses."""
    answers = await asyncio.gather(*(site.call('/look/x') for _ in range(number)))
    return [status for status, _, _ in answers]


async def test_paused_worker_gets_no_request_and_others_serve(two_worker_site):
    paused, entry = two_worker_site.workers['w1'], two_worker_site.entries[0]
    turn_away(paused, LONG_PAUSE)
    await call_many(two_worker_site)
    await entry.wait_for_log_text('event=target_paused')
    arrivals = len(paused.list_arrivals())
    assert set(await call_many(two_worker_site)) == {200}
    assert len(paused.list_arrivals()) == arrivals
    assert 'target_left_out' not in entry.read_log()


async def test_callers_are_refused_with_the_earliest_end_while_all_workers_pause(two_worker_site):
    for worker, retry_after in zip(two_worker_site.workers.values(), ('20', LONG_PAUSE), strict=True):
        turn_away(worker, retry_after, requests=100)
    await call_many(two_worker_site, 8)
    await two_worker_site.entries[0].wait_for_log_text('event=target_paused', 2)
    arrivals = [len(worker.list_arrivals()) for worker in two_worker_site.workers.values()]
    status, headers, body = await two_worker_site.call('/look/x')
    assert (status, body.startswith(b'not_run')) == (503, True)
    assert 1 < float(headers['retry-after']) <= 22
    assert [len(worker.list_arrivals()) for worker in two_worker_site.workers.values()] == arrivals


@pytest.mark.parametrize('retry_after', ['-3', 'soon', '', 'Thu, 01 Jan 1970 00:00:09 GMT', '0'])
async def test_retry_after_without_a_time_to_come_pauses_nothing(one_worker_site, retry_after):
    turn_away(one_worker_site.workers['w1'], retry_after)
    await one_worker_site.call('/look/x')
    assert (await one_worker_site.call('/look/x'))[0] == 200


@pytest.mark.parametrize('retry_after', ['9' * 400, 'Fri, 31 Dec 9999 23:59:59 GMT'])
async def test_pause_without_end_holds_for_this_incarnation_only(one_worker_site, retry_after):
    worker = one_worker_site.workers['w1']
    turn_away(worker, retry_after)
    await one_worker_site.call('/look/x')
    assert (await one_worker_site.call('/look/x'))[0] == 503
    await worker.restart()
    one_worker_site.write_worker_entry(worker)
    await one_worker_site.entries[0].wait_for_log_text('target=w1 service', 2)
    assert (await one_worker_site.call('/look/x'))[0] == 200


async def test_worker_is_used_again_after_its_pause(one_worker_site):
    turn_away(one_worker_site.workers['w1'], '0.4')
    await one_worker_site.call('/file/x', 'POST', b'{}')

    async def is_served():
        return (await one_worker_site.call('/file/x', 'POST', b'{}'))[0] == 200

    await wait_until(is_served, 'the worker is used again')


async def test_request_that_waits_for_a_place_is_not_sent_to_a_worker_that_pauses_meanwhile(model_site):
    worker, entry = model_site.workers['m1'], model_site.entries[0]
    worker.event_count = 10_000
    async with contextlib.AsyncExitStack() as running:
        for number in range(worker.adapter_slots):
            adapter = ('Tamarackfield-Model', f'base/a{number}')
            await running.enter_async_context(model_site.stream('/draft/x', [adapter]))
        waiting = asyncio.create_task(model_site.call('/draft/x', 'POST', b'x', [('Tamarackfield-Model', 'base/a9')]))
        await entry.wait_for_log_text('event=chosen', worker.adapter_slots + 1)
        turn_away(worker, LONG_PAUSE)
        status, _, _ = await model_site.call('/draft/x', 'POST', b'x', [('Tamarackfield-Model', 'base/a0')])
        assert status == 503
        arrivals = len(worker.list_arrivals())
    assert (await waiting)[0] == 503
    assert len(worker.list_arrivals()) == arrivals


async def test_stream_that_breaks_off_is_not_resumed_at_a_worker_that_pauses(model_site):
    paused, entry = model_site.workers['m1'], model_site.entries[0]
    other = await model_site.add_worker('m2', MODEL_SERVICE)
    turn_away(paused, LONG_PAUSE, requests=100)
    adapter = ('Tamarackfield-Model', 'base/a0')
    assert (await model_site.call('/draft/x', 'POST', b'x', [adapter]))[0] == 503
    await entry.wait_for_log_text('event=target_paused')
    await model_site.add_sidecar(other)
    await model_site.wait_for_sidecars(entry)
    arrivals = len(paused.list_arrivals())
    other.cut_after_event = 2
    with pytest.raises(ClientError):
        async with model_site.stream('/summary/x', [adapter]) as response:
            await read_events(response)
    assert len(other.runs) == 1
    assert len(paused.list_arrivals()) == arrivals
