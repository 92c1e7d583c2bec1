"""Measures the cost of one more stream, request or token at an entry and a sidecar, for docs/CAPACITY.md.

Run ``bin/slopes``; it prints JSON. Each part starts real processes on this machine and reads their
processor time and memory. Peers without callers and targets are simulated by `benchmarks.fake_peers`.
"""

import asyncio
import json
import pathlib
import sys
import tempfile
from typing import Any

import click

from benchmarks.measure import Usage, compute_cpu_share, fit_line, read_usage
from tamarackfield.testing.cluster import MODEL, Cluster, TargetSpec, address, make_bundle
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.processes import HOST
from tamarackfield.testing.scripts import script_processes
from tamarackfield.web import open_request

ADAPTER = 'draft@v1'
_CALLER = 'clinic'
_MICROSECONDS_PER_SECOND = 1_000_000
_SETTLE_SECONDS = 2.0


@click.command()
@click.option('--streams', default='1,20,60,120', help='Numbers of streams to measure, separated by commas.')
@click.option('--seconds', default=6.0, help='Length of each measurement.')
@click.option('--requests', default=300, help='Number of requests of each size.')
def main(streams: str, seconds: float, requests: int) -> None:
    """Print the slopes as JSON."""
    counts = [int(part) for part in streams.split(',')]
    with script_processes():
        click.echo(json.dumps(asyncio.run(_measure_slopes(counts, seconds, requests)), indent=2))


async def _measure_slopes(counts: list[int], seconds: float, requests: int) -> dict[str, Any]:
    return {
        'entry_streams': _fit_lines(await _measure_each_count(counts, seconds, _measure_idle_entry)),
        'sidecar_streams': _fit_lines(await _measure_each_count(counts, seconds, _measure_idle_sidecar)),
        'requests': await _run_in_directory(_measure_request_costs, requests),
    }


async def _measure_each_count(counts: list[int], seconds: float, measure: Any) -> list[dict[str, float]]:
    return [await _run_in_directory(measure, count, seconds) for count in counts]


async def _run_in_directory(measure: Any, *arguments: Any) -> Any:
    with tempfile.TemporaryDirectory(prefix='tamarackfield-slopes-') as directory:
        return await measure(pathlib.Path(directory), *arguments)


def _fit_lines(rows: list[dict[str, float]]) -> dict[str, Any]:
    names = [name for name in rows[0] if name != 'streams']
    lines = {name: fit_line([(row['streams'], row[name]) for row in rows]) for name in names}
    return {'rows': rows, 'per_stream': lines}


async def _measure_idle_entry(directory: pathlib.Path, count: int, seconds: float) -> dict[str, float]:
    """Measure an entry with streams to ``count`` sidecars and no callers."""
    cluster = Cluster(directory, [], 1, make_bundle((_CALLER,), (ADAPTER,)))
    ports = [reserve_port() for _ in range(count)]
    for index, port in enumerate(ports):
        cluster.document['targets'][f'fake-{index + 1}'] = {
            'kind': 'engine',
            'model': MODEL,
            'address': address(port),
            'zone': 'zone-1',
            'region': 'west',
        }
    peer_process = await _start_simulated_peers('sidecars', *map(str, ports))
    try:
        async with cluster:
            usage = await _measure_usage(cluster.processes['entry-1'].process.pid, seconds)
    finally:
        peer_process.kill()
        await peer_process.wait()
    return {'streams': count, **usage}


async def _measure_idle_sidecar(directory: pathlib.Path, count: int, seconds: float) -> dict[str, float]:
    """Measure a sidecar with streams from ``count`` entries and no requests."""
    cluster = Cluster(directory, [TargetSpec('engine-1')], 0, make_bundle((_CALLER,), (ADAPTER,)))
    async with cluster:
        port = cluster.ports['engine-1-peer']
        duration = seconds + _SETTLE_SECONDS * 2
        peer_process = await _start_simulated_peers(
            'entries', str(port), '--count', str(count), '--seconds', str(duration)
        )
        usage = await _measure_usage(cluster.processes['engine-1-sidecar'].process.pid, seconds)
        output, _ = await peer_process.communicate()
    traffic = json.loads(output)
    return {
        'streams': count,
        **usage,
        'sent_bytes_per_second': traffic['from_sidecar_per_second'],
        'received_bytes_per_second': traffic['to_sidecar_per_second'],
    }


async def _start_simulated_peers(*arguments: str) -> asyncio.subprocess.Process:
    command = (sys.executable, '-m', 'benchmarks.fake_peers', *arguments)
    return await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)


async def _measure_usage(pid: int, seconds: float) -> dict[str, float]:
    await asyncio.sleep(_SETTLE_SECONDS)
    before = read_usage(pid)
    await asyncio.sleep(seconds)
    after = read_usage(pid)
    return {'cpu_share': compute_cpu_share(before, after), 'resident_mb': after.resident_mb}


async def _measure_request_costs(directory: pathlib.Path, requests: int) -> dict[str, Any]:
    """Measure processor time per request and per token from streams of several lengths."""
    options = {'batch': 32, 'step_ms': 2, 'sequence_ms': 0, 'prefill_ms': 0}
    targets = [TargetSpec('engine-1', options=options)]
    cluster = Cluster(directory, targets, 1, make_bundle((_CALLER,), (ADAPTER,)))
    rows = []
    async with cluster:
        pids = {name: cluster.processes[name].process.pid for name in ('entry-1', 'engine-1-sidecar')}
        await _send_streams(cluster, 20, 10)
        for tokens in (1, 50, 150):
            before = {name: read_usage(pid) for name, pid in pids.items()}
            await _send_streams(cluster, requests, tokens)
            rows.append({'tokens': tokens, **_compute_costs(before, pids, requests)})
    lines = {name: fit_line([(row['tokens'], row[name]) for row in rows]) for name in pids}
    return {'microseconds_per_request': rows, 'per_token': lines}


def _compute_costs(before: dict[str, Usage], pids: dict[str, int], requests: int) -> dict[str, float]:
    cpu_seconds = {name: read_usage(pid).cpu_seconds - before[name].cpu_seconds for name, pid in pids.items()}
    return {name: seconds / requests * _MICROSECONDS_PER_SECOND for name, seconds in cpu_seconds.items()}


async def _send_streams(cluster: Cluster, requests: int, tokens: int) -> None:
    concurrency_limit = asyncio.Semaphore(16)
    await asyncio.gather(*(_send_stream(cluster, tokens, concurrency_limit) for _ in range(requests)))


async def _send_stream(cluster: Cluster, tokens: int, concurrency_limit: asyncio.Semaphore) -> None:
    headers = [('Authorization', f'Bearer key-{_CALLER}'), ('Content-Type', 'application/json')]
    messages = [{'role': 'user', 'content': 'hello'}]
    document = {'model': ADAPTER, 'messages': messages, 'max_tokens': tokens, 'stream': True}
    target = (HOST, cluster.ports['entry-1'])
    async with concurrency_limit:
        body = json.dumps(document).encode()
        async with open_request(target, 'POST', '/v1/chat/completions', body, headers) as response:
            content = await response.read()
    if not content.endswith(b'data: [DONE]\n\n'):
        raise click.ClickException(f'stream ended without [DONE]: {content[-200:]!r}')


if __name__ == '__main__':
    main()
