"""Workers whose answers have a status that HTTP does not know: callers never get such an answer."""

import asyncio

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, running_site
from tamarackfield.testing.worker_records import WorkerFault

ADAPTER = ('Tamarackfield-Model', 'base/a7')
#: Statuses below and beyond those of RFC 9110, section 15: 100 to 599.
ODD_STATUSES = ('000', '001', '099', '600', '999')
HEAD = 'HTTP/1.1 {} Odd\r\nTamarackfield-Request-Id: ID\r\nTamarackfield-Server-Signature: signed\r\n'
BODIES = {
    'length': 'Content-Length: 4\r\n\r\nodd!',
    'chunks': 'Transfer-Encoding: chunked\r\n\r\n4\r\nodd!\r\n0\r\n\r\n',
    'close': '\r\nodd!',
    'none': 'Content-Length: 0\r\n\r\n',
}
#: Number of runs of a call by its path: one that may be repeated goes to another worker.
RUNS = {'/file/x': 1, '/look/x': 2}
STREAM = (
    'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nid: 1\ndata: event 1\n\n\r\n0\r\n\r\n'
)


async def earn_retries(site):
    """Send calls that allow some retries."""
    for _ in range(12):
        assert (await site.call('/look/earn'))[0] == 200


def spoil_answers(site, answer, requests):
    """Let each worker answer some of its next requests with given bytes."""
    for worker in site.workers.values():
        worker.raw_answer = answer.encode()
        worker.fault = WorkerFault('raw', requests)


# Guards against: the answer of a worker in trouble, whose status is 000 or beyond 599, reaches a caller as an answer.
@pytest.mark.parametrize('body', BODIES)
@pytest.mark.parametrize('path', ['/file/x', '/look/x'])
@pytest.mark.parametrize('status', ODD_STATUSES)
async def test_odd_status_of_a_plain_worker_is_no_answer(two_worker_site, status, path, body):
    await earn_retries(two_worker_site)
    spoil_answers(two_worker_site, HEAD.format(status) + BODIES[body], 10)
    named = [('Tamarackfield-Request-Id', 'odd')]
    received, headers, content = await two_worker_site.call(path, 'POST', b'{}', named)
    assert received == 502
    assert 'tamarackfield-server-signature' not in headers
    assert b'odd!' not in content
    assert two_worker_site.count_runs('odd') == RUNS[path]


# Guards against: a call that may be repeated ends with the odd status of one worker.
@pytest.mark.parametrize('status', ODD_STATUSES)
async def test_call_that_may_be_repeated_is_answered_by_another_worker_after_an_odd_status(two_worker_site, status):
    await earn_retries(two_worker_site)
    spoil_answers(two_worker_site, HEAD.format(status) + BODIES['length'], 1)
    two_worker_site.workers['w1'].fault = WorkerFault()
    for _ in range(3):
        answers = await asyncio.gather(*(two_worker_site.call('/look/x') for _ in range(8)))
        assert {received for received, _, _ in answers} == {200}


# Guards against: the answer of a worker in trouble, whose status is 000 or beyond 599, reaches the caller of a stream.
@pytest.mark.parametrize('has_sidecar', [True, False])
@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
@pytest.mark.parametrize('status', ODD_STATUSES)
async def test_odd_status_of_a_model_worker_is_no_answer(tmp_path, status, path, has_sidecar):
    async with running_site(tmp_path) as site:
        worker = await site.add_worker('m1', MODEL_SERVICE)
        worker.adapters['a7'] = 1
        if has_sidecar:
            await site.add_sidecar(worker)
        site.write_worker_entry(worker)
        await site.wait_for_sidecars(await site.add_entry())
        spoil_answers(site, HEAD.format(status) + STREAM, 10)
        received, headers, content = await site.call(path, 'POST', b'prompt', [ADAPTER])
        assert received == 502
        assert 'tamarackfield-server-signature' not in headers
        assert b'event 1' not in content
