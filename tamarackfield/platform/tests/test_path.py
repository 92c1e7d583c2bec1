"""Requests from caller to worker: the real programs with stand-ins of the platform's store and workers."""

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, make_config, make_route, read_events, running_site
from tamarackfield.web import ClientError

ADAPTER = ('Tamarackfield-Model', 'base/a7')


async def test_plain_call_is_forwarded_unchanged(two_worker_site):
    status, headers, body = await two_worker_site.call(
        '/look/a%20b?x=1&y', 'POST', b'\x00raw', [('Tamarackfield-Request-Id', 'id-1'), ('X-Own', 'kept')]
    )
    assert status == 200
    assert headers['tamarackfield-server-signature'] == 'signed'
    assert headers['tamarackfield-request-id'] == 'id-1'
    assert body.endswith(b'ran id-1')
    run = next(run for worker in two_worker_site.workers.values() for run in worker.runs)
    assert (run.method, run.target, run.body) == ('POST', '/look/a%20b?x=1&y', b'\x00raw')
    assert run.headers['x-own'] == 'kept'
    assert run.headers['host'] == 'site.example'
    assert 0 < int(run.headers['tamarackfield-deadline-ms']) <= 20_000


async def test_system_headers_from_callers_are_not_forwarded(two_worker_site):
    system_headers = (
        'Tamarackfield-Hold',
        'Tamarackfield-Pin-Ms',
        'Tamarackfield-Kv-Backup',
        'Tamarackfield-Expect-Version',
        'Tamarackfield-Request-Priority',
        'Kv-From',
        'Kv-Fetch',
    )
    status, _, _ = await two_worker_site.call('/look/x', headers=[(name, '1') for name in system_headers])
    assert status == 200
    run = next(run for worker in two_worker_site.workers.values() for run in worker.runs)
    assert not {name.lower() for name in system_headers} & run.headers.keys()


async def test_unknown_route_gives_404_only_with_a_configuration_in_force(tmp_path):
    async with running_site(tmp_path) as site:
        site.store.fault = 'busy'
        entry = await site.add_entry(wait=False)
        await entry.wait_for_log_text('event=started')
        status, headers, _ = await site.call('/look/x')
        assert status == 503
        assert float(headers['retry-after']) > 0
        site.store.fault = ''
        await entry.wait_ready()
        status, _, _ = await site.call('/no-such-route/x')
        assert status == 404


async def test_longest_prefix_matches_and_a_new_configuration_applies_at_once(two_worker_site):
    worker = await two_worker_site.add_worker('w3', 'other')
    routes = [make_route('/look/', 'idempotent', 'ledger'), make_route('/look/deep/', 'idempotent', 'other')]
    config = make_config(2, routes)
    config['services'].append({'name': 'other', 'health_path': '/healthz', 'max_conns': 10})
    two_worker_site.store.put('op/config', config)
    await two_worker_site.entries[0].wait_for_log_text('version=2 routes')
    status, _, body = await two_worker_site.call('/look/deep/x')
    assert (status, body[:2]) == (200, b'w3')
    assert len(worker.runs) == 1
    assert (await two_worker_site.call('/file/x'))[0] == 404


async def test_adapter_is_loaded_before_its_request_is_sent(model_site):
    worker = model_site.workers['m1']
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        events = await read_events(response)
    assert [event.partition(b'\n')[0] for event in events] == [b'id: %d' % number for number in range(1, 6)]
    assert worker.refusals == []
    assert [order['adapter'] for order in worker.orders] == ['a7']


async def test_least_recently_used_adapter_is_evicted_and_slots_are_not_exceeded(model_site):
    worker = model_site.workers['m1']
    for name in ('a1', 'a2', 'a3', 'a1', 'a4', 'a5'):
        async with model_site.stream('/draft/x', [('Tamarackfield-Model', f'base/{name}')]) as response:
            await read_events(response)
    assert worker.crash_reason == ''
    assert worker.adapters.keys() == {'a1', 'a4', 'a5'}
    assert worker.refusals == []


async def test_broken_stream_that_is_not_resumable_ends_with_an_error(model_site):
    model_site.workers['m1'].cut_after_event = 2
    with pytest.raises(ClientError):
        async with model_site.stream('/draft/x', [ADAPTER, ('Tamarackfield-Request-Id', 'cut-1')]) as response:
            await read_events(response)
    assert model_site.count_runs('cut-1') == 1


async def test_resumable_stream_continues_at_another_worker(model_site):
    other = await model_site.add_worker('m2', MODEL_SERVICE)
    await model_site.add_sidecar(other)
    await model_site.wait_for_sidecars(model_site.entries[0])
    for worker in model_site.workers.values():
        worker.cut_after_event = 2
    headers = [ADAPTER, ('Tamarackfield-Request-Id', 'resume-1')]
    for _ in range(8):
        async with model_site.stream('/draft/x', [ADAPTER]) as response:
            assert response.status == 200
    async with model_site.stream('/summary/x', headers) as response:
        events = await read_events(response)
    assert [event.partition(b'\n')[0] for event in events] == [b'id: %d' % number for number in range(1, 6)]
    assert model_site.count_runs('resume-1') == 2


async def test_announced_adapter_version_is_used_by_new_requests(model_site):
    worker = model_site.workers['m1']
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        await read_events(response)
    model_site.store.put('op/version/base.a7', {'model': 'base', 'adapter': 'a7', 'version': 4})
    await model_site.entries[0].wait_for_log_text('event=adapter_version')
    async with model_site.stream('/draft/x', [ADAPTER, ('Tamarackfield-Request-Id', 'new-1')]) as response:
        await read_events(response)
    assert worker.adapters['a7'] == 4
    run = next(run for run in worker.runs if run.request_id == 'new-1')
    assert run.headers['tamarackfield-expect-version'] == '4'


async def test_base_model_is_loaded_again_after_a_worker_restart(model_site):
    worker = model_site.workers['m1']
    await worker.restart()
    model_site.write_worker_entry(worker)
    await model_site.sidecars['m1'].wait_for_log_text('order=ModelOrder')
    await model_site.entries[0].wait_for_log_text('ready=True', 2)
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        assert response.status == 200
        await read_events(response)
    assert worker.orders[-1]['adapter'] == 'a7'
