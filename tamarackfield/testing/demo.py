"""Demo: starts a complete deployment on this machine and sends a few requests through it."""

import asyncio
import contextlib
import json
import pathlib
import signal
import tempfile

import click

from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST
from tamarackfield.testing.scripts import script_processes
from tamarackfield.web import fetch, open_request

_CALLER = 'clinic'
_ADAPTERS = ('route-notes@v1', 'route-notes@v2', 'visit-summary@v1')
_JSON_HEADER = ('Content-Type', 'application/json')


@click.command()
@click.option('--keep', is_flag=True, help='Stay up and print a ready curl line.')
def main(*, keep: bool) -> None:
    """Serve requests through entry, sidecar and stand-ins as separate processes."""
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory(prefix='tamarackfield-demo-'))
        stack.enter_context(contextlib.suppress(KeyboardInterrupt))
        stack.enter_context(script_processes())
        asyncio.run(_demo(pathlib.Path(directory), keep=keep))


async def _demo(directory: pathlib.Path, *, keep: bool) -> None:
    targets = [TargetSpec('engine-1'), TargetSpec('engine-2', speed=0.5), TargetSpec('booking-1', kind='service')]
    cluster = Cluster(directory, targets, entries=2, bundle=make_bundle((_CALLER,), _ADAPTERS), weights={})
    async with cluster:
        click.echo(f'{len(cluster.processes)} processes are ready: {", ".join(sorted(cluster.processes))}')
        await _show_streamed_completion(cluster)
        await _show_repeated_booking(cluster)
        await _show_counts(cluster)
        if keep:
            click.echo(_make_curl_command(cluster))
            await _wait_for_signal()
    click.echo('all processes are stopped')


async def _wait_for_signal() -> None:
    stopping = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    await stopping.wait()


def _make_headers() -> list[tuple[str, str]]:
    return [_JSON_HEADER, ('Authorization', f'Bearer key-{_CALLER}')]


def _encode_completion(*, stream: bool) -> bytes:
    messages = [{'role': 'user', 'content': 'Which gate does the truck take?'}]
    document = {'model': _ADAPTERS[0], 'messages': messages, 'max_tokens': 6, 'stream': stream}
    return json.dumps(document).encode()


async def _show_streamed_completion(cluster: Cluster) -> None:
    address = (HOST, cluster.ports['entry-1'])
    click.echo(f'streamed completion of {_ADAPTERS[0]} through entry-1:')
    path = '/v1/chat/completions'
    async with open_request(address, 'POST', path, _encode_completion(stream=True), _make_headers()) as response:
        click.echo(f'  status {response.status}, target {response.headers.get("x-target")}')
        async for chunk in response.chunks():
            click.echo(f'  {chunk.decode().strip()}')


async def _show_repeated_booking(cluster: Cluster) -> None:
    click.echo('the same booking twice, through two entries:')
    headers = [*_make_headers(), ('Idempotency-Key', 'pit-17')]
    for name in cluster.entry_names:
        address = (HOST, cluster.ports[name])
        status, _, body = await fetch(address, 'POST', '/services/booking/bookings', b'{"slot": 3}', headers)
        click.echo(f'  {name}: status {status} {body.decode()}')


async def _show_counts(cluster: Cluster) -> None:
    counts = await cluster.control('booking-1')
    click.echo(f'the booking service ran each key this often: {counts["ran"]}')


def _make_curl_command(cluster: Cluster) -> str:
    data = _encode_completion(stream=True).decode()
    url = f'{cluster.entry_url()}/v1/chat/completions'
    return f"curl -N {url} -H 'Authorization: Bearer key-{_CALLER}' -H 'Content-Type: application/json' -d '{data}'"


if __name__ == '__main__':
    main()
