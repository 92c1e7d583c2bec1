"""A sidecar whose listening port is taken logs the error and exits, instead of running unreachable."""

import asyncio

from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST, request_page, wait_until


async def start_without_bundle(cluster):
    """Start the sidecar before a bundle is published."""
    await cluster.start_process('configuration')
    await cluster.start_process('engine-1')
    sidecar = cluster.processes['engine-1-sidecar']
    await sidecar.start()
    port = cluster.ports['engine-1-sidecar-operations']

    async def is_live():
        return 'level=' in sidecar.read_log() and await request_page(port, 'GET', '/livez')

    await wait_until(is_live, 'the sidecar is live')
    return sidecar


async def has_ended(process):
    """Return whether a process has exited."""
    return process.process.returncode is not None


async def test_sidecar_exits_if_its_port_is_taken_before_the_first_bundle(tmp_path):
    cluster = Cluster(tmp_path, [TargetSpec('engine-1')], entries=0, bundle=make_bundle(('clinic',), ('draft@v1',)))
    try:
        sidecar = await start_without_bundle(cluster)
        blocker = await asyncio.start_server(lambda reader, writer: None, HOST, cluster.ports['engine-1-peer'])
        await cluster.publish()
        await wait_until(lambda: has_ended(sidecar), 'the sidecar exits')
    finally:
        await cluster.stop()
    assert ' event=cannot_listen ' in sidecar.read_log()
    blocker.close()
