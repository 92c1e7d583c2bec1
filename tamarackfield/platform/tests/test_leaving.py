"""Workers that say in their answers that they leave get nothing new from the entry that saw it."""

import asyncio
import contextlib

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, read_events
from tamarackfield.testing.platform_worker import WorkerFault

ADAPTER = ('Tamarackfield-Model', 'base/a7')


async def call_many(site, number=12, entry=0):
    """Send calls at the same time and return their statuses."""
    answers = await asyncio.gather(*(site.call('/look/x', entry=entry) for _ in range(number)))
    return [status for status, _, _ in answers]


@pytest.mark.parametrize('fault', ['', 'errors', 'shed'])
async def test_worker_whose_answer_says_that_it_leaves_gets_no_further_request(two_worker_site, fault):
    leaving, other = two_worker_site.workers['w1'], two_worker_site.workers['w2']
    leaving.announces_leaving = True
    leaving.fault = WorkerFault(fault, 100)
    await call_many(two_worker_site)
    await two_worker_site.entries[0].wait_for_log_text('event=target_leaving')
    arrivals = len(leaving.list_arrivals())
    leaving.fault = WorkerFault()
    assert set(await call_many(two_worker_site)) == {200}
    assert len(leaving.list_arrivals()) == arrivals
    assert len(other.runs) >= 12


async def test_leaving_worker_stays_away_when_the_store_lists_it_again_or_fails(two_worker_site):
    leaving, entry = two_worker_site.workers['w1'], two_worker_site.entries[0]
    leaving.announces_leaving = True
    await call_many(two_worker_site)
    await entry.wait_for_log_text('event=target_leaving')
    arrivals = len(leaving.list_arrivals())
    two_worker_site.write_worker_entry(leaving)
    two_worker_site.store.compact()
    await entry.wait_for_log_text('event=history_lost')
    assert set(await call_many(two_worker_site)) == {200}
    two_worker_site.store.fault = 'silent'
    await entry.wait_for_log_text('event=store_lost')
    assert set(await call_many(two_worker_site)) == {200}
    assert len(leaving.list_arrivals()) == arrivals


async def test_next_worker_at_the_address_of_a_leaving_one_is_used(one_worker_site):
    worker = one_worker_site.workers['w1']
    worker.announces_leaving = True
    status, headers, _ = await one_worker_site.call('/look/x')
    assert status == 200
    assert 'server-leaving' not in headers
    assert (await one_worker_site.call('/look/x'))[0] == 503
    worker.announces_leaving = False
    await worker.restart()
    one_worker_site.write_worker_entry(worker)
    await one_worker_site.entries[0].wait_for_log_text('target=w1 service', 2)
    assert (await one_worker_site.call('/look/x'))[0] == 200


async def test_running_stream_of_a_leaving_worker_goes_on(model_site):
    worker = model_site.workers['m1']
    worker.event_interval_seconds = 0.1
    async with model_site.stream('/draft/x', [ADAPTER]) as first:
        worker.announces_leaving = True
        await model_site.sidecars['m1'].wait_for_log_text('event=engine_leaving')
        async with model_site.stream('/draft/x', [ADAPTER]) as second:
            assert second.status == 503
        assert len(await read_events(first)) == 5


async def test_sidecar_tells_entries_that_its_worker_leaves(model_site):
    other = await model_site.add_worker('m2', MODEL_SERVICE)
    await model_site.add_sidecar(other)
    await model_site.wait_for_sidecars(model_site.entries[0])
    leaving = model_site.workers['m1']
    leaving.announces_leaving = True
    await model_site.entries[0].wait_for_log_text('event=target_leaving')
    for number in range(6):
        async with model_site.stream('/draft/x', [('Tamarackfield-Model', f'base/a{number}')]) as response:
            assert response.status == 200
            await read_events(response)
    assert leaving.runs == []


async def test_request_in_the_queue_of_a_worker_that_begins_to_leave_goes_elsewhere(model_site):
    worker = model_site.workers['m1']
    worker.event_count = 10_000
    async with contextlib.AsyncExitStack() as stack:
        for number in range(worker.adapter_slots):
            adapter = ('Tamarackfield-Model', f'base/a{number}')
            await stack.enter_async_context(model_site.stream('/draft/x', [adapter]))
        queued = asyncio.create_task(model_site.call('/draft/x', 'POST', b'x', [('Tamarackfield-Model', 'base/a9')]))
        await model_site.entries[0].wait_for_log_text('event=chosen', worker.adapter_slots + 1)
        other = await model_site.add_worker('m2', MODEL_SERVICE)
        await model_site.add_sidecar(other)
        await model_site.wait_for_sidecars(model_site.entries[0])
        worker.announces_leaving = True
        assert (await queued)[0] == 200
    assert [run.headers['tamarackfield-model'] for run in other.runs] == ['base/a9']


async def test_notice_of_an_incarnation_that_the_store_does_not_list_yet_counts_for_it(two_worker_site):
    worker, entry = two_worker_site.workers['w1'], two_worker_site.entries[0]
    await worker.restart()
    worker.announces_leaving = True
    await call_many(two_worker_site)
    await entry.wait_for_log_text('event=target_leaving')
    arrivals = len(worker.list_arrivals())
    two_worker_site.write_worker_entry(worker)
    await entry.wait_for_log_text('event=departed_target_ignored')
    assert set(await call_many(two_worker_site)) == {200}
    assert len(worker.list_arrivals()) == arrivals
    worker.announces_leaving = False
    await asyncio.sleep(0.01)
    await worker.restart()
    two_worker_site.write_worker_entry(worker)
    await entry.wait_for_log_text('target=w1 service', 2)
    await call_many(two_worker_site, 40)
    assert len(worker.list_arrivals()) > arrivals


async def test_entry_that_restarts_does_not_use_a_worker_that_told_another_entry_of_its_leaving(two_worker_site):
    restarted = await two_worker_site.add_entry()
    leaving = two_worker_site.workers['w1']
    leaving.announces_leaving = True
    await call_many(two_worker_site)
    await two_worker_site.entries[0].wait_for_log_text('event=target_leaving')
    await restarted.kill()
    await restarted.start()
    await restarted.wait_ready()
    await restarted.wait_for_log_text('event=beliefs_of_peer')
    arrivals = len(leaving.list_arrivals())
    assert set(await call_many(two_worker_site, entry=1)) == {200}
    assert len(leaving.list_arrivals()) == arrivals
