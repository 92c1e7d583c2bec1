"""Promises 1 and 2: the requested adapter version serves each request and is not evicted while it runs."""

import asyncio
import functools

import pytest

from tamarackfield.testing.calls import expected_text, is_correct_answer, request_completion, retry_completion
from tamarackfield.testing.cluster import Cluster, TargetSpec, address, make_bundle
from tamarackfield.testing.processes import wait_until
from tamarackfield.wire.stream import HEARTBEAT_INTERVAL_SECONDS, SILENCE_TIMEOUT_SECONDS

FIRST = 'draft@v1'
SECOND = 'draft@v2'
THIRD = 'summary@v1'
ADAPTERS = (FIRST, SECOND, THIRD)
WITH_AND_WITHOUT_FENCING = pytest.mark.parametrize('fencing', [True, False], ids=['fencing', 'ignoring'])


def make_cluster(directory, **options):
    """Configure one entry and one engine behind a fault proxy."""
    target = TargetSpec('engine-1', engine_proxied=True, options={'slots': 1, 'fencing': True, **options})
    return Cluster(directory, [target], entries=1, bundle=make_bundle(('clinic',), ADAPTERS))


async def wait_engine_counter(cluster, name, minimum):
    """Wait until a counter of the engine's control page reaches a value."""

    async def has_reached():
        return (await cluster.control('engine-1'))[name] >= minimum

    await wait_until(has_reached, f'engine shows {name} >= {minimum}')


async def is_queue_empty(cluster):
    """Return whether the queue of the sidecar is empty."""
    return not (await cluster.read_status('engine-1-sidecar'))['queued']


async def wait_bundle(cluster, name, number):
    """Wait until a bundle is in force in a process."""

    async def has_bundle():
        return (await cluster.read_status(name))['bundle'] == number

    await wait_until(has_bundle, f'{name} applies bundle {number}')


async def cut_engine_connections(cluster):
    """Cut all connections between the sidecar and its engine once."""
    await cluster.control('engine-1-engine-proxy', mode='cut')
    await cluster.control('engine-1-engine-proxy')
    await cluster.control('engine-1-engine-proxy', mode='pass')


@WITH_AND_WITHOUT_FENCING
async def test_unload_without_answer_does_not_affect_a_running_request(tmp_path, fencing):
    async with make_cluster(tmp_path, fencing=fencing) as cluster:
        call = functools.partial(request_completion, cluster.ports['entry-1'])
        assert (await call(FIRST)).is_complete
        await cluster.control('engine-1', unload_delay=1.5)
        other = asyncio.create_task(call(SECOND, seconds=15))
        await wait_engine_counter(cluster, 'orders', 2)
        other.cancel()
        await wait_until(functools.partial(is_queue_empty, cluster), 'the other request was removed from the queue')
        await cut_engine_connections(cluster)
        answer = await retry_completion(cluster.ports['entry-1'], FIRST, 250, stream=True)
        assert answer.text == expected_text(FIRST, 250)
        assert (await cluster.control('engine-1'))['broken_pins'] == 0


@WITH_AND_WITHOUT_FENCING
async def test_pause_while_an_unload_is_under_way_breaks_no_pin(tmp_path, fencing):
    async with make_cluster(tmp_path, fencing=fencing) as cluster:
        call = functools.partial(request_completion, cluster.ports['entry-1'])
        assert (await call(FIRST)).is_complete
        await cluster.control('engine-1', unload_delay=3)
        other = asyncio.create_task(call(SECOND, seconds=15))
        await wait_engine_counter(cluster, 'orders', 2)
        cluster.processes['engine-1-sidecar'].freeze()
        await asyncio.sleep(1.2)
        cluster.processes['engine-1-sidecar'].thaw()
        answer = await retry_completion(cluster.ports['entry-1'], FIRST, 250, stream=True)
        assert answer.text == expected_text(FIRST, 250)
        assert is_correct_answer(await other, SECOND, 3)
        assert (await cluster.control('engine-1'))['broken_pins'] == 0


@pytest.mark.parametrize('first_to_go_on', ['entry-1', 'engine-1-sidecar'])
async def test_stream_is_whole_after_its_entry_and_its_sidecar_stood_still_together(tmp_path, first_to_go_on):
    async with make_cluster(tmp_path) as cluster:
        call = functools.partial(request_completion, cluster.ports['entry-1'])
        assert (await call(FIRST)).is_complete
        stream = asyncio.create_task(call(FIRST, 250, stream=True))
        await wait_engine_counter(cluster, 'steps', 100)
        both = sorted(('entry-1', 'engine-1-sidecar'), key=lambda name: name != first_to_go_on)
        for name in both:
            cluster.processes[name].freeze()
        await asyncio.sleep(SILENCE_TIMEOUT_SECONDS + HEARTBEAT_INTERVAL_SECONDS)
        for name in both:
            cluster.processes[name].thaw()
        answer = await stream
        assert (answer.text, answer.error) == (expected_text(FIRST, 250), {})


@WITH_AND_WITHOUT_FENCING
async def test_second_sidecar_does_not_break_pins_of_a_frozen_one(tmp_path, fencing):
    cluster = make_cluster(tmp_path, fencing=fencing)
    spec = TargetSpec('engine-1')
    cluster.add_sidecar('second', spec, address(cluster.ports['engine-1']), cluster.reserve_named_port('second-peer'))
    second = cluster.processes.pop('second')
    async with cluster:
        cluster.processes['second'] = second
        call = functools.partial(request_completion, cluster.ports['entry-1'])
        first = asyncio.create_task(call(FIRST, 400, stream=True))
        await wait_engine_counter(cluster, 'steps', 10)
        old = cluster.processes['engine-1-sidecar']
        old.freeze()
        await second.start()
        cluster.document['targets']['engine-1']['address'] = address(cluster.ports['second-peer'])
        await cluster.publish()
        await wait_bundle(cluster, 'entry-1', 2)
        await cluster.wait_until_targets_usable()
        port = cluster.ports['entry-1']
        assert (await retry_completion(port, SECOND)).text == expected_text(SECOND, 3)
        old.thaw()
        assert await asyncio.wait_for(old.process.wait(), 20) == 0
        assert is_correct_answer(await first, FIRST, 400)
        assert (await retry_completion(port, FIRST)).text == expected_text(FIRST, 3)
        assert (await cluster.control('engine-1'))['broken_pins'] == 0
    assert 'event=superseded' in old.read_log() or 'action=superseded' in old.read_log()


async def test_adapter_of_a_disconnected_caller_is_not_evicted_before_the_engine_cancels(tmp_path):
    async with make_cluster(tmp_path, keep_seconds=4) as cluster:
        call = functools.partial(request_completion, cluster.ports['entry-1'])
        disconnecting_call = asyncio.create_task(call(FIRST, 2000, stream=True, seconds=60))
        await wait_engine_counter(cluster, 'steps', 10)
        disconnecting_call.cancel()
        assert (await call(SECOND)).text == expected_text(SECOND, 3)
        control_state = await cluster.control('engine-1')
        assert control_state['broken_pins'] == 0
        assert (control_state['running'], control_state['cancelled']) == (0, 1)


async def test_no_pinned_adapter_is_evicted_when_all_slots_are_pinned(tmp_path):
    async with make_cluster(tmp_path, slots=2) as cluster:
        call = functools.partial(request_completion, cluster.ports['entry-1'])
        pinned = [asyncio.create_task(call(model, 150, stream=True)) for model in (FIRST, SECOND)]
        await wait_engine_counter(cluster, 'loads', 2)
        waiting = await call(THIRD)
        assert waiting.text == expected_text(THIRD, 3)
        for model, task in zip((FIRST, SECOND), pinned, strict=True):
            assert (await task).text == expected_text(model, 150)
        assert (await cluster.control('engine-1'))['broken_pins'] == 0


async def test_engine_restarted_empty_serves_only_the_requested_adapters(tmp_path):
    async with make_cluster(tmp_path, slots=2, batch=2) as cluster:
        call = functools.partial(request_completion, cluster.ports['entry-1'])
        calls = [(model, asyncio.create_task(call(model, 40, stream=True))) for model in ADAPTERS * 3]
        await wait_engine_counter(cluster, 'steps', 10)
        await cluster.restart('engine-1')
        for model, task in calls:
            assert is_correct_answer(await task, model, 40)
        assert (await retry_completion(cluster.ports['entry-1'], THIRD)).text == expected_text(THIRD, 3)


async def test_sidecar_resumed_after_an_engine_restart_rereads_the_engine_state(tmp_path):
    async with make_cluster(tmp_path) as cluster:
        call = functools.partial(request_completion, cluster.ports['entry-1'])
        assert (await call(FIRST)).is_complete
        cluster.processes['engine-1-sidecar'].freeze()
        late = asyncio.create_task(call(FIRST))
        await cluster.restart('engine-1')
        cluster.processes['engine-1-sidecar'].thaw()
        assert is_correct_answer(await late, FIRST, 3)
        assert (await retry_completion(cluster.ports['entry-1'], FIRST)).text == expected_text(FIRST, 3)
        assert (await cluster.control('engine-1'))['loads'] >= 1


async def test_lost_load_answer_is_reconciled_with_the_engine_state(tmp_path):
    async with make_cluster(tmp_path) as cluster:
        await cluster.control('engine-1', load_delay=0.7)
        call = asyncio.create_task(request_completion(cluster.ports['entry-1'], FIRST))
        await wait_engine_counter(cluster, 'orders', 1)
        await cut_engine_connections(cluster)
        assert (await call).text == expected_text(FIRST, 3)
        assert (await cluster.control('engine-1'))['broken_pins'] == 0


async def test_failed_loads_are_retried(tmp_path):
    async with make_cluster(tmp_path) as cluster:
        await cluster.control('engine-1', fail_loads=2)
        assert (await request_completion(cluster.ports['entry-1'], FIRST)).text == expected_text(FIRST, 3)


@pytest.mark.parametrize('stream', [True, False])
async def test_answer_of_another_adapter_never_reaches_the_caller(tmp_path, stream):
    async with make_cluster(tmp_path) as cluster:
        await cluster.control('engine-1', wrong_adapter=SECOND)
        answer = await request_completion(cluster.ports['entry-1'], FIRST, stream=stream)
        assert (answer.text, answer.is_complete, answer.outcome) == ('', False, 'failed')
        assert answer.error['code'] == 'echo_mismatch'


async def test_version_removed_by_a_bundle_is_not_replaced_in_a_queued_request(tmp_path):
    async with make_cluster(tmp_path) as cluster:
        await cluster.control('engine-1', load_delay=0.7)
        queued = asyncio.create_task(request_completion(cluster.ports['entry-1'], FIRST))
        await wait_engine_counter(cluster, 'orders', 1)
        draft = cluster.document['adapters']['draft']
        draft['versions'].pop('v1')
        await cluster.publish()
        assert is_correct_answer(await queued, FIRST, 3)
