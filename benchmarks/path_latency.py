"""Measures the latency that the path adds to a direct call of the engine stand-in, and idle memory, as JSON.

Direct calls and calls through entry and sidecar alternate, one at a time, so that both run under the
same load of the machine.
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
from tamarackfield.testing.scripts import script_processes
from tamarackfield.web import fetch

_CHAT = {'model': 'draft@v1', 'messages': [{'role': 'user', 'content': 'hi'}], 'max_tokens': 1}
_HEADERS = [('Authorization', 'Bearer key-clinic'), ('Content-Type', 'application/json')]
_MS_PER_SECOND = 1000
_BYTES_PER_MB = 1_000_000
_WARM_UP_CALLS = 20


async def measure_path_latency(directory: pathlib.Path, requests: int) -> dict[str, object]:
    """Run a small deployment and return its latency and memory figures."""
    engine = TargetSpec('engine-1', options={'step_ms': 1, 'prefill_ms': 0})
    async with Cluster(directory, [engine], 1, make_bundle(('clinic',), ('draft@v1',))) as cluster:
        memory = {name: _read_memory_mb(process.process.pid) for name, process in cluster.processes.items()}
        samples_ms: dict[str, list[float]] = {'entry-1': [], 'engine-1': []}
        for turn in range(requests + _WARM_UP_CALLS):
            for name, samples in samples_ms.items():
                elapsed = await _time_call_ms(cluster.ports[name])
                if turn >= _WARM_UP_CALLS:
                    samples.append(elapsed)
    path_ms, direct_ms = (_compute_percentiles(samples_ms[name]) for name in ('entry-1', 'engine-1'))
    added_ms = {name: round(path_ms[name] - direct_ms[name], 2) for name in path_ms}
    return {
        'requests': requests,
        'path_ms': path_ms,
        'direct_ms': direct_ms,
        'added_ms': added_ms,
        'memory_at_rest_mb': memory,
        'load_average': os.getloadavg(),
    }


async def _time_call_ms(port: int) -> float:
    """Send one call and return its duration in milliseconds."""
    before = time.monotonic()
    status, _, _ = await fetch((HOST, port), 'POST', '/v1/chat/completions', json.dumps(_CHAT).encode(), _HEADERS)
    assert status == 200, status
    return (time.monotonic() - before) * _MS_PER_SECOND


def _read_memory_mb(pid: int) -> dict[str, float]:
    used = psutil.Process(pid).memory_full_info()
    return {'resident': round(used.rss / _BYTES_PER_MB, 1), 'private': round(used.uss / _BYTES_PER_MB, 1)}


def _compute_percentiles(samples: list[float]) -> dict[str, float]:
    return {f'p{rank}': round(float(numpy.percentile(samples, rank)), 2) for rank in (50, 99)}


@click.command()
@click.option('--requests', default=300, help='Number of calls of each kind.')
def main(requests: int) -> None:
    """Print the added latency and the idle memory."""
    with tempfile.TemporaryDirectory(prefix='tamarackfield-latency-') as directory, script_processes():
        click.echo(json.dumps(asyncio.run(measure_path_latency(pathlib.Path(directory), requests)), indent=2))


if __name__ == '__main__':
    main()
