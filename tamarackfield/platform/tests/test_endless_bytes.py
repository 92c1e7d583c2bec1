"""Peers that send bytes without end: the requests of all others are served, and memory stays bounded."""

import asyncio
import contextlib
import pathlib

import pytest

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.endless_peer import ENDLESS_FORMS, EndlessPeer
from tamarackfield.testing.platform_site import HOST_NAME, allocate_address, make_config, make_route, running_site
from tamarackfield.testing.ports import reserve_port
from tamarackfield.web import ClientError

NOISE_SERVICE = 'noise'
NOISY_CALLERS = 8
#: Deadline of the sound requests; without a peer that sends without end, each takes some milliseconds.
DEADLINE = ('Tamarackfield-Deadline-Ms', '1000')
SOUND_CALLS = 20
#: Growth of the memory of an entry that answers without end may cause, from the aim for such peers.
MAX_GROWTH_BYTES = 64 * 2**20
KILOBYTE = 1024


def make_config_with_noise():
    config = make_config()
    config['services'].append({'name': NOISE_SERVICE, 'health_path': '/healthz', 'max_conns': 1000})
    config['routes'] += [
        make_route('/noise/', 'idempotent', NOISE_SERVICE, max_attempts=1),
        make_route('/noisy-stream/', 'streaming', NOISE_SERVICE, max_attempts=1),
    ]
    return config


async def add_endless_peer(site, form):
    """Start a worker that answers without end, and write its entry."""
    peer = EndlessPeer(form, allocate_address(), reserve_port())
    await peer.start()
    document = {
        'service': NOISE_SERVICE,
        'address': f'{peer.host}:{peer.port}',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 100,
        'state': 'ready',
        'seq': 0,
        'cold_ms': 0,
        'born': SYSTEM_CLOCK.unix_ms(),
    }
    site.store.put(f'servers/{peer.form}', document)
    return peer


def read_peak_bytes(process):
    """Return the largest resident memory that a process has had."""
    status = pathlib.Path(f'/proc/{process.process.pid}/status').read_text()
    line = next(line for line in status.splitlines() if line.startswith('VmHWM'))
    return int(line.split()[1]) * KILOBYTE


async def call_noise(site, path):
    """Call a worker that answers without end, over and over, and read what arrives."""
    while True:
        with contextlib.suppress(ClientError, OSError):
            async with site.stream(path) as response:
                async for _ in response.chunks():
                    await asyncio.sleep(0)
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def noise(site, path):
    """Send requests to workers that answer without end."""
    callers = [asyncio.create_task(call_noise(site, path)) for _ in range(NOISY_CALLERS)]
    try:
        yield
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.wait(callers, timeout=5)


async def call_in_time(site):
    """Return the status of a sound request, 0 without an answer after its deadline."""
    try:
        async with asyncio.timeout(2):
            return (await site.call('/look/x', headers=[DEADLINE]))[0]
    except (TimeoutError, ClientError, OSError):
        return 0


@pytest.mark.parametrize('form', ENDLESS_FORMS)
async def test_answers_without_end_stop_neither_other_requests_nor_the_process(tmp_path, form):
    # Guards against one answer that keeps the event loop, and against many that fill the memory.
    async with running_site(tmp_path, make_config_with_noise()) as site:
        await site.add_worker('w1')
        peer = await add_endless_peer(site, form)
        entry = await site.add_entry()
        await site.call('/look/x')
        before = read_peak_bytes(entry)
        path = '/noisy-stream/x' if form in {'events', 'comments', 'one_event'} else '/noise/x'
        async with noise(site, path):
            await asyncio.sleep(0.5)
            statuses = [await call_in_time(site) for _ in range(SOUND_CALLS)]
        assert peer.answered
        assert statuses == [200 for _ in range(SOUND_CALLS)]
        assert read_peak_bytes(entry) - before < MAX_GROWTH_BYTES
        assert await call_in_time(site) == 200
        await peer.stop()


async def send_small_chunks(address, request_id):
    """Send a request whose body comes in chunks of one byte, within the limit on its size."""
    reader, writer = await asyncio.open_connection(*address)
    head = f'POST /look/x HTTP/1.1\r\nHost: {HOST_NAME}\r\nTamarackfield-Request-Id: {request_id}\r\n'
    writer.write(f'{head}Tamarackfield-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n'.encode())
    try:
        while True:
            writer.write(b'1\r\nx\r\n' * 1000)
            await writer.drain()
    except OSError:
        return
    finally:
        writer.close()


async def test_bodies_in_small_chunks_do_not_stop_other_callers(one_worker_site):
    # Guards against a caller whose request body keeps the event loop.
    site = one_worker_site
    address = site.entry_address(0)
    callers = [asyncio.create_task(send_small_chunks(address, f'chunks-{number}')) for number in range(NOISY_CALLERS)]
    await asyncio.sleep(0.5)
    statuses = [await call_in_time(site) for _ in range(SOUND_CALLS)]
    for caller in callers:
        caller.cancel()
    await asyncio.wait(callers)
    assert statuses == [200 for _ in range(SOUND_CALLS)]
