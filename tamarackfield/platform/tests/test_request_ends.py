"""Ends of requests as an operator sees them."""

import asyncio

from tamarackfield.platform.settings import METRICS_PORT
from tamarackfield.testing.platform_site import MODEL_SERVICE, running_site
from tamarackfield.testing.platform_worker import WorkerFault
from tamarackfield.testing.processes import wait_until
from tamarackfield.web import fetch


async def test_request_without_an_answer_is_counted_at_the_metrics_address(one_worker_site):
    worker = one_worker_site.workers['w1']
    worker.fault = WorkerFault('hang', 1)
    calling = asyncio.create_task(one_worker_site.call('/look/x'))
    while not worker.running:
        await asyncio.sleep(0.01)
    calling.cancel()
    host, _ = one_worker_site.entry_address(0)

    async def is_counted():
        _, _, text = await fetch((host, METRICS_PORT), 'GET', '/metrics')
        return b'tamarackfield_requests_without_answer_total{reason="caller_left"} 1\n' in text

    await wait_until(is_counted, 'the entry counts the request that its caller left')


async def test_stream_that_cannot_end_before_its_entry_stops_is_refused_at_once(tmp_path):
    async with running_site(tmp_path) as site:
        worker = await site.add_worker('m1', MODEL_SERVICE, event_count=30)
        worker.event_interval_seconds = 0.3
        await site.add_sidecar(worker)
        entry = await site.add_entry()
        await site.wait_for_sidecars(entry)
        headers = [('Tamarackfield-Model', 'base'), ('Tamarackfield-Length-Hint', '90')]
        status, _, _ = await site.call('/draft/x', 'POST', b'prompt', headers)
        assert status == 200
        stopping = asyncio.create_task(entry.terminate())
        await asyncio.sleep(0.5)
        status, answer_headers, body = await site.call('/draft/x', 'POST', b'prompt', headers)
        assert (status, body[:7]) == (503, b'not_run')
        assert 0 < float(answer_headers['retry-after']) < 3
        short = [('Tamarackfield-Model', 'base'), ('Tamarackfield-Length-Hint', '5')]
        worker.event_count = 2
        status, _, _ = await site.call('/draft/x', 'POST', b'prompt', short)
        assert status == 200
        assert await stopping == 0
        assert len(worker.runs) == 2


async def test_request_that_is_sent_when_a_stream_ends_after_the_stop_is_not_read_and_dropped(tmp_path):
    async with running_site(tmp_path) as site:
        worker = await site.add_worker('m1', MODEL_SERVICE, event_count=20)
        # The streams end after the load balancer has noticed the stop, when connections are closed.
        worker.event_interval_seconds = 0.2
        await site.add_sidecar(worker)
        entry = await site.add_entry()
        await site.wait_for_sidecars(entry)

        async def send_twice(number):
            reader, writer = await asyncio.open_connection(*site.entry_address(0))
            writer.write(make_stream_request(f'first{number}'))
            await reader.readuntil(b'0\r\n\r\n')
            writer.write(make_stream_request(f'second{number}'))
            try:
                answer = await reader.read()
            except ConnectionResetError:
                answer = b''
            writer.transport.abort()
            return answer

        calling = [asyncio.create_task(send_twice(number)) for number in range(7)]
        await asyncio.sleep(0.4)
        assert await entry.terminate() == 0
        answers = await asyncio.gather(*calling)
        assert all(not answer or answer.endswith(b'0\r\n\r\n') for answer in answers)
        assert {run.request_id[:5] for run in worker.runs} == {'first'}
        assert 'whole_request=True' not in entry.read_log()
        assert 'event=request_without_answer' not in entry.read_log()


def make_stream_request(request_id):
    """Return the bytes of a request for a stream."""
    return (
        'POST /draft/x HTTP/1.1\r\nHost: site.example\r\nTamarackfield-Model: base\r\nContent-Length: 0\r\n'
        f'Tamarackfield-Request-Id: {request_id}\r\nTamarackfield-Deadline-Ms: 9000\r\n\r\n'
    ).encode()
