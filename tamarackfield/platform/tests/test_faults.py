"""Promises under faults of workers, of the store and of the system's own processes."""

import asyncio
import signal

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, make_config, make_route, read_events, running_site
from tamarackfield.testing.platform_worker import WorkerFault
from tamarackfield.testing.processes import wait_until
from tamarackfield.web import ClientError

ADAPTER = ('Tamarackfield-Model', 'base/a7')


def named(request_id):
    """Return the header that names a request."""
    return [('Tamarackfield-Request-Id', request_id)]


@pytest.mark.parametrize('fault', ['reset_after_run', 'garbage', 'cut', 'unframed_reset', 'unsigned', 'encoded'])
async def test_call_that_may_have_run_is_neither_repeated_nor_called_not_run(two, fault):
    for worker in two.workers.values():
        worker.fault = WorkerFault(fault, 1)
    status, headers, _ = await two.call('/file/x', 'POST', b'{}', named('once'))
    assert status == 502
    assert 'retry-after' not in headers
    assert two.count_runs('once') == 1


async def test_failure_of_a_worker_is_passed_on_unchanged_if_nothing_else_may_run(two):
    for worker in two.workers.values():
        worker.fault = WorkerFault('errors', 1)
    status, headers, body = await two.call('/file/x', 'POST', b'{}', named('fails'))
    assert (status, headers['tamarackfield-server-signature']) == (500, 'signed')
    assert body == b'{"error": "failed"}'
    assert two.count_runs('fails') == 1


@pytest.mark.parametrize('fault', ['errors', 'reset_after_run', 'garbage', 'cut'])
async def test_repeatable_call_is_tried_at_another_worker(two, fault):
    for _ in range(12):
        assert (await two.call('/look/earn'))[0] == 200
    for worker in two.workers.values():
        worker.fault = WorkerFault(fault, 1)
    first = next(iter(two.workers.values()))
    first.fault = WorkerFault()
    for number in range(4):
        assert (await two.call('/look/x', headers=named(f'again-{number}')))[0] == 200


async def test_refusal_of_a_worker_is_told_as_not_run_with_a_time_to_come_back(one):
    one.workers['w1'].fault = WorkerFault('shed', 5)
    status, headers, body = await one.call('/file/x', 'POST', b'{}', named('shed'))
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert body.startswith(b'not_run')
    assert one.count_runs('shed') == 0


async def test_answer_of_an_earlier_request_is_passed_over(one):
    one.workers['w1'].fault = WorkerFault('extra', 1)
    status, headers, body = await one.call('/file/x', 'POST', b'{}', named('mine'))
    assert (status, headers['tamarackfield-request-id']) == (200, 'mine')
    assert body.endswith(b'ran mine')


async def test_unframed_answer_that_ends_cleanly_is_whole(one):
    one.workers['w1'].fault = WorkerFault('unframed', 1)
    status, _, body = await one.call('/file/x', 'POST', b'{}', named('unframed'))
    assert (status, body) == (200, b'w1 ran unframed')


async def test_silent_worker_ends_in_an_answer_at_the_time_of_the_route(tmp_path):
    routes = [make_route('/file/', 'non_idempotent', 'ledger', timeout_ms=300, max_attempts=1)]
    async with running_site(tmp_path, make_config(1, routes)) as site:
        worker = await site.add_worker('w1')
        worker.fault = WorkerFault('hang', 1)
        await site.add_entry()
        status, _, _ = await site.call(
            '/file/x', 'POST', b'{}', [*named('slow'), ('Tamarackfield-Deadline-Ms', '60000')]
        )
        assert status == 504
        run = worker.runs[0]
        assert int(run.headers['tamarackfield-deadline-ms']) <= 300


async def test_address_of_another_worker_runs_nothing(one):
    worker = one.workers['w1']
    worker.name = 'someone-else'
    status, _, _ = await one.call('/file/x', 'POST', b'{}', named('moved'))
    assert status == 503
    assert worker.runs == []


async def test_leaving_worker_gets_nothing_new(two):
    leaving = two.workers['w1']
    leaving.state = 'draining'
    two.write_worker_entry(leaving)
    await two.entries[0].wait_for_log_text('event=target_leaving')
    before = len(leaving.runs)
    for _ in range(6):
        assert (await two.call('/look/x'))[0] == 200
    assert len(leaving.runs) == before


async def test_unreadable_entries_name_no_worker_and_disturb_no_other(one):
    one.store.put('servers/w9', b'\xff\xfe not json')
    one.store.put('servers/w8', {'service': 'ledger', 'address': 7, 'state': 'ready', 'zone': 'zone-a', 'born': 1})
    one.store.put('servers/w7', {**one.workers['w1'].make_store_entry(), 'born': 1.5})
    one.store.put('servers/w6', {**one.workers['w1'].make_store_entry(), 'state': 'unheard-of'})
    one.store.put('op/other', b'[]')
    await one.entries[0].wait_for_log_text('event=item_passed_over')
    assert (await one.call('/look/x'))[0] == 200


async def test_worker_stops_when_its_client_leaves(model):
    worker = model.workers['m1']
    worker.event_count = 10_000
    async with model.stream('/draft/x', [ADAPTER, *named('left'), ('Tamarackfield-Deadline-Ms', '60000')]) as response:
        await anext(response.chunks())
        assert 'left' in worker.running

    async def stopped():
        return 'left' not in worker.running

    await wait_until(stopped, 'the worker sees the client leave')


async def test_stop_finishes_what_runs_and_exits_with_zero(model):
    model.workers['m1'].event_interval_seconds = 0.3
    async with model.stream('/draft/x', [ADAPTER]) as response:
        chunks = response.chunks()
        first = await anext(chunks)
        model.entries[0].send_signal(signal.SIGTERM)
        await model.entries[0].wait_for_log_text('event=draining')
        rest = b''.join([chunk async for chunk in chunks])
    assert (first + rest).count(b'id: ') == 5
    assert await model.entries[0].terminate() == 0


async def test_hangup_cuts_nothing(model):
    model.workers['m1'].event_interval_seconds = 0.05
    async with model.stream('/draft/x', [ADAPTER]) as response:
        chunks = response.chunks()
        first = await anext(chunks)
        for process in (model.entries[0], model.sidecars['m1']):
            process.send_signal(signal.SIGHUP)
            await process.wait_for_log_text('event=settings_reloaded')
        rest = b''.join([chunk async for chunk in chunks])
    assert (first + rest).count(b'id: ') == 5


async def test_requests_go_on_while_the_store_is_away(two):
    two.store.fault = 'silent'
    await two.entries[0].wait_for_log_text('event=store_lost')
    for _ in range(4):
        assert (await two.call('/look/x'))[0] == 200
    two.store.fault = ''
    await two.entries[0].wait_for_log_text('event=store_regained')


async def test_entry_that_starts_while_the_store_is_away_asks_its_peers(two):
    two.store.fault = 'reset'
    await two.entries[0].wait_for_log_text('event=store_lost')
    await two.add_entry()
    assert (await two.call('/look/x', entry=1))[0] == 200
    assert (await two.call('/nowhere/x', entry=1))[0] == 404


async def test_lost_history_is_read_anew(two):
    two.store.compact()
    two.store.put('op/config', make_config(9, [make_route('/newer/', 'idempotent', 'ledger')]))
    await two.entries[0].wait_for_log_text('version=9 routes')
    assert (await two.call('/newer/x'))[0] == 200


async def test_worker_that_lapsed_while_the_store_was_away_stays_in_use(two):
    two.store.fault = 'busy'
    await two.entries[0].wait_for_log_text('event=store_lost')
    two.store.expire_leases('servers/')
    two.store.fault = ''
    await two.entries[0].wait_for_log_text('event=target_vanished', 2)
    assert (await two.call('/look/x'))[0] == 200
    for worker in two.workers.values():
        two.write_worker_entry(worker)
    await two.entries[0].wait_for_log_text('event=store_regained')
    assert (await two.call('/look/x'))[0] == 200


async def test_without_its_sidecar_a_worker_serves_what_it_holds(model):
    async with model.stream('/draft/x', [ADAPTER]) as response:
        await read_events(response)
    worker = model.workers['m1']
    model.write_worker_entry(worker)
    await model.sidecars['m1'].kill()
    await model.entries[0].wait_for_log_text('event=sidecar_lost')
    async with model.stream('/draft/x', [ADAPTER]) as response:
        assert response.status == 200
        assert len(await read_events(response)) == 5
    async with model.stream('/draft/x', [('Tamarackfield-Model', 'base/a8')]) as response:
        assert response.status == 503
    assert len(worker.orders) == 1


async def test_frozen_sidecar_does_not_hold_requests(model):
    other = await model.add_worker('m2', MODEL_SERVICE)
    await model.add_sidecar(other)
    await model.entries[0].wait_for_log_text('ready=True', 2)
    model.sidecars['m1'].send_signal(signal.SIGSTOP)
    try:
        for number in range(6):
            async with model.stream('/draft/x', [('Tamarackfield-Model', f'base/b{number}')]) as response:
                assert response.status == 200
                await read_events(response)
    finally:
        model.sidecars['m1'].send_signal(signal.SIGCONT)
    assert len(other.runs) == 6


async def test_restarted_sidecar_takes_over_with_a_fencing_number_not_below_the_last(model):
    async with model.stream('/draft/x', [ADAPTER]) as response:
        await read_events(response)
    await model.sidecars['m1'].kill()
    await model.add_sidecar(model.workers['m1'])
    await model.entries[0].wait_for_log_text('ready=True', 2)
    async with model.stream('/draft/x', [('Tamarackfield-Model', 'base/a8')]) as response:
        assert response.status == 200
        await read_events(response)
    fences = [order['fencing_token'] for order in model.workers['m1'].orders]
    assert fences == sorted(fences)


async def test_adapter_that_does_not_exist_is_refused_and_others_are_served(model):
    async with model.stream('/draft/x', [('Tamarackfield-Model', 'base/no-such')]) as response:
        assert response.status == 503
    async with model.stream('/draft/x', [ADAPTER]) as response:
        assert response.status == 200
        await read_events(response)


async def test_two_answers_on_kept_connections_are_never_crossed(two):
    answers = await asyncio.gather(*(two.call('/look/x', headers=named(f'n-{number}')) for number in range(40)))
    for number, (status, headers, body) in enumerate(answers):
        assert (status, headers['tamarackfield-request-id']) == (200, f'n-{number}')
        assert body.endswith(f'ran n-{number}'.encode())


async def test_bad_settings_name_every_error(tmp_path):
    async with running_site(tmp_path) as site:
        entry = await site.add_entry()
        await entry.kill()
        entry.settings |= {'provider': {}, 'port_range': [], 'zone': ''}
        await entry.start()
        assert await entry.process.wait() == 2
        line = entry.read_log().splitlines()[-1]
    assert 'bad settings' in line
    assert '$.provider.address' in line


async def test_cut_stream_is_not_passed_on_as_whole(model):
    model.workers['m1'].cut_after_event = 1
    with pytest.raises(ClientError):
        async with model.stream('/draft/x', [ADAPTER]) as response:
            await read_events(response)


async def test_entry_that_does_not_keep_up_sheds_callers_until_it_does(one):
    entry = one.entries[0]
    while 'event=overload' not in entry.read_log():
        entry.freeze()
        await asyncio.sleep(0.6)
        entry.thaw()
        await asyncio.sleep(0.05)
    assert await ask_ready(entry) == b'HTTP/1.1 503'
    status, _, _ = await one.call('/look/x')
    assert status == 200
    await entry.wait_for_log_text('shedding=False')
    assert await ask_ready(entry) == b'HTTP/1.1 200'


async def ask_ready(entry):
    """Return the first bytes of what an entry answers to the balancer."""
    port, path = entry.health
    reader, writer = await asyncio.open_connection(entry.host, port)
    writer.write(f'GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'.encode())
    answer = await reader.read()
    writer.close()
    return answer[:12]
