"""Shutdown of the real programs: every connection's task ends before the process does."""

import asyncio
import contextlib
from functools import partial

import pytest

from tamarackfield.core.problems import split_address
from tamarackfield.testing.platform_site import MODEL_SERVICE, read_events, running_site
from tamarackfield.testing.processes import wait_until
from tamarackfield.testing.worker_records import WorkerFault
from tamarackfield.web import ClientError
from tamarackfield.web.client import open_request

ADAPTER = ('Tamarackfield-Model', 'base/a7')
LONG = ('Tamarackfield-Deadline-Ms', '60000')
CONNECTING_TASKS = 12
#: Number of times that a process is started and terminated: connections must arrive while its event loop ends.
ROUNDS = 4


@contextlib.asynccontextmanager
async def continuous_connections(address):
    """Connect to an address over and over; each connection stays open until it is replaced."""

    async def connect_repeatedly():
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                await asyncio.sleep(0)
                writer.transport.abort()
            await asyncio.sleep(0)

    tasks = [asyncio.create_task(connect_repeatedly()) for _ in range(CONNECTING_TASKS)]
    yield
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


async def read_until_end(chunks):
    """Return the remaining chunks of an answer."""
    return [chunk async for chunk in chunks]


def faults_after_stop(process):
    """Return the lines of a log that report faults, and those written after the process had stopped."""
    lines = process.read_log().splitlines()
    faults = [line for line in lines if 'Traceback' in line or 'tasks_not_stopped' in line or 'destroyed' in line]
    last_stop = max((number for number, line in enumerate(lines) if 'event=stopped' in line), default=len(lines))
    return faults + lines[last_stop + 1 :]


async def test_sidecar_that_is_terminated_amid_new_connections_ends_without_a_traceback(model_site):
    sidecar = model_site.sidecars['m1']
    address = (sidecar.settings['ip'], sidecar.settings['port_range'][0])
    for _ in range(ROUNDS):
        async with continuous_connections(address):
            assert await sidecar.terminate() == 0
        assert faults_after_stop(sidecar) == []
        await sidecar.start()
        await sidecar.wait_ready()


@pytest.mark.parametrize('listener', ['front', 'ready', 'control'])
async def test_entry_that_is_terminated_amid_new_connections_ends_without_a_traceback(model_site, listener):
    entry = model_site.entries[0]
    async with model_site.stream('/draft/x', [ADAPTER]) as response:
        await read_events(response)
    async with continuous_connections(split_address(entry.settings['listen'][listener])):
        assert await entry.terminate() == 0
    assert faults_after_stop(entry) == []


async def test_sidecar_that_is_terminated_while_entries_are_connected_tells_them_and_ends(model_site):
    sidecar = model_site.sidecars['m1']
    assert await sidecar.terminate() == 0
    assert faults_after_stop(sidecar) == []
    await model_site.entries[0].wait_for_log_text('event=sidecar_stopping')


async def test_stream_that_outlasts_the_grace_period_is_cut_before_the_process_ends(model_site):
    worker = model_site.workers['m1']
    worker.event_count = 10_000
    worker.event_interval_seconds = 0.1
    entry = model_site.entries[0]
    long_call = [ADAPTER, ('Tamarackfield-Deadline-Ms', '60000'), ('Tamarackfield-Request-Id', 'long')]
    async with model_site.stream('/draft/x', long_call) as response:
        chunks = response.chunks()
        await anext(chunks)
        ending = asyncio.gather(entry.terminate(), read_until_end(chunks), return_exceptions=True)
        exit_code, stream_end = await ending
    assert exit_code == 0
    assert isinstance(stream_end, ClientError)
    assert faults_after_stop(entry) == []
    log = entry.read_log()
    assert 'event=requests_cut_at_end_of_grace' in log
    ended = next(number for number, line in enumerate(log.splitlines()) if 'event=request ' in line and 'long' in line)
    assert ended < next(number for number, line in enumerate(log.splitlines()) if 'event=stopped' in line)


async def call_until_answer(call):
    """Return the status and the Retry-After of an answer; status 0 if the connection ends without one."""
    try:
        async with call as response:
            await response.read()
            headers = {name.lower(): text for name, text in response.headers.items()}
            return response.status, float(headers.get('retry-after', '-1'))
    except ClientError:
        return 0, -1.0


async def has_runs(worker, count):
    """Return whether a worker has begun a number of runs."""
    return len(worker.runs) >= count


async def stop_with_waiting_calls(site, calls, count):
    """Stop the first entry while calls wait there; return the answers to them."""
    answers = [asyncio.create_task(call_until_answer(call)) for call in calls]
    await asyncio.sleep(1)
    assert sum(answer.done() for answer in answers) == 0
    assert await site.entries[0].terminate() == 0
    ended = await asyncio.gather(*answers)
    assert len(ended) == count
    return ended


async def test_requests_that_wait_for_a_place_when_their_entry_stops_are_refused(tmp_path):
    # Guards against a stop that closes the connections of requests that have not run without an answer.
    async with running_site(tmp_path) as site:
        worker = await site.add_worker('m1', MODEL_SERVICE, event_count=600, event_interval_seconds=0.05)
        worker.adapters['a7'] = 1
        site.write_worker_entry(worker)
        await site.add_sidecar(worker)
        for _ in range(2):
            await site.wait_for_sidecars(await site.add_entry())
        long_calls = [
            asyncio.create_task(call_until_answer(site.stream('/draft/x', [ADAPTER, LONG], entry=1))) for _ in range(8)
        ]
        await wait_until(partial(has_runs, worker, 8), 'all places are taken')
        waiting = [site.stream('/draft/x', [ADAPTER, LONG]) for _ in range(4)]
        answers_at_stop = await stop_with_waiting_calls(site, waiting, 4)
        assert [status for status, _ in answers_at_stop] == [503, 503, 503, 503]
        assert all(retry_after >= 0 for _, retry_after in answers_at_stop)
        assert len(worker.runs) == 8
        for call in long_calls:
            call.cancel()


async def test_requests_whose_worker_is_silent_when_their_entry_stops_are_answered(two_worker_site):
    # Guards against a stop that closes the connections of requests that may have run without an answer.
    site = two_worker_site
    for worker in site.workers.values():
        worker.fault = WorkerFault('hang', 9)
    filings = [
        open_request(site.entry_address(0), 'POST', '/file/x', b'filing', site.make_headers(None)) for _ in range(2)
    ]
    answers_at_stop = await stop_with_waiting_calls(site, filings, 2)
    assert {status for status, _ in answers_at_stop} == {502}
