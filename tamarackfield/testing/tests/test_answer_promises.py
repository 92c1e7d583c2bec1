"""Promise 3: each caller gets the complete answer to its own request and no other answer."""

import asyncio
import functools
import pathlib

import pytest

from tamarackfield.testing.calls import expected_text, is_correct_answer, request_completion, retry_completion
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.processes import wait_until
from tamarackfield.wire.request_relay import Chunk, End, Fail, Head

FIRST = 'draft@v1'
SECOND = 'draft@v2'
LONG_NAME = 'x' * 100
ANSWER_KINDS = [message.kind for message in (Head, Chunk, End, Fail)]
BYTES_PER_MEGABYTE = 1_000_000


@pytest.fixture
async def cluster(tmp_path):
    """Run one entry and one engine, with fault proxies in front of the sidecar and the engine."""
    options = {'slots': 2, 'step_ms': 2}
    target = TargetSpec('engine-1', proxied=True, engine_proxied=True, options=options)
    bundle = make_bundle(('clinic',), (FIRST, SECOND, f'{LONG_NAME}@v1'))
    async with Cluster(tmp_path, [target], entries=1, bundle=bundle) as running:
        yield running


async def wait_engine_steps(cluster):
    """Wait until the engine has run ten steps."""

    async def has_stepped():
        return (await cluster.control('engine-1'))['steps'] >= 10

    await wait_until(has_stepped, 'the engine generates')


def read_resident_bytes(process):
    """Return the resident memory of a process in bytes."""
    fields = pathlib.Path(f'/proc/{process.process.pid}/statm').read_text().split()
    return int(fields[1]) * 4096


@pytest.mark.parametrize('stream', [True, False], ids=['stream', 'plain'])
@pytest.mark.parametrize('kind', [Head, Chunk, End])
async def test_cut_before_a_frame_is_an_explicit_error(cluster, kind, stream):
    port = cluster.ports['entry-1']
    await cluster.control('engine-1-proxy', cut_before_frame=kind.kind)
    answer = await request_completion(port, FIRST, 20, stream=stream)
    end_marker_passed = stream and kind is End
    assert answer.is_complete is end_marker_passed
    assert answer.connection_error or answer.status != 200
    assert is_correct_answer(answer, FIRST, 20)
    if stream or kind is Head:
        assert answer.outcome == 'unknown'
    await cluster.control('engine-1-proxy', cut_before_frame=-1)
    assert (await retry_completion(port, FIRST, 20, stream=stream)).text == expected_text(FIRST, 20)


@pytest.mark.parametrize('fault', ['repeat_frames', 'replay_frames'])
async def test_repeated_and_replayed_frames_change_no_answer(cluster, fault):
    call = functools.partial(request_completion, cluster.ports['entry-1'])
    await cluster.control('engine-1-proxy', **{fault: ANSWER_KINDS})
    for stream in (True, False, True):
        answers = await asyncio.gather(*(call(model, 60, stream=stream) for model in (FIRST, SECOND)))
        assert [answer.text for answer in answers] == [expected_text(model, 60) for model in (FIRST, SECOND)]
        assert all(answer.is_complete for answer in answers)


@pytest.mark.parametrize('kind', [Head, Chunk, End])
async def test_swapped_frames_never_reach_the_wrong_caller(cluster, kind):
    call = functools.partial(request_completion, cluster.ports['entry-1'], seconds=3)
    await cluster.control('engine-1-proxy', swap_frames=[kind.kind])
    calls = [(model, asyncio.create_task(call(model, 30, stream=True))) for model in (FIRST, SECOND) * 3]
    for model, task in calls:
        assert is_correct_answer(await task, model, 30)


async def test_stream_cut_by_the_engine_is_resumed_on_the_same_run(cluster):
    await cluster.control('engine-1', cut_stream_after=5)
    answer = await request_completion(cluster.ports['entry-1'], FIRST, 40, stream=True)
    assert (answer.text, answer.is_complete) == (expected_text(FIRST, 40), True)
    control_state = await cluster.control('engine-1')
    assert control_state['resumes'] == 1
    assert list(control_state['ran'].values()) == [1]


async def test_connection_to_the_engine_cut_mid_stream_is_resumed(cluster):
    call = asyncio.create_task(request_completion(cluster.ports['entry-1'], FIRST, 400, stream=True))
    await wait_engine_steps(cluster)
    await cluster.control('engine-1-engine-proxy', mode='cut')
    await cluster.control('engine-1-engine-proxy', mode='pass')
    answer = await call
    assert (answer.text, answer.is_complete) == (expected_text(FIRST, 400), True)
    assert list((await cluster.control('engine-1'))['ran'].values()) == [1]


async def test_engine_crash_mid_stream_ends_the_stream_with_an_error(cluster):
    call = asyncio.create_task(request_completion(cluster.ports['entry-1'], FIRST, 2000, stream=True))
    await wait_engine_steps(cluster)
    await cluster.restart('engine-1')
    answer = await call
    assert is_correct_answer(answer, FIRST, 2000)
    assert (answer.is_complete, answer.outcome) == (False, 'unknown')


async def test_sidecar_crash_mid_stream_ends_the_stream_with_an_error(cluster):
    call = asyncio.create_task(request_completion(cluster.ports['entry-1'], FIRST, 2000, stream=True))
    await wait_engine_steps(cluster)
    await cluster.restart('engine-1-sidecar')
    answer = await call
    assert is_correct_answer(answer, FIRST, 2000)
    assert (answer.is_complete, answer.outcome) == (False, 'unknown')


async def test_callers_disconnecting_at_the_last_token_leave_no_running_request(cluster):
    port = cluster.ports['entry-1']
    assert (await request_completion(port, FIRST, 2)).is_complete
    for index in range(24):
        disconnecting_call = asyncio.create_task(request_completion(port, FIRST, 8, stream=True))
        await asyncio.sleep(0.01 + index / 1000)
        disconnecting_call.cancel()

    async def is_idle():
        running = (await cluster.control('engine-1'))['running'] + (await cluster.read_status('engine-1-sidecar'))[
            'running'
        ]
        return not running

    await wait_until(is_idle, 'nothing runs any more')
    assert (await retry_completion(port, FIRST, 8)).text == expected_text(FIRST, 8)


async def test_slow_reader_does_not_grow_memory(cluster):
    tokens = 40_000
    await cluster.control('engine-1', slowdown=0)
    port = cluster.ports['entry-1']
    assert (await request_completion(port, f'{LONG_NAME}@v1', 2, stream=True)).is_complete
    names = ('entry-1', 'engine-1-sidecar')
    before = [read_resident_bytes(cluster.processes[name]) for name in names]
    read_gate = asyncio.Event()
    call = asyncio.create_task(
        request_completion(port, f'{LONG_NAME}@v1', tokens, stream=True, seconds=120, gate=read_gate)
    )
    await asyncio.sleep(2)
    growth = [read_resident_bytes(cluster.processes[name]) - size for name, size in zip(names, before, strict=True)]
    assert max(growth) < 4 * BYTES_PER_MEGABYTE
    read_gate.set()
    assert (await call).text == expected_text(f'{LONG_NAME}@v1', tokens)
