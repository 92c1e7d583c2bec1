"""Measures memory and start-up time of an entry and a sidecar with a large bundle."""

import asyncio
import json
import pathlib
import tempfile

import click

from benchmarks.measure import read_usage
from tamarackfield.bundle import publish
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle

_SETTLE_SECONDS = 3.0
_MEASURED_PROCESSES = ('entry-1', 'engine-1-sidecar')


@click.command()
@click.option('--adapters', default=120_000, help='Number of adapters in the bundle.')
def main(adapters: int) -> None:
    """Print memory in MB, processor time and seconds until readiness of both processes as JSON."""
    with tempfile.TemporaryDirectory(prefix='tamarackfield-large-') as directory:
        click.echo(json.dumps(asyncio.run(_measure_processes(pathlib.Path(directory), adapters)), indent=2))


async def _measure_processes(directory: pathlib.Path, adapters: int) -> dict[str, dict[str, float]]:
    names = tuple(f'draft-{index}@v1' for index in range(adapters))
    cluster = Cluster(directory, [TargetSpec('engine-1')], 1, make_bundle(('clinic',), names))
    cluster.document['number'] = 1
    _write_bundle_files(cluster, directory / 'values')
    figures = {}
    try:
        for name in ('configuration', 'engine-1', *_MEASURED_PROCESSES):
            started_at = asyncio.get_running_loop().time()
            await cluster.start_process(name)
            figures[name] = {'ready_seconds': asyncio.get_running_loop().time() - started_at}
        await asyncio.sleep(_SETTLE_SECONDS)
        for name in _MEASURED_PROCESSES:
            usage = read_usage(cluster.processes[name].process.pid)
            figures[name] |= {'resident_mb': usage.resident_mb, 'cpu_seconds': usage.cpu_seconds}
    finally:
        await cluster.stop()
    return {name: figures[name] for name in _MEASURED_PROCESSES}


def _write_bundle_files(cluster: Cluster, directory: pathlib.Path) -> None:
    """Write the bundle to the files served by the configuration service stand-in."""
    for name, content in publish(cluster.document, cluster.private_key).items().items():
        target = directory / name
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes(content)
    cluster.processes['configuration'].settings['directory'] = str(directory)


if __name__ == '__main__':
    main()
