"""Callers that read slowly or not at all: the entry lives, within its memory and descriptors, and serves others.

Guards against an entry that runs out of memory or descriptors because it holds what callers do not read.
"""

import asyncio
import contextlib

import h11
import pytest

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.platform_site import HOST_NAME, allocate_address, make_config, make_route, running_site
from tamarackfield.testing.ports import reserve_port
from tamarackfield.testing.slow_readers import (
    ARRIVAL_SECONDS,
    LONG_ANSWER_BYTES,
    LONG_FORMS,
    LongAnswerPeer,
    explain_excess,
    open_caller,
    read_slowly,
    run_alone,
    send_slowly,
    slow_crowd,
    stop_in_the_middle,
    wait_for_ordinary_answer,
)

pytestmark = pytest.mark.xdist_group('slow_readers')

LONG_SERVICE = 'long'
#: Memory of the smallest machine and descriptors of a small one; the bounds of every test.
MEMORY_MB, MAX_DESCRIPTORS = 160, 400
BYTES_PER_MB = 1_000_000
#: Callers with one long answer each: their answers together are 1.5 times the memory.
CROWD = 60
#: Connections beyond the descriptors of the machine.
IDLE_CROWD = 500
PIPELINED = 40
#: Bytes that a steady caller reads every 0.1 s.
RECEIVE_BYTES = 65_536


def make_long_config():
    config = make_config()
    config['limits'] |= {'max_body_bytes': LONG_ANSWER_BYTES, 'idle_timeout_ms': 3000}
    config['services'].append({'name': LONG_SERVICE, 'health_path': '/healthz', 'max_conns': 1000})
    config['routes'] += [
        make_route('/long/', 'idempotent', LONG_SERVICE, max_attempts=1),
        make_route('/long-stream/', 'streaming', LONG_SERVICE, max_attempts=1),
    ]
    return config


def make_request(number, path='/long/x', method='GET', headers=''):
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nTamarackfield-Request-Id: slow-{number}\r\n'
        f'Tamarackfield-Deadline-Ms: 20000\r\n{headers}\r\n'
    ).encode()


@pytest.fixture
async def long_site(tmp_path):
    """Run an entry with lowered limits, an ordinary worker, and a worker with long answers."""
    with run_alone():
        async with running_site(tmp_path, make_long_config()) as site:
            await site.add_worker('w1')
            site.long_peer = LongAnswerPeer('length', allocate_address(), reserve_port())
            await site.long_peer.start()
            site.store.put('servers/long', make_store_entry(site.long_peer))
            site.limits = {'max_fds': MAX_DESCRIPTORS, 'memory_mb': MEMORY_MB}
            site.entry = await site.add_entry()
            yield site
            await site.long_peer.stop()


def make_store_entry(peer):
    return {
        'service': LONG_SERVICE,
        'address': f'{peer.host}:{peer.port}',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 100,
        'state': 'ready',
        'seq': 0,
        'cold_ms': 0,
        'born': SYSTEM_CLOCK.unix_ms(),
    }


async def require_sound_entry(site, requests, behave=None, arrival_seconds=ARRIVAL_SECONDS):
    """Let a crowd make requests; check the entry while it is there, and an ordinary request then."""

    async def call():
        async with asyncio.timeout(20):
            return (await site.call('/look/x'))[0]

    async with slow_crowd(site.entry_address(0), requests, behave, arrival_seconds):
        excess = explain_excess(site.entry, MEMORY_MB * BYTES_PER_MB, MAX_DESCRIPTORS)
        assert not excess
        await wait_for_ordinary_answer(call)
    assert not explain_excess(site.entry, MEMORY_MB * BYTES_PER_MB, MAX_DESCRIPTORS)


@pytest.mark.parametrize('behave', [None, read_slowly])
@pytest.mark.parametrize('form', LONG_FORMS)
async def test_long_answers_that_are_read_slowly_or_not_at_all(long_site, form, behave):
    long_site.long_peer.form = form
    path = '/long-stream/x' if form == 'events' else '/long/x'
    await require_sound_entry(long_site, [make_request(number, path) for number in range(CROWD)], behave)
    assert long_site.long_peer.answered


@pytest.mark.parametrize('form', ['length', 'small_chunks'])
async def test_long_answers_that_are_requested_at_once_and_not_read(long_site, form):
    long_site.long_peer.form = form
    path = '/long-stream/x' if form == 'events' else '/long/x'
    await require_sound_entry(long_site, [make_request(number, path) for number in range(CROWD)], arrival_seconds=0)


async def test_callers_that_stop_in_the_middle_of_an_answer(long_site):
    requests = [make_request(number) for number in range(CROWD)]
    await require_sound_entry(long_site, requests, stop_in_the_middle)


async def test_callers_that_read_one_byte_a_second(long_site):
    async def read_bytes(sock):
        await read_slowly(sock, 1, 1)

    await require_sound_entry(long_site, [make_request(number) for number in range(CROWD)], read_bytes)


async def test_many_requests_on_one_connection_of_which_no_answer_is_read(long_site):
    requests = [b''.join(make_request(f'{number}-{turn}') for turn in range(PIPELINED)) for number in range(CROWD // 4)]
    await require_sound_entry(long_site, requests)


@pytest.mark.parametrize('framing', [f'Content-Length: {LONG_ANSWER_BYTES}', 'Transfer-Encoding: chunked'])
async def test_long_request_bodies_that_are_sent_slowly(long_site, framing):
    start = LONG_ANSWER_BYTES - 200_000
    body = bytes(start) if framing.startswith('Content') else f'{LONG_ANSWER_BYTES:x}\r\n'.encode() + bytes(start)
    requests = [make_request(number, '/look/x', 'POST', f'{framing}\r\n') + body for number in range(CROWD)]
    await require_sound_entry(long_site, requests, send_slowly)


async def test_long_request_bodies_that_the_worker_reads_slowly(long_site):
    long_site.long_peer.reads_slowly = True
    headers = f'Content-Length: {LONG_ANSWER_BYTES}\r\n'
    requests = [make_request(number, '/long/x', 'POST', headers) + bytes(LONG_ANSWER_BYTES) for number in range(CROWD)]
    await require_sound_entry(long_site, requests)
    assert long_site.long_peer.answered


async def test_idle_connections_up_to_the_descriptor_limit(long_site):
    await require_sound_entry(long_site, [b'' for _ in range(IDLE_CROWD)], arrival_seconds=0)


async def test_a_long_answer_that_is_read_steadily_is_whole(long_site):
    # Guards against limits that a sound caller reaches: it reads 4 MiB in some seconds, alone.
    received = 0
    async with long_site.stream('/long/x') as response:
        async for chunk in response.chunks():
            received += len(chunk)
            await asyncio.sleep(0.05)
    assert received == LONG_ANSWER_BYTES


async def test_a_finished_answer_is_whole_although_its_deadline_passes(long_site):
    # Guards against a deadline that cuts an answer which the entry has, because it is written in pieces.
    request = make_request(1).replace(b'20000', b'2000')
    with await open_caller(long_site.entry_address(0), request, 4 * RECEIVE_BYTES) as sock:
        received = 0
        while received < LONG_ANSWER_BYTES:
            chunk = await asyncio.get_running_loop().sock_recv(sock, RECEIVE_BYTES)
            assert chunk
            received += len(chunk)
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('form', ['length', 'chunked', 'events'])
async def test_an_answer_that_breaks_off_does_not_look_complete(long_site, form):
    # Guards against a close that ends a chunked or shorter answer as if it were whole.
    long_site.long_peer.form = form
    path = '/long-stream/x' if form == 'events' else '/long/x'
    requests = [make_request(number, path) for number in range(CROWD)]
    async with slow_crowd(long_site.entry_address(0), requests) as sockets:
        received = await asyncio.gather(*(read_rest(sock) for sock in sockets))
    for answer in received:
        if answer.startswith(b'HTTP/1.1 200'):
            received_bytes, is_complete = parse_answer(answer)
            assert is_complete == (received_bytes == LONG_ANSWER_BYTES)


def parse_answer(answer):
    """Return the size of the body in an answer without its framing, and whether it is complete for a caller."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method='GET', target='/', headers=[('Host', HOST_NAME)]))
    protocol.send(h11.EndOfMessage())
    protocol.receive_data(answer)
    protocol.receive_data(b'')
    received_bytes = 0
    event = None
    with contextlib.suppress(h11.RemoteProtocolError):
        while not isinstance(event, h11.EndOfMessage):
            event = protocol.next_event()
            received_bytes += len(event.data) if isinstance(event, h11.Data) else 0
    return received_bytes, isinstance(event, h11.EndOfMessage)


async def read_rest(sock):
    """Return what a caller that has read nothing yet receives until its connection is closed or silent."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    with contextlib.suppress(OSError, TimeoutError):
        while True:
            async with asyncio.timeout(3):
                chunk = await loop.sock_recv(sock, 65_536)
            if not chunk:
                break
            received += chunk
    return bytes(received)
