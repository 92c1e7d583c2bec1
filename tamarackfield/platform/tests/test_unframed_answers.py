"""Answers of plain workers that only the end of their connection ends: complete if the worker is proven to live on.

Guards against taking for a proof that a kernel accepts connections.
"""

import asyncio

import pytest

from tamarackfield.testing.platform_worker import WorkerFault
from tamarackfield.testing.processes import wait_until

#: Time after the crash of a worker in which its kernel accepts connections; beyond that in which a proof is sought.
LONG_SECONDS = 2.0


@pytest.mark.parametrize('listens_seconds', [0, 0.05, 0.3, LONG_SECONDS])
async def test_half_of_an_answer_is_no_answer_while_the_kernel_of_a_crashed_worker_accepts(
    one_worker_site, listens_seconds
):
    # Guards against review/6: a crashed plain worker counted as alive because its listener was closed last.
    worker = one_worker_site.workers['w1']
    worker.kernel_listens_seconds = listens_seconds
    worker.fault = WorkerFault('unframed_crash', 1)
    status, headers, _ = await one_worker_site.call('/file/x', 'POST', b'{}')
    assert status == 502
    assert 'tamarackfield-server-signature' not in headers
    assert len(worker.runs) == 1


async def test_repeatable_request_is_answered_whole_by_another_worker(two_worker_site):
    # Guards against review/6 for requests that may be repeated.
    for _ in range(12):
        assert (await two_worker_site.call('/look/earn'))[0] == 200
    fault = WorkerFault('unframed_crash', 1)
    for worker in two_worker_site.workers.values():
        worker.kernel_listens_seconds = 0.3
        worker.fault = fault
    request_id = [('Tamarackfield-Request-Id', 'again')]
    status, _, body = await two_worker_site.call('/look/x', headers=request_id)
    assert (status, body.endswith(b'ran again')) == (200, True)
    assert sum(worker.is_crashed() for worker in two_worker_site.workers.values()) == 1


@pytest.mark.parametrize('status', [302, 404, 500])
async def test_half_of_a_failure_is_no_answer(one_worker_site, status):
    # Guards against failures whose worker crashed amid them, which were delivered as they came.
    worker = one_worker_site.workers['w1']
    worker.raw_answer = make_failure(status)
    worker.fault = WorkerFault('raw_crash', 1)
    received_status, headers, _ = await one_worker_site.call('/file/x', 'POST', b'{}')
    assert received_status == 502
    assert 'tamarackfield-server-signature' not in headers


@pytest.mark.parametrize('body', [b'', b'whole'])
@pytest.mark.parametrize('status', [302, 404, 500])
async def test_whole_failure_of_a_living_worker_is_complete(one_worker_site, status, body):
    # Guards against a check that takes the failures of sound workers from callers, those without a body included.
    worker = one_worker_site.workers['w1']
    worker.raw_answer = make_failure(status, body)
    worker.fault = WorkerFault('raw', 1)
    received_status, headers, received_body = await one_worker_site.call('/file/x', 'POST', b'{}')
    assert (received_status, received_body) == (status, body)
    assert headers['tamarackfield-server-signature'] == 'signed'


def make_failure(status, body=b'half'):
    """Return an answer without a length; ID stands for the id of its request."""
    head = (
        f'HTTP/1.1 {status} Failure\r\nTamarackfield-Request-Id: ID\r\nTamarackfield-Server-Signature: signed\r\n\r\n'
    )
    return head.encode() + body


async def test_another_instance_at_the_address_proves_nothing(one_worker_site):
    # Guards against a successor at the address of a crashed worker whose answers count as those of the worker.
    worker = one_worker_site.workers['w1']

    async def has_run():
        return bool(worker.runs)

    worker.event_interval_seconds = 0.3
    worker.fault = WorkerFault('unframed', 1)
    call = asyncio.create_task(one_worker_site.call('/file/x', 'POST', b'{}'))
    await wait_until(has_run, 'the request runs')
    worker.name = 'successor'
    assert (await call)[0] == 502


@pytest.mark.parametrize(
    'changes',
    [
        {},
        {'health_seconds': 0.2},
        {'state': 'draining'},
        {'names_calls': False},
        {'announces_leaving': True},
    ],
)
async def test_whole_answer_of_a_living_worker_is_complete(one_worker_site, changes):
    # Guards against a proof that sound workers cannot give: busy, leaving, or without ids in their answers.
    worker = one_worker_site.workers['w1']
    for field, setting in changes.items():
        setattr(worker, field, setting)
    worker.fault = WorkerFault('unframed', 1)
    status, _, body = await one_worker_site.call('/file/x', 'POST', b'{}', [('Tamarackfield-Request-Id', 'whole')])
    assert (status, body) == (200, b'w1 ran whole')
