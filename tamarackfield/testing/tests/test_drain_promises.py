"""Promises 6 and 7: a draining target gets no new requests; a graceful shutdown interrupts no request."""

import asyncio
import contextlib
import itertools

import pytest

from tamarackfield.testing.calls import expected_text, request_completion, retry_completion
from tamarackfield.testing.cluster import OPERATOR_TOKEN, Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import HOST, wait_until
from tamarackfield.web import ClientError, fetch

FIRST = 'draft@v1'
SECOND = 'draft@v2'


@pytest.fixture
async def cluster(tmp_path):
    """Run two entries and two engines."""
    targets = [TargetSpec(f'engine-{index}', proxied=True, options={'step_ms': 2}) for index in (1, 2)]
    async with Cluster(tmp_path, targets, entries=2, bundle=make_bundle(('clinic',), (FIRST, SECOND))) as running:
        yield running


async def count_runs(cluster, engine):
    """Return the number of requests that an engine ran."""
    return len((await cluster.control(engine))['ran'])


async def drain(cluster, name):
    """Request a drain as the operator does."""
    headers = [('Authorization', f'Bearer {OPERATOR_TOKEN}')]
    status, _, _ = await fetch((HOST, cluster.ports[f'{name}-operations']), 'POST', '/drain', b'', headers)
    assert status == 200


async def check_serves(cluster, calls):
    """Send calls through the entries in turn and check every answer."""
    entries_and_models = itertools.cycle(itertools.product(cluster.entry_names, (FIRST, SECOND)))
    for entry, model in itertools.islice(entries_and_models, calls):
        answer = await request_completion(cluster.ports[entry], model)
        assert (answer.text, answer.is_complete) == (expected_text(model, 3), True), answer


async def test_target_drained_by_an_operator_gets_no_new_requests(cluster):
    await check_serves(cluster, 4)
    await drain(cluster, 'engine-1-sidecar')
    ran = await count_runs(cluster, 'engine-1')
    await check_serves(cluster, 12)
    assert await count_runs(cluster, 'engine-1') == ran


async def test_partitioned_entry_with_a_stale_drain_state_is_refused(cluster):
    await check_serves(cluster, 4)
    await cluster.control('engine-1-proxy', mode='freeze_down')
    await drain(cluster, 'engine-1-sidecar')
    ran = await count_runs(cluster, 'engine-1')
    await check_serves(cluster, 8)
    await cluster.control('engine-1-proxy', mode='pass')
    await check_serves(cluster, 4)
    assert await count_runs(cluster, 'engine-1') == ran


async def test_terminated_sidecar_finishes_running_requests_and_accepts_no_new_ones(cluster):
    calls = [
        asyncio.create_task(request_completion(cluster.ports[entry], model, 300, stream=stream))
        for entry, model, stream in itertools.product(cluster.entry_names, (FIRST, SECOND), (True, False))
    ]

    async def all_calls_run():
        return sum([await count_runs(cluster, engine) for engine in ('engine-1', 'engine-2')]) == len(calls)

    await wait_until(all_calls_run, 'every call runs')
    stopping = asyncio.create_task(cluster.processes['engine-1-sidecar'].terminate())
    await check_serves(cluster, 8)
    assert all([(await call).is_complete for call in calls])
    assert await stopping == 0


async def test_flapping_target_gets_requests_only_while_it_is_live(cluster):
    for _ in range(2):
        await drain(cluster, 'engine-1-sidecar')
        ran = await count_runs(cluster, 'engine-1')
        await check_serves(cluster, 6)
        assert await count_runs(cluster, 'engine-1') == ran
        await cluster.processes['engine-1-sidecar'].terminate()
        await cluster.start_process('engine-1-sidecar')
        await cluster.wait_until_targets_usable()
    await check_serves(cluster, 4)


async def is_ready(cluster, entry):
    """Return whether an entry reports readiness to the platform's load balancer."""
    with contextlib.suppress(ClientError):
        status, _, _ = await fetch((HOST, cluster.ports[entry]), 'GET', '/readyz')
        return status == 200
    return False


async def send_steadily(cluster, stopped, answers, model):
    """Send calls to the ready entries in turn until ``stopped`` is set."""
    for entry, stream in itertools.cycle(itertools.product(cluster.entry_names, (True, False))):
        if stopped.is_set():
            return
        if await is_ready(cluster, entry):
            answers.append((model, await request_completion(cluster.ports[entry], model, 60, stream=stream)))


async def test_rolling_restart_under_steady_load_interrupts_no_request(cluster):
    stopped = asyncio.Event()
    answers = []
    senders = [
        asyncio.create_task(send_steadily(cluster, stopped, answers, model))
        for model in (FIRST, SECOND)
        for _ in range(3)
    ]
    for name in ('engine-1-sidecar', 'engine-2-sidecar', *cluster.entry_names):
        assert await cluster.processes[name].terminate() == 0
        await cluster.start_process(name)
        await cluster.wait_until_targets_usable()
    stopped.set()
    await asyncio.gather(*senders)
    wrong_answers = [
        answer for model, answer in answers if answer.text != expected_text(model, 60) or not answer.is_complete
    ]
    assert wrong_answers == []
    assert len(answers) > len(senders)


async def test_calls_during_the_restart_of_the_only_sidecar_wait_or_are_not_run(cluster):
    await cluster.processes['engine-2-sidecar'].terminate()
    stopping = asyncio.create_task(cluster.processes['engine-1-sidecar'].terminate())
    port = cluster.ports['entry-1']
    answers = await asyncio.gather(*(request_completion(port, FIRST, 2, seconds=2) for _ in range(6)))
    assert {answer.outcome for answer in answers} <= {'not_run', ''}
    assert all(answer.is_complete or answer.outcome == 'not_run' for answer in answers)
    assert await stopping == 0
    await cluster.start_process('engine-1-sidecar')
    assert (await retry_completion(port, FIRST)).is_complete


async def test_target_removed_and_added_again_by_bundles_is_used(cluster):
    entry = cluster.document['targets'].pop('engine-1')
    await cluster.publish()

    async def has_drain_reason(draining):
        return (await cluster.read_status('engine-1-sidecar'))['draining'] == draining

    await wait_until(lambda: has_drain_reason('removed from the bundle'), 'the sidecar drains')
    cluster.document['targets']['engine-1'] = entry
    await cluster.publish()
    await wait_until(lambda: has_drain_reason(''), 'the sidecar accepts requests again')
    await cluster.wait_until_targets_usable()
    await check_serves(cluster, 4)


async def test_idle_connections_get_connection_close_while_an_entry_drains(tmp_path):
    cluster = Cluster(tmp_path, [TargetSpec('engine-1')], entries=1, bundle=make_bundle(('clinic',), (FIRST,)))
    entry = cluster.processes['entry-1']
    entry.settings['drain_seconds'] = 5
    request = b'GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-clinic\r\n\r\n'
    async with cluster:
        reader, writer = await asyncio.open_connection(HOST, cluster.ports['entry-1'])
        writer.write(request)
        head = await reader.readuntil(b'\r\n\r\n')
        assert b'connection: close' not in head.lower()
        length = int(head.lower().partition(b'content-length: ')[2].partition(b'\r\n')[0])
        await reader.readexactly(length)
        entry.process.terminate()

        async def is_draining():
            return (await cluster.read_status('entry-1'))['draining']

        await wait_until(is_draining, 'the entry drains')
        writer.write(request)
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 200')
        assert b'\r\nconnection: close\r\n' in answer.lower()
        writer.close()


async def test_target_leaving_only_by_the_lagging_instance_list_gets_no_new_requests(tmp_path):
    targets = [TargetSpec(f'engine-{index}', options={'step_ms': 2}) for index in (1, 2)]
    cluster = Cluster(tmp_path, targets, entries=2, bundle=make_bundle(('clinic',), (FIRST, SECOND)))
    cluster.add_standin('instances', 'instances', {'lag': 0.5})
    for entry in cluster.entry_names:
        cluster.processes[entry].settings['instance_list'] = [f'{HOST}:{cluster.ports["instances"]}']

    async def all_have_written_off():
        statuses = [await cluster.read_status(entry) for entry in cluster.entry_names]
        return all(status['written_off'] == ['engine-1'] for status in statuses)

    async with cluster:
        await check_serves(cluster, 4)
        listed = {'engine-1': {'address': cluster.document['targets']['engine-1']['address'], 'state': 'leaving'}}
        await cluster.control('instances', instances=listed)
        await wait_until(all_have_written_off, 'both entries have applied the list')
        ran = await count_runs(cluster, 'engine-1')
        await check_serves(cluster, 8)
        assert await count_runs(cluster, 'engine-1') == ran


async def test_entry_is_ready_only_when_it_can_route(tmp_path):
    targets = [TargetSpec('engine-1', proxied=True)]
    cluster = Cluster(tmp_path, targets, entries=1, bundle=make_bundle(('clinic',), (FIRST,)))
    async with cluster:
        await cluster.control('engine-1-proxy', delay=0.3)
        await cluster.restart('entry-1')
        assert (await request_completion(cluster.ports['entry-1'], FIRST)).is_complete
