"""Ends of requests as an operator sees them."""

import asyncio

from tamarackfield.platform.settings import METRICS_PORT
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
