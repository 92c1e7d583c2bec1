"""Workers that send an answer once more where the next answer on its connection is expected."""

import asyncio

import pytest

from tamarackfield.manager.engine_client import OrderResult, OrderTerms
from tamarackfield.platform.engine import WorkerEngine
from tamarackfield.policy.residency import LoadOrder
from tamarackfield.testing.platform_worker import WorkerFault

ADAPTER = ('Tamarackfield-Model', 'base/a1')


async def test_second_copy_of_an_answer_reaches_no_other_caller(one_worker_site):
    one_worker_site.workers['w1'].sends_second_copies = True
    for number in range(6):
        identity = ('Tamarackfield-Request-Id', f'own{number}')
        status, _, body = await one_worker_site.call('/look/x', headers=[identity])
        assert (status, body) == (200, f'w1 ran own{number}'.encode())


async def test_second_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_next_attempt(model_site):
    worker = model_site.workers['m1']
    # Requests earn the retry that the refused one needs.
    for _ in range(12):
        await model_site.call('/draft/x', 'POST', b'x', [ADAPTER])
    worker.sends_second_copies = True
    worker.fault = WorkerFault('shed', 1)
    identity = ('Tamarackfield-Request-Id', 'again')
    status, _, _ = await model_site.call('/draft/x', 'POST', b'x', [ADAPTER, identity])
    await asyncio.sleep(0.2)
    assert [refusal.request_id for refusal in worker.refusals] == ['again']
    assert (status, model_site.count_runs('again')) == (200, 1)


async def test_second_copy_of_a_report_is_not_taken_for_the_answer_to_an_order(model_site):
    worker = model_site.workers['m1']
    worker.sends_second_copies = True
    engine = WorkerEngine((worker.host, worker.port), 'side-test')
    state = await engine.read_state()
    outdated = OrderTerms(worker.name, state.sequence + 5, worker.highest_fence + 1)
    assert await engine.send_order(LoadOrder('base/a9', 1), outdated) is OrderResult.CONFLICT
    worker.sequence += 1
    assert (await engine.read_state()).sequence == worker.sequence
    engine.pool.close()


async def test_sidecar_reads_the_true_state_after_second_copies_that_name_no_call(model_site):
    worker = model_site.workers['m1']
    worker.names_calls = False
    worker.sends_second_copies = True
    engine = WorkerEngine((worker.host, worker.port), 'side-test')
    state = await engine.read_state()
    await engine.send_order(LoadOrder('base/a9', 1), OrderTerms(worker.name, state.sequence, worker.highest_fence + 1))
    sequences = [(await engine.read_state()).sequence for _ in range(2)]
    engine.pool.close()
    assert sequences[-1] == worker.sequence == state.sequence + 1


@pytest.mark.parametrize('path', ['/file/x', '/look/x'])
async def test_second_copy_of_a_refusal_is_no_promise_for_the_next_request(one_worker_site, path):
    worker = one_worker_site.workers['w1']
    worker.sends_second_copies = True
    for number in range(4):
        worker.fault = WorkerFault('shed', 4)
        await one_worker_site.call(path, 'POST', b'{}', [('Tamarackfield-Request-Id', f'refused{number}')])
        worker.fault = WorkerFault()
        identity = ('Tamarackfield-Request-Id', f'served{number}')
        status, _, _ = await one_worker_site.call(path, 'POST', b'{}', [identity])
        assert (status, one_worker_site.count_runs(f'refused{number}')) == (200, 0)
        assert one_worker_site.count_runs(f'served{number}') == 1


async def test_refusal_without_an_id_on_a_kept_connection_is_no_promise(two_worker_site):
    for worker in two_worker_site.workers.values():
        worker.unnamed_refusal_due = True
    statuses = []
    for number in range(4):
        identity = ('Tamarackfield-Request-Id', f'own{number}')
        statuses.append((await two_worker_site.call('/file/x', 'POST', b'{}', [identity]))[0])
        assert two_worker_site.count_runs(f'own{number}') <= 1
    assert set(statuses) <= {200, 502}
