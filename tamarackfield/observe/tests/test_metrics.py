"""Delivery of metrics to a statsd collector, and use of every declared metric."""

import asyncio
import pathlib
import re

from tamarackfield.observe.metrics import METRICS
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST, wait_until
from tamarackfield.web import fetch

PACKAGE = pathlib.Path(__file__).parents[2]
CHAT = b'{"model": "draft@v1", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 1}'
ENTRY_METRICS = ('requests:1|c', 'answers:1|c', 'first_token:', 'peer_streams:1|g', 'bundle_number:1|g')
SIDECAR_METRICS = ('adapter_loads:1|c', 'load_stall:', 'queue_length:0|g', 'batch_fill:', 'peer_streams:1|g')


class Collector(asyncio.DatagramProtocol):
    """Stores the received metrics."""

    def __init__(self):
        """Create a collector without metrics."""
        self.lines = []

    def datagram_received(self, datagram, address):
        """Store each line of a datagram."""
        self.lines.extend(datagram.decode().splitlines())

    async def missing_metrics(self):
        """Return the expected metrics that were not received yet."""
        expected = [f'tamarackfield.entry-1.{name}' for name in ENTRY_METRICS]
        expected += [f'tamarackfield.engine-1-sidecar.{name}' for name in SIDECAR_METRICS]
        return [name for name in expected if not any(line.startswith(name) for line in self.lines)]

    async def is_complete(self):
        """Return whether all expected metrics were received."""
        return not await self.missing_metrics()


async def test_expected_metrics_are_received_by_the_collector(tmp_path):
    loop = asyncio.get_running_loop()
    transport, collector = await loop.create_datagram_endpoint(Collector, local_addr=(HOST, 0))
    cluster = Cluster(tmp_path, [TargetSpec('engine-1')], 1, make_bundle(('clinic',), ('draft@v1',)))
    port = transport.get_extra_info('sockname')[1]
    for name in ('entry-1', 'engine-1-sidecar'):
        cluster.processes[name].settings['statsd'] = {'host': HOST, 'port': port}
    async with cluster:
        headers = [('Authorization', 'Bearer key-clinic')]
        address = (HOST, cluster.ports['entry-1'])
        status, _, _ = await fetch(address, 'POST', '/v1/chat/completions', CHAT, headers)
        assert status == 200
        await wait_until(collector.is_complete, 'all metrics arrive')
    transport.close()


def test_every_declared_metric_is_used():
    paths = [path for path in PACKAGE.rglob('*.py') if path.name != 'metrics.py' and 'tests' not in path.parts]
    used_names = {word for path in paths for word in re.findall("'([a-z_.]+)'", path.read_text())}
    outcomes = {f'refusals.{outcome}' for outcome in ('not_run', 'unknown', 'failed')}
    assert set(METRICS) - used_names - outcomes == set()
