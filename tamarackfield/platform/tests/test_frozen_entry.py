"""What arrives while an entry or a sidecar is frozen counts, and a limit that passed meanwhile shows nothing."""

import asyncio

import pytest

from tamarackfield.testing.platform_site import HOST_NAME, make_config, running_site
from tamarackfield.testing.platform_worker import WorkerFault

IDLE_LIMIT_MS = 600
#: Time for which a process is frozen, above the limit that it reaches meanwhile.
FROZEN_SECONDS = 1.2
#: Time above that of a watch of the store and its margin.
FROZEN_WATCH_SECONDS = 4.2
CONNECTIONS = 12


def make_short_idle_config(version=1, idle_limit_ms=IDLE_LIMIT_MS):
    """Return a configuration with another idle limit."""
    config = make_config(version)
    config['limits']['idle_timeout_ms'] = idle_limit_ms
    return config


def make_request(request_id):
    """Return a request that keeps its connection open."""
    lines = (
        'GET /look/x HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'Tamarackfield-Request-Id: {request_id}',
        'Tamarackfield-Deadline-Ms: 20000',
    )
    return '\r\n'.join((*lines, '', '')).encode()


async def read_status(reader):
    """Return the status of the next answer, None if the connection ends without one."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lengths = [line for line in head.lower().split(b'\r\n') if line.startswith(b'content-length:')]
    await reader.readexactly(int(lengths[0].partition(b':')[2]))
    return int(head.split()[1])


async def open_kept_connections(site, count):
    """Open connections to the entry, each of which has had an answer."""
    connections = [await asyncio.open_connection(*site.entry_address(0)) for _ in range(count)]
    for number, (reader, writer) in enumerate(connections):
        writer.write(make_request(f'first-{number}'))
        assert await read_status(reader) == 200
    return connections


async def test_requests_that_reach_a_frozen_entry_on_idle_connections_are_answered(tmp_path):
    async with running_site(tmp_path, make_short_idle_config()) as site:
        await site.add_worker('w1')
        entry = await site.add_entry()
        connections = await open_kept_connections(site, CONNECTIONS)
        entry.freeze()
        for number, (_, writer) in enumerate(connections):
            writer.write(make_request(f'second-{number}'))
        await asyncio.sleep(FROZEN_SECONDS)
        entry.thaw()
        assert [await read_status(reader) for reader, _ in connections] == CONNECTIONS * [200]
        for _, writer in connections:
            writer.close()


async def test_raised_idle_limit_of_a_new_configuration_holds_for_open_connections(tmp_path):
    async with running_site(tmp_path, make_short_idle_config(idle_limit_ms=3000)) as site:
        await site.add_worker('w1')
        await site.add_entry()
        connections = await open_kept_connections(site, 1)
        site.store.put('op/config', make_short_idle_config(2, idle_limit_ms=30_000))
        await asyncio.sleep(4.0)
        reader, writer = connections[0]
        writer.write(make_request('second'))
        assert await read_status(reader) == 200
        writer.close()


async def test_answer_that_reaches_a_frozen_entry_before_the_deadline_is_delivered(one_worker_site):
    site = one_worker_site
    site.workers['w1'].event_interval_seconds = 0.3
    calling = asyncio.create_task(site.call('/file/x', headers=[('Tamarackfield-Deadline-Ms', '800')]))
    while not site.workers['w1'].runs:
        await asyncio.sleep(0.01)
    site.entries[0].freeze()
    await asyncio.sleep(FROZEN_SECONDS)
    site.entries[0].thaw()
    status, _, _ = await calling
    assert status == 200


async def test_deadlines_that_pass_while_an_entry_is_frozen_do_not_leave_out_a_target(one_worker_site):
    site = one_worker_site
    site.workers['w1'].fault = WorkerFault('hang', CONNECTIONS)
    calls = [
        asyncio.create_task(site.call('/file/x', headers=[('Tamarackfield-Deadline-Ms', '800')]))
        for _ in range(CONNECTIONS)
    ]
    while len(site.workers['w1'].runs) < CONNECTIONS:
        await asyncio.sleep(0.01)
    site.entries[0].freeze()
    await asyncio.sleep(FROZEN_SECONDS)
    site.entries[0].thaw()
    statuses = {status for status, _, _ in await asyncio.gather(*calls)}
    assert statuses == {504}
    assert 'event=target_left_out' not in site.entries[0].read_log()


@pytest.mark.parametrize(
    'frozen, seconds, losses',
    [
        ('entry', FROZEN_SECONDS, ('sidecar_lost', 'store_lost')),
        ('entry', FROZEN_WATCH_SECONDS, ('store_lost', 'machine_suspect=True')),
        ('sidecar', FROZEN_SECONDS, ('engine_lost', 'engine_ended')),
    ],
)
async def test_frozen_process_does_not_take_others_for_lost(model_site, frozen, seconds, losses):
    processes = {'entry': model_site.entries[0], 'sidecar': model_site.sidecars['m1']}
    for _ in range(2):
        processes[frozen].freeze()
        await asyncio.sleep(seconds)
        processes[frozen].thaw()
        await asyncio.sleep(0.5)
    log = processes[frozen].read_log()
    assert [loss for loss in losses if loss in log] == []
