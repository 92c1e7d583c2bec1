"""Workers that stop in the middle of an answer's head, or right behind it, and close the connection in order."""

import asyncio

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, PLAIN_SERVICE, running_site
from tamarackfield.testing.platform_worker import WorkerFault
from tamarackfield.web.client import ClientError

HEAD = b'HTTP/1.1 200 OK\r\nTamarackfield-Request-Id: ID\r\nTamarackfield-Server-Signature: 1.2\r\n'
FRAMINGS = {
    'none': b'',
    'length': b'Content-Length: 800\r\n',
    'empty': b'Content-Length: 0\r\n',
    'chunked': b'Transfer-Encoding: chunked\r\n',
}
#: What precedes the head of an answer: nothing, or interim answers, of which one names the request.
INTERIMS = {
    'plain': b'',
    'interim': b'HTTP/1.1 103 Early Hints\r\n\r\n',
    'named interim': b'HTTP/1.1 103 Early Hints\r\nTamarackfield-Request-Id: ID\r\n\r\n',
}
CALLS = {'/look/x': ('GET', b''), '/file/x': ('POST', b'body'), '/draft/x': ('POST', b'prompt')}


def list_cuts(head):
    """Return the lengths at which a head is cut: behind each line, and within each."""
    ends = [index + 2 for index in range(len(head)) if head[index : index + 2] == b'\r\n']
    return sorted({1, *ends, *(end - 1 for end in ends), *(max(1, end - 9) for end in ends)})


async def call_each(site, answers, path):
    """Return the statuses of calls that the worker answers with the given bytes, 0 for a closed connection."""
    statuses = []
    method, body = CALLS[path]
    for answer in answers:
        for worker in site.workers.values():
            worker.raw_answer = answer
            worker.fault = WorkerFault('raw', 2)
        headers = [('Tamarackfield-Model', 'base')] if path == '/draft/x' else []
        try:
            status, _, _ = await site.call(path, method, body, headers)
        except ClientError:
            status = 0
        statuses.append(status)
        # The second fault is unused unless the call was repeated.
        for worker in site.workers.values():
            worker.fault = WorkerFault()
    return statuses


async def build(site, path):
    """Start one worker and one entry for a path."""
    worker = await site.add_worker('w1', MODEL_SERVICE if path == '/draft/x' else PLAIN_SERVICE)
    if worker.model:
        await site.add_sidecar(worker)
    entry = await site.add_entry()
    await site.wait_for_sidecars(entry)
    await asyncio.sleep(0)


@pytest.mark.parametrize('path', list(CALLS))
@pytest.mark.parametrize('interim', list(INTERIMS))
@pytest.mark.parametrize('framing', list(FRAMINGS))
async def test_answer_that_ends_within_its_head_is_no_success(tmp_path, framing, interim, path):
    async with running_site(tmp_path) as site:
        await build(site, path)
        head = INTERIMS[interim] + HEAD + FRAMINGS[framing]
        answers = [head[:cut] for cut in list_cuts(head)]
        assert set(await call_each(site, answers, path)) <= {502, 0}


@pytest.mark.parametrize('path', list(CALLS))
@pytest.mark.parametrize('version', [b'HTTP/1.0', b'HTTP/1.1'])
async def test_answer_without_framing_that_ends_behind_its_head_is_no_success(tmp_path, version, path):
    async with running_site(tmp_path) as site:
        await build(site, path)
        head = HEAD.replace(b'HTTP/1.1', version)
        stream = b'Content-Type: text/event-stream\r\n' if path == '/draft/x' else b''
        answer = b''.join((head, stream, b'\r\n'))
        assert set(await call_each(site, [answer], path)) <= {502, 0}


@pytest.mark.parametrize('interim', list(INTERIMS))
async def test_answer_behind_an_interim_one_is_delivered(tmp_path, interim):
    async with running_site(tmp_path) as site:
        await build(site, '/look/x')
        ends = (b'Content-Length: 3\r\n\r\nyes', b'Content-Length: 0\r\n\r\n', b'\r\nyes')
        answers = [b''.join((INTERIMS[interim], HEAD, end)) for end in ends]
        assert await call_each(site, answers, '/look/x') == [200, 200, 200]


async def test_answer_without_framing_whose_worker_crashed_is_no_success(tmp_path):
    async with running_site(tmp_path) as site:
        await build(site, '/file/x')
        worker = site.workers['w1']
        worker.raw_answer = b''.join((HEAD, b'\r\nhalf of the bo'))
        worker.fault = WorkerFault('raw_crash', 1)
        status, _, _ = await site.call('/file/x', 'POST', b'body')
        assert status == 502
