"""Promise 4: a request refused as ``not_run`` did not run, as checked against the run count of the engine."""

import asyncio
import functools

import pytest

from tamarackfield.testing.calls import expected_text, is_correct_answer, request_completion, retry_completion
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import wait_until

FIRST = 'draft@v1'


@pytest.fixture
async def cluster(tmp_path):
    """Run one entry and one engine, with fault proxies in front of the sidecar and the engine."""
    target = TargetSpec('engine-1', proxied=True, engine_proxied=True)
    async with Cluster(tmp_path, [target], entries=1, bundle=make_bundle(('clinic',), (FIRST,))) as running:
        assert (await request_completion(running.ports['entry-1'], FIRST, 1)).is_complete
        yield running


async def count_runs(cluster):
    """Return the number of requests that the engine ran, without the first one."""
    return len((await cluster.control('engine-1'))['ran']) - 1


async def is_sidecar_idle(cluster):
    """Return whether the sidecar has no running and no queued requests."""
    status = await cluster.read_status('engine-1-sidecar')
    return not status['running'] and not status['queued']


@pytest.mark.parametrize('stream', [True, False])
async def test_engine_crash_after_accepting_leaves_the_outcome_unknown(cluster, stream):
    await cluster.control('engine-1', die_on_request=True)
    answer = await request_completion(cluster.ports['entry-1'], FIRST, stream=stream, seconds=5)
    assert (answer.is_complete, answer.outcome) == (False, 'unknown')


async def test_sidecar_frozen_across_the_deadline_does_not_run_the_request(cluster):
    sidecar = cluster.processes['engine-1-sidecar']
    sidecar.freeze()
    answer = await request_completion(cluster.ports['entry-1'], FIRST, seconds=0.5)
    assert answer.outcome == 'unknown'
    await asyncio.sleep(1)
    sidecar.thaw()
    await wait_until(functools.partial(is_sidecar_idle, cluster), 'the sidecar is idle')
    assert (await retry_completion(cluster.ports['entry-1'], FIRST)).is_complete
    assert await count_runs(cluster) == 1


async def test_entry_frozen_across_the_deadline_reports_the_true_outcome(cluster):
    call = asyncio.create_task(request_completion(cluster.ports['entry-1'], FIRST, 100, seconds=1, stream=True))
    await asyncio.sleep(0.2)
    cluster.processes['entry-1'].freeze()
    await asyncio.sleep(1.5)
    cluster.processes['entry-1'].thaw()
    answer = await call
    assert is_correct_answer(answer, FIRST, 100)
    assert answer.outcome != 'not_run'


async def test_cut_before_the_submit_is_not_run(cluster):
    await cluster.control('engine-1-proxy', mode='cut')

    async def is_link_down():
        return not (await cluster.read_status('entry-1'))['targets']['engine-1']['usable']

    await wait_until(is_link_down, 'the link is down')
    answer = await request_completion(cluster.ports['entry-1'], FIRST)
    assert answer.outcome == 'not_run'
    assert await count_runs(cluster) == 0


async def test_cut_after_the_submit_is_unknown(cluster):
    call = asyncio.create_task(request_completion(cluster.ports['entry-1'], FIRST, 200))

    async def has_run():
        return await count_runs(cluster)

    await wait_until(has_run, 'the engine runs it')
    await cluster.control('engine-1-proxy', mode='cut')
    assert (await call).outcome == 'unknown'


async def test_submit_delayed_by_the_network_does_not_run_after_its_deadline(cluster):
    await cluster.control('engine-1-proxy', mode='freeze_up')
    answer = await request_completion(cluster.ports['entry-1'], FIRST, seconds=0.5)
    assert answer.outcome == 'unknown'
    await cluster.control('engine-1-proxy', mode='pass')
    await cluster.wait_until_targets_usable()
    await wait_until(functools.partial(is_sidecar_idle, cluster), 'the sidecar is idle')
    assert await count_runs(cluster) == 0


@pytest.mark.parametrize('size', [0, 20, 200])
async def test_request_cut_before_the_engine_is_not_reported_not_run_if_it_ran(cluster, size):
    await cluster.control('engine-1-engine-proxy', cut_up_after=size)
    answer = await request_completion(cluster.ports['entry-1'], FIRST, seconds=3)
    await cluster.control('engine-1-engine-proxy', cut_up_after=-1)
    ran = await count_runs(cluster)
    assert not (ran and answer.outcome == 'not_run')
    assert is_correct_answer(answer, FIRST, 3)


async def test_call_to_an_unreachable_engine_is_not_run(tmp_path):
    bundle = make_bundle(('clinic',), (FIRST,))
    async with Cluster(tmp_path, [TargetSpec('engine-1')], entries=1, bundle=bundle) as cluster:
        port = cluster.ports['entry-1']
        assert (await request_completion(port, FIRST)).is_complete
        await cluster.processes['engine-1'].kill()
        answers = [await request_completion(port, FIRST, seconds=seconds) for seconds in (3, 3)]
        assert {answer.outcome for answer in answers} == {'not_run'}
        await cluster.start_process('engine-1')
        assert (await retry_completion(port, FIRST)).text == expected_text(FIRST, 3)
