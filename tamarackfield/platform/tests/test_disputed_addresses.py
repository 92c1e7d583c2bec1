"""An entry of another writer names the address of a worker that serves under another name."""

import asyncio
from functools import partial

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, make_config, running_site
from tamarackfield.testing.processes import wait_until

ADAPTER = ('Tamarackfield-Model', 'base/a7')
#: Services that the configuration names and to which no route leads.
UNUSED_SERVICE = 'unused'
UNUSED_ENGINE_SERVICE = 'unused-drafts'


def write_ghost(site, worker, **changes):
    """Write an entry under another name, started later, with the address of a worker."""
    document = worker.make_store_entry() | {'born': worker.started_unix_ms + 1000}
    site.store.put('servers/ghost', document | changes)


@pytest.mark.parametrize('count', [1, 2])
async def test_worker_is_used_although_a_later_entry_names_its_address(tmp_path, count):
    async with running_site(tmp_path) as site:
        workers = [await site.add_worker(f'w{number}') for number in range(1, count + 1)]
        await site.add_entry()
        write_ghost(site, workers[0])
        await site.entries[0].wait_for_log_text('target=ghost')
        await asyncio.gather(*(site.call('/look/x') for _ in range(8)))
        statuses = [(await site.call('/look/x'))[0] for _ in range(12)]
        assert statuses == [200 for _ in range(12)]
        for other in workers[1:]:
            site.store.delete(f'servers/{other.name}')
            await site.entries[0].wait_for_log_text('event=target_gone')
        assert (await site.call('/look/x'))[2].startswith(b'w1 ')


async def test_engine_is_used_although_a_later_entry_names_its_address(model_site):
    write_ghost(model_site, model_site.workers['m1'], service=MODEL_SERVICE)
    await model_site.entries[0].wait_for_log_text('target=ghost')
    statuses = []
    for _ in range(8):
        async with model_site.stream('/draft/x', [ADAPTER, ('Tamarackfield-Deadline-Ms', '3000')]) as response:
            statuses.append(response.status)
            await response.read()
    assert statuses[4:] == [200, 200, 200, 200]


async def test_worker_of_a_reused_address_is_used_and_its_predecessor_is_not(one_worker_site):
    old = one_worker_site.workers['w1']
    await old.stop()
    old.name = 'w2'
    await old.restart()
    one_worker_site.store.put('servers/w2', old.make_store_entry())
    await one_worker_site.entries[0].wait_for_log_text('target=w2')
    assert [(await one_worker_site.call('/look/x'))[0] for _ in range(4)] == [200, 200, 200, 200]


#: Changes of an entry of another writer at the address of a worker, by what is odd about it.
GHOSTS = {
    'of_an_unnamed_service': {'service': 'inventory'},
    'of_a_service_without_routes': {'service': UNUSED_SERVICE},
    'of_an_engine_without_routes': {'service': UNUSED_ENGINE_SERVICE},
    'draining': {'state': 'draining'},
    'started_alike': {'born': None},
    'without_models': {'models': []},
    'at_another_port': {'address': '{host}:9'},
}


def make_config_with_unused_services():
    config = make_config()
    engine = config['services'][1]['engine']
    config['services'].append({'name': UNUSED_SERVICE, 'health_path': '/healthz', 'max_conns': 100})
    config['services'].append(
        {'name': UNUSED_ENGINE_SERVICE, 'health_path': '/healthz', 'max_conns': 9, 'engine': engine}
    )
    return config


def write_odd_ghost(site, worker, changes):
    document = worker.make_store_entry() | {'born': worker.started_unix_ms + 1000} | changes
    document['born'] = document['born'] or worker.started_unix_ms
    document['address'] = document['address'].format(host=worker.host)
    site.store.put(f'servers/z-{worker.name}', document)


async def is_look_served(site):
    return (await site.call('/look/x', headers=[('Tamarackfield-Deadline-Ms', '1000')]))[0] == 200


async def is_draft_served(site):
    headers = [ADAPTER, ('Tamarackfield-Deadline-Ms', '3000')]
    async with site.stream('/draft/x', headers) as response:
        await response.read()
        return response.status == 200


@pytest.mark.parametrize('sidecar', [True, False])
@pytest.mark.parametrize('ghost', GHOSTS)
async def test_worker_at_a_ghosts_address_serves_again_after_a_restart_of_all_processes(tmp_path, ghost, sidecar):
    # Guards against entries of other writers that take sound workers out of use for good.
    async with running_site(tmp_path, make_config_with_unused_services()) as site:
        plain = await site.add_worker('w1')
        model = await site.add_worker('m1', MODEL_SERVICE)
        model.adapters['a7'] = 1
        site.write_worker_entry(model)
        programs = [await site.add_sidecar(model)] if sidecar else []
        programs.append(await site.add_entry())
        await wait_until(partial(is_look_served, site), 'a call is served before the restart')
        await wait_until(partial(is_draft_served, site), 'a stream is served before the restart')
        for worker in (plain, model):
            write_odd_ghost(site, worker, GHOSTS[ghost])
        for program in programs:
            await program.kill()
        for program in programs:
            await program.start()
            await program.wait_ready()
        await wait_until(partial(is_look_served, site), 'a call is served after the restart')
        await wait_until(partial(is_draft_served, site), 'a stream is served after the restart')
        assert all([await is_look_served(site) for _ in range(6)])
        # A new adapter needs an order, which only the right name of the worker lets through.
        if sidecar:
            headers = [('Tamarackfield-Model', 'base/a8'), ('Tamarackfield-Deadline-Ms', '3000')]
            async with site.stream('/draft/x', headers) as response:
                assert response.status == 200
