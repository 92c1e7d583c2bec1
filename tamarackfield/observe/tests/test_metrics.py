"""Metrics arrive at a collector by statsd, and every declared one is sent somewhere."""

import asyncio
import pathlib
import re

from tamarackfield.observe.metrics import METRICS
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST, wait_until
from tamarackfield.web import fetch

PACKAGE = pathlib.Path(__file__).parents[2]
CHAT = b'{"model": "draft@v1", "messages": [{"role": "user", "content": "hi"}], "max_tokens": 1}'
BY_ENTRY = ('requests:1|c', 'answers:1|c', 'first_token:', 'peer_streams:1|g', 'bundle_number:1|g')
BY_SIDECAR = ('adapter_loads:1|c', 'load_stall:', 'queue_length:0|g', 'batch_fill:', 'peer_streams:1|g')


class Collector(asyncio.DatagramProtocol):
    """Keeps the datagrams that arrive."""

    def __init__(self):
        """Start with none."""
        self.lines = []

    def datagram_received(self, datagram, address):
        """Keep each line."""
        self.lines.extend(datagram.decode().splitlines())

    async def missing(self):
        """Return the expected metrics that have not arrived."""
        wanted = [f'tamarackfield.entry-1.{name}' for name in BY_ENTRY]
        wanted += [f'tamarackfield.engine-1-sidecar.{name}' for name in BY_SIDECAR]
        return [name for name in wanted if not any(line.startswith(name) for line in self.lines)]

    async def is_complete(self):
        """Tell whether every expected metric arrived."""
        return not await self.missing()


async def test_metrics_arrive_at_the_collector(tmp_path):
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


def test_every_declared_metric_is_sent_somewhere():
    paths = [path for path in PACKAGE.rglob('*.py') if path.name != 'metrics.py' and 'tests' not in path.parts]
    named = {word for path in paths for word in re.findall("'([a-z_.]+)'", path.read_text())}
    outcomes = {f'refusals.{outcome}' for outcome in ('not_run', 'unknown', 'failed')}
    assert set(METRICS) - named - outcomes == set()
