"""Behavior of the real programs under faults of workers, of the store and of the system's own processes."""

import asyncio
import signal

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, make_config, make_route, read_events, running_site
from tamarackfield.testing.platform_worker import WorkerFault
from tamarackfield.testing.processes import wait_until
from tamarackfield.web import ClientError

ADAPTER = ('Tamarackfield-Model', 'base/a7')


def request_id_header(request_id):
    """Return the header with a request id."""
    return [('Tamarackfield-Request-Id', request_id)]


@pytest.mark.parametrize('fault', ['reset_after_run', 'garbage', 'cut', 'unframed_reset', 'unsigned', 'encoded'])
async def test_call_that_may_have_run_is_not_retried_or_reported_as_not_run(two_worker_site, fault):
    for worker in two_worker_site.workers.values():
        worker.fault = WorkerFault(fault, 1)
    status, headers, _ = await two_worker_site.call('/file/x', 'POST', b'{}', request_id_header('once'))
    assert status == 502
    assert 'retry-after' not in headers
    assert two_worker_site.count_runs('once') == 1


async def test_worker_error_is_forwarded_unchanged_if_a_retry_is_not_allowed(two_worker_site):
    for worker in two_worker_site.workers.values():
        worker.fault = WorkerFault('errors', 1)
    status, headers, body = await two_worker_site.call('/file/x', 'POST', b'{}', request_id_header('fails'))
    assert (status, headers['tamarackfield-server-signature']) == (500, 'signed')
    assert body == b'{"error": "failed"}'
    assert two_worker_site.count_runs('fails') == 1


@pytest.mark.parametrize('fault', ['errors', 'reset_after_run', 'garbage', 'cut'])
async def test_idempotent_call_is_retried_at_another_worker(two_worker_site, fault):
    for _ in range(12):
        assert (await two_worker_site.call('/look/earn'))[0] == 200
    for worker in two_worker_site.workers.values():
        worker.fault = WorkerFault(fault, 1)
    healthy_worker = next(iter(two_worker_site.workers.values()))
    healthy_worker.fault = WorkerFault()
    for number in range(4):
        assert (await two_worker_site.call('/look/x', headers=request_id_header(f'again-{number}')))[0] == 200


async def test_refusal_by_a_worker_is_reported_as_not_run_with_retry_after(one_worker_site):
    one_worker_site.workers['w1'].fault = WorkerFault('shed', 5)
    status, headers, body = await one_worker_site.call('/file/x', 'POST', b'{}', request_id_header('shed'))
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert body.startswith(b'not_run')
    assert one_worker_site.count_runs('shed') == 0


async def test_answer_with_the_id_of_another_request_is_discarded(one_worker_site):
    one_worker_site.workers['w1'].fault = WorkerFault('extra', 1)
    status, headers, body = await one_worker_site.call('/file/x', 'POST', b'{}', request_id_header('mine'))
    assert (status, headers['tamarackfield-request-id']) == (200, 'mine')
    assert body.endswith(b'ran mine')


async def test_unframed_answer_that_ends_cleanly_is_complete(one_worker_site):
    one_worker_site.workers['w1'].fault = WorkerFault('unframed', 1)
    status, _, body = await one_worker_site.call('/file/x', 'POST', b'{}', request_id_header('unframed'))
    assert (status, body) == (200, b'w1 ran unframed')


async def test_hung_worker_gives_504_at_the_time_out_of_the_route(tmp_path):
    routes = [make_route('/file/', 'non_idempotent', 'ledger', timeout_ms=300, max_attempts=1)]
    async with running_site(tmp_path, make_config(1, routes)) as site:
        worker = await site.add_worker('w1')
        worker.fault = WorkerFault('hang', 1)
        await site.add_entry()
        status, _, _ = await site.call(
            '/file/x', 'POST', b'{}', [*request_id_header('slow'), ('Tamarackfield-Deadline-Ms', '60000')]
        )
        assert status == 504
        run = worker.runs[0]
        assert int(run.headers['tamarackfield-deadline-ms']) <= 300


async def test_request_does_not_run_at_another_worker_with_the_same_address(one_worker_site):
    worker = one_worker_site.workers['w1']
    worker.name = 'someone-else'
    status, _, _ = await one_worker_site.call('/file/x', 'POST', b'{}', request_id_header('moved'))
    assert status == 503
    assert worker.runs == []


async def test_draining_worker_receives_no_new_requests(two_worker_site):
    draining_worker = two_worker_site.workers['w1']
    draining_worker.state = 'draining'
    two_worker_site.write_worker_entry(draining_worker)
    await two_worker_site.entries[0].wait_for_log_text('event=target_leaving')
    runs_before = len(draining_worker.runs)
    for _ in range(6):
        assert (await two_worker_site.call('/look/x'))[0] == 200
    assert len(draining_worker.runs) == runs_before


async def test_malformed_entries_add_no_worker_and_do_not_affect_others(one_worker_site):
    one_worker_site.store.put('servers/w9', b'\xff\xfe not json')
    one_worker_site.store.put(
        'servers/w8', {'service': 'ledger', 'address': 7, 'state': 'ready', 'zone': 'zone-a', 'born': 1}
    )
    one_worker_site.store.put('servers/w7', {**one_worker_site.workers['w1'].make_store_entry(), 'born': 1.5})
    one_worker_site.store.put('servers/w6', {**one_worker_site.workers['w1'].make_store_entry(), 'state': 'unheard-of'})
    one_worker_site.store.put('op/other', b'[]')
    await one_worker_site.entries[0].wait_for_log_text('event=item_passed_over')
    assert (await one_worker_site.call('/look/x'))[0] == 200


async def test_request_is_cancelled_at_the_worker_when_its_caller_disconnects(model_site):
    worker = model_site.workers['m1']
    worker.event_count = 10_000
    async with model_site.stream(
        '/draft/x', [ADAPTER, *request_id_header('left'), ('Tamarackfield-Deadline-Ms', '60000')]
    ) as response:
        await anext(response.chunks())
        assert 'left' in worker.running

    async def stopped():
        return 'left' not in worker.running

    await wait_until(stopped, 'the worker stops the request of the disconnected caller')


async def test_sigterm_drains_running_streams_and_exits_with_zero(model_site):
    model_site.workers['m1'].event_interval_seconds = 0.3
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        chunks = response.chunks()
        first_chunk = await anext(chunks)
        model_site.entries[0].send_signal(signal.SIGTERM)
        await model_site.entries[0].wait_for_log_text('event=draining')
        remaining_chunks = b''.join([chunk async for chunk in chunks])
    assert (first_chunk + remaining_chunks).count(b'id: ') == 5
    assert await model_site.entries[0].terminate() == 0


async def test_sighup_does_not_cut_running_streams(model_site):
    model_site.workers['m1'].event_interval_seconds = 0.05
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        chunks = response.chunks()
        first_chunk = await anext(chunks)
        for process in (model_site.entries[0], model_site.sidecars['m1']):
            process.send_signal(signal.SIGHUP)
            await process.wait_for_log_text('event=settings_reloaded')
        remaining_chunks = b''.join([chunk async for chunk in chunks])
    assert (first_chunk + remaining_chunks).count(b'id: ') == 5


async def test_requests_are_served_while_the_store_is_unreachable(two_worker_site):
    two_worker_site.store.fault = 'silent'
    await two_worker_site.entries[0].wait_for_log_text('event=store_lost')
    for _ in range(4):
        assert (await two_worker_site.call('/look/x'))[0] == 200
    two_worker_site.store.fault = ''
    await two_worker_site.entries[0].wait_for_log_text('event=store_regained')


async def test_entry_started_while_the_store_is_unreachable_reads_items_from_peers(two_worker_site):
    two_worker_site.store.fault = 'reset'
    await two_worker_site.entries[0].wait_for_log_text('event=store_lost')
    await two_worker_site.add_entry()
    assert (await two_worker_site.call('/look/x', entry=1))[0] == 200
    assert (await two_worker_site.call('/nowhere/x', entry=1))[0] == 404


async def test_items_are_read_again_after_the_store_compacted_its_history(two_worker_site):
    two_worker_site.store.compact()
    two_worker_site.store.put('op/config', make_config(9, [make_route('/newer/', 'idempotent', 'ledger')]))
    await two_worker_site.entries[0].wait_for_log_text('version=9 routes')
    assert (await two_worker_site.call('/newer/x'))[0] == 200


async def test_worker_whose_item_expired_in_a_store_outage_stays_in_use(two_worker_site):
    two_worker_site.store.fault = 'busy'
    await two_worker_site.entries[0].wait_for_log_text('event=store_lost')
    two_worker_site.store.expire_leases('servers/')
    two_worker_site.store.fault = ''
    await two_worker_site.entries[0].wait_for_log_text('event=target_vanished', 2)
    assert (await two_worker_site.call('/look/x'))[0] == 200
    for worker in two_worker_site.workers.values():
        two_worker_site.write_worker_entry(worker)
    await two_worker_site.entries[0].wait_for_log_text('event=store_regained')
    assert (await two_worker_site.call('/look/x'))[0] == 200


async def test_worker_without_its_sidecar_serves_only_resident_adapters(model_site):
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        await read_events(response)
    worker = model_site.workers['m1']
    model_site.write_worker_entry(worker)
    await model_site.sidecars['m1'].kill()
    await model_site.entries[0].wait_for_log_text('event=sidecar_lost')
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        assert response.status == 200
        assert len(await read_events(response)) == 5
    async with model_site.stream('/draft/x', [('Tamarackfield-Model', 'base/a8')]) as response:
        assert response.status == 503
    assert len(worker.orders) == 1


async def test_requests_use_another_worker_while_a_sidecar_is_frozen(model_site):
    other = await model_site.add_worker('m2', MODEL_SERVICE)
    await model_site.add_sidecar(other)
    await model_site.entries[0].wait_for_log_text('ready=True', 2)
    model_site.sidecars['m1'].send_signal(signal.SIGSTOP)
    try:
        for number in range(6):
            async with model_site.stream('/draft/x', [('Tamarackfield-Model', f'base/b{number}')]) as response:
                assert response.status == 200
                await read_events(response)
    finally:
        model_site.sidecars['m1'].send_signal(signal.SIGCONT)
    assert len(other.runs) == 6


async def test_restarted_sidecar_uses_a_fencing_token_not_below_the_last(model_site):
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        await read_events(response)
    await model_site.sidecars['m1'].kill()
    await model_site.add_sidecar(model_site.workers['m1'])
    await model_site.entries[0].wait_for_log_text('ready=True', 2)
    async with model_site.stream('/draft/x', [('Tamarackfield-Model', 'base/a8')]) as response:
        assert response.status == 200
        await read_events(response)
    fencing_tokens = [order['fencing_token'] for order in model_site.workers['m1'].orders]
    assert fencing_tokens == sorted(fencing_tokens)


async def test_unknown_adapter_is_refused_and_others_are_served(model_site):
    async with model_site.stream('/draft/x', [('Tamarackfield-Model', 'base/no-such')]) as response:
        assert response.status == 503
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        assert response.status == 200
        await read_events(response)


async def test_answers_on_reused_connections_are_not_swapped(two_worker_site):
    answers = await asyncio.gather(
        *(two_worker_site.call('/look/x', headers=request_id_header(f'n-{number}')) for number in range(40))
    )
    for number, (status, headers, body) in enumerate(answers):
        assert (status, headers['tamarackfield-request-id']) == (200, f'n-{number}')
        assert body.endswith(f'ran n-{number}'.encode())


async def test_invalid_settings_are_reported_with_their_json_paths(tmp_path):
    async with running_site(tmp_path) as site:
        entry = await site.add_entry()
        await entry.kill()
        entry.settings |= {'provider': {}, 'port_range': [], 'zone': ''}
        await entry.start()
        assert await entry.process.wait() == 2
        line = entry.read_log().splitlines()[-1]
    assert 'bad settings' in line
    assert '$.provider.address' in line


async def test_truncated_stream_is_not_forwarded_as_complete(model_site):
    model_site.workers['m1'].cut_after_event = 1
    with pytest.raises(ClientError):
        async with model_site.stream('/draft/x', [ADAPTER]) as response:
            await read_events(response)


@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
@pytest.mark.parametrize('fault', ['cut', 'unframed_cut', 'unframed_reset'])
async def test_stream_that_breaks_off_is_not_forwarded_as_complete(model_site, fault, path):
    model_site.workers['m1'].fault = WorkerFault(fault, 1)
    with pytest.raises(ClientError):
        async with model_site.stream(path, [ADAPTER]) as response:
            await read_events(response)


@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
async def test_unframed_stream_that_ends_between_events_is_complete(model_site, path):
    model_site.workers['m1'].fault = WorkerFault('unframed', 1)
    async with model_site.stream(path, [ADAPTER]) as response:
        assert len(await read_events(response)) == 5


@pytest.mark.parametrize('sidecar_responds', [True, False])
@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
async def test_unframed_stream_whose_worker_crashes_between_events_is_not_forwarded_as_complete(
    model_site, path, sidecar_responds
):
    async with model_site.stream(path, [ADAPTER]) as first_response:
        assert len(await read_events(first_response)) == 5
    if not sidecar_responds:
        model_site.write_worker_entry(model_site.workers['m1'])
        await model_site.sidecars['m1'].kill()
        await model_site.entries[0].wait_for_log_text('event=sidecar_lost')
    model_site.workers['m1'].fault = WorkerFault('unframed_crash', 1)
    with pytest.raises(ClientError):
        async with model_site.stream(path, [ADAPTER]) as response:
            await read_events(response)
    assert model_site.workers['m1'].is_crashed()


async def test_unframed_stream_whose_worker_crashes_between_events_is_resumed(model_site):
    second_worker = await model_site.add_worker('m2', MODEL_SERVICE)
    await model_site.add_sidecar(second_worker)
    await model_site.wait_for_sidecars(model_site.entries[0])
    # Earlier requests fill the retry budget.
    for _ in range(8):
        async with model_site.stream('/draft/x', [ADAPTER]) as earlier_response:
            assert len(await read_events(earlier_response)) == 5
    fault = WorkerFault('unframed_crash', 1)
    for worker in model_site.workers.values():
        worker.fault = fault
    async with model_site.stream('/summary/x', [ADAPTER]) as response:
        assert len(await read_events(response)) == 5
    assert sum(worker.is_crashed() for worker in model_site.workers.values()) == 1


async def test_unframed_stream_without_any_event_is_not_forwarded_as_complete(model_site):
    worker = model_site.workers['m1']
    worker.event_count = 0
    worker.fault = WorkerFault('unframed', 1)
    with pytest.raises(ClientError):
        async with model_site.stream('/draft/x', [ADAPTER]) as response:
            await read_events(response)
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        assert await read_events(response) == []


@pytest.mark.parametrize('path', ['/draft/x', '/summary/x'])
async def test_event_without_end_ends_the_stream(model_site, path):
    model_site.workers['m1'].fault = WorkerFault('endless_body', 1)
    with pytest.raises(ClientError):
        async with model_site.stream(path, [ADAPTER, ('Tamarackfield-Deadline-Ms', '60000')]) as response:
            await read_events(response)
    assert 'event is too large' in model_site.entries[0].read_log()


@pytest.mark.parametrize('fault', ['endless_head', 'endless_body'])
async def test_answer_without_end_gives_502(one_worker_site, fault):
    one_worker_site.workers['w1'].fault = WorkerFault(fault, 1)
    status, _, _ = await one_worker_site.call('/file/x', 'POST', b'{}')
    assert status == 502


async def test_overloaded_entry_sheds_callers_until_it_recovers(one_worker_site):
    entry = one_worker_site.entries[0]
    while 'event=overload' not in entry.read_log():
        entry.freeze()
        await asyncio.sleep(0.6)
        entry.thaw()
        await asyncio.sleep(0.05)
    assert await fetch_readiness(entry) == b'HTTP/1.1 503'
    status, _, _ = await one_worker_site.call('/look/x')
    assert status == 200
    await entry.wait_for_log_text('shedding=False')
    assert await fetch_readiness(entry) == b'HTTP/1.1 200'


async def fetch_readiness(entry):
    """Return the HTTP version and status of an entry's answer to the readiness check."""
    port, path = entry.health
    reader, writer = await asyncio.open_connection(entry.host, port)
    writer.write(f'GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'.encode())
    answer = await reader.read()
    writer.close()
    return answer[:12]
