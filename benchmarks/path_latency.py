"""Latency that the path adds to a direct call of the engine stand-in, and memory at rest, as JSON.

Direct calls and calls through entry and sidecar are made in turn, one at a time, so that both meet
the same load of the machine.
"""

import asyncio
import json
import os
import pathlib
import tempfile
import time

import click
import numpy
import psutil

from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST
from tamarackfield.web import fetch

_CHAT = {'model': 'draft@v1', 'messages': [{'role': 'user', 'content': 'hi'}], 'max_tokens': 1}
_HEADERS = [('Authorization', 'Bearer key-clinic'), ('Content-Type', 'application/json')]
_MS_PER_SECOND = 1000
_BYTES_PER_MB = 1_000_000
_WARM_UP = 20


async def measure(directory: pathlib.Path, requests: int) -> dict[str, object]:
    """Run a small deployment and return what was measured."""
    engine = TargetSpec('engine-1', options={'step_ms': 1, 'prefill_ms': 0})
    async with Cluster(directory, [engine], 1, make_bundle(('clinic',), ('draft@v1',))) as cluster:
        memory = {name: _memory_mb(process.process.pid) for name, process in cluster.processes.items()}
        times: dict[str, list[float]] = {'entry-1': [], 'engine-1': []}
        for turn in range(requests + _WARM_UP):
            for name, samples in times.items():
                elapsed = await _timed_call(cluster.ports[name])
                if turn >= _WARM_UP:
                    samples.append(elapsed)
    path, direct = (_percentiles(times[name]) for name in ('entry-1', 'engine-1'))
    added = {name: round(path[name] - direct[name], 2) for name in path}
    return {
        'requests': requests,
        'path_ms': path,
        'direct_ms': direct,
        'added_ms': added,
        'memory_at_rest_mb': memory,
        'load_average': os.getloadavg(),
    }


async def _timed_call(port: int) -> float:
    """Make one call and return its time in milliseconds."""
    before = time.monotonic()
    status, _, _ = await fetch((HOST, port), 'POST', '/v1/chat/completions', json.dumps(_CHAT).encode(), _HEADERS)
    assert status == 200, status
    return (time.monotonic() - before) * _MS_PER_SECOND


def _memory_mb(pid: int) -> dict[str, float]:
    used = psutil.Process(pid).memory_full_info()
    return {'resident': round(used.rss / _BYTES_PER_MB, 1), 'private': round(used.uss / _BYTES_PER_MB, 1)}


def _percentiles(samples: list[float]) -> dict[str, float]:
    return {f'p{rank}': round(float(numpy.percentile(samples, rank)), 2) for rank in (50, 99)}


@click.command()
@click.option('--requests', default=300, help='Calls of each kind.')
def main(requests: int) -> None:
    """Print the added latency and the memory at rest."""
    with tempfile.TemporaryDirectory(prefix='tamarackfield-latency-') as directory:
        click.echo(json.dumps(asyncio.run(measure(pathlib.Path(directory), requests)), indent=2))


if __name__ == '__main__':
    main()
