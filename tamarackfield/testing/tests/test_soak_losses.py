"""The soak test's check of calls that end with neither an answer nor a refusal, and the faults that go with it."""

import asyncio
import random

import pytest

from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.platform_worker import PlatformWorker, Run
from tamarackfield.testing.soak.callers import Call, Caller, Close
from tamarackfield.testing.soak.faults import ALL_FAULTS, CRASH_FAULTS, LIMIT_FAULTS, SIGNAL_FAULTS
from tamarackfield.testing.soak.losses import is_lost
from tamarackfield.testing.soak.plan import draw_plan
from tamarackfield.testing.soak.series import Series, list_kinds
from tamarackfield.testing.soak.site import SoakSite

SEED, SECONDS = 7, 20.0


def make_call(close=Close.READ, status=0, seconds=1.0):
    return Call('c1', '/summary/x', 'front-1', 1, 100.0, 108.0, ended_at=100.0 + seconds, status=status, close=close)


def make_run(sound=True):
    return Run('c1', 'POST', '/summary/x', {}, b'', 'model-1', 100.1, sound=sound)


def is_lost_beside(tmp_path, call, run, *incidents):
    site = SoakSite(tmp_path)
    site.incidents = [Incident(name, began_at, ended_at, where) for name, began_at, ended_at, where in incidents]
    return is_lost(site, call, run)


@pytest.mark.parametrize(
    ('call', 'run'),
    [
        (make_call(), None),
        (make_call(Close.RESET), None),
        (make_call(), make_run()),
        (make_call(status=200), make_run()),
    ],
)
def test_call_that_is_closed_without_a_complete_answer_is_lost(tmp_path, call, run):
    assert is_lost_beside(tmp_path, call, run)


@pytest.mark.parametrize(
    ('call', 'run'),
    [
        (make_call(Close.NONE), None),
        (make_call(Close.RESET, seconds=0.1), None),
        (make_call(status=200), make_run(sound=False)),
        (make_call(status=200, seconds=7.99), make_run()),
    ],
)
def test_crossed_close_broken_worker_and_reached_deadline_excuse(tmp_path, call, run):
    assert not is_lost_beside(tmp_path, call, run)


@pytest.mark.parametrize(
    ('incident', 'excuses_closed', 'excuses_cut'),
    [
        (('entry_held', 99.0, 100.9, 'front-1'), False, True),
        (('entry_held', 99.0, 100.9, 'front-2'), False, False),
        (('entry_killed', 100.9, 103.0, 'front-1'), True, True),
        (('entry_killed', 98.0, 99.9, 'front-1'), False, True),
        (('entry_stopped', 100.5, 103.0, 'front-1'), False, False),
        (('link_disturbed', 99.0, 99.5, 'worker model-1 freeze'), False, True),
        (('link_disturbed', 99.0, 99.5, 'worker model-2 freeze'), False, False),
        (('store_failed', 99.0, 103.0, 'busy for all'), False, False),
    ],
)
def test_disturbance_excuses_only_what_it_reaches(tmp_path, incident, excuses_closed, excuses_cut):
    assert is_lost_beside(tmp_path, make_call(), None, incident) is not excuses_closed
    assert is_lost_beside(tmp_path, make_call(status=200), make_run(), incident) is not excuses_cut


async def answer_with_close(reads, seconds):
    """Accept one connection that closes without an answer after a time; return its server."""

    async def accept(reader, writer):
        if reads:
            await reader.read(65_536)
        else:
            writer.transport.pause_reading()
        await asyncio.sleep(seconds)
        writer.close()

    return await asyncio.start_server(accept, '127.0.0.1', 0)


@pytest.mark.parametrize(('reads', 'close'), [(True, Close.READ), (False, Close.RESET)])
async def test_caller_tells_whether_its_call_was_read_before_the_close(reads, close):
    server = await answer_with_close(reads, 0.1)
    caller = Caller(server.sockets[0].getsockname(), random.Random(3))
    now = asyncio.get_running_loop().time()
    call = Call('call-1', '/look/x', 'front-1', 1, now, now + 20.0)
    await caller.send_call(call)
    server.close()
    assert (call.close, call.status) == (close, 0)


def test_former_seeds_give_the_faults_that_they_gave():
    former = draw_plan(SEED, SECONDS, *list_kinds(Series.FORMER))
    standstills = draw_plan(SEED, SECONDS, *list_kinds(Series.STANDSTILLS))
    earlier = draw_plan(SEED, SECONDS, *list_kinds(Series.EARLIER))
    every = draw_plan(SEED, SECONDS, *list_kinds(Series.ALL))
    assert sorted(former + standstills, key=lambda step: step.start_seconds) == earlier
    assert {step.kind for step in standstills} == set(list_kinds(Series.EARLIER)[-1])
    added = (LIMIT_FAULTS, CRASH_FAULTS, SIGNAL_FAULTS)
    assert [step for step in every if not any(step.kind in faults for faults in added)] == earlier
    assert all(any(step.kind in faults for step in every) for faults in added)
    assert {step.kind for step in every} <= set(ALL_FAULTS)


@pytest.mark.parametrize('closes_early', [False, True])
async def test_silent_worker_is_sound(closes_early):
    worker = PlatformWorker('model-1', 'drafts', '127.0.0.1', 0, model='base')
    worker.silence_seconds = 0.1
    await worker.start()
    reader, writer = await asyncio.open_connection(*worker.server.sockets[0].getsockname())
    writer.write(b'POST /draft/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n')
    await reader.readuntil(b'event 1')
    if closes_early:
        writer.transport.abort()
    else:
        await reader.readuntil(b'0\r\n\r\n')
    while worker.running:
        await asyncio.sleep(0.01)
    assert worker.runs[0].sound
    assert worker.runs[0].finished is not closes_early
    writer.close()
    await worker.stop()


async def test_worker_that_ends_is_not_sound():
    worker = PlatformWorker('model-1', 'drafts', '127.0.0.1', 0, model='base')
    worker.silence_seconds = 0.1
    await worker.start()
    reader, writer = await asyncio.open_connection(*worker.server.sockets[0].getsockname())
    writer.write(b'POST /draft/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n')
    await reader.readuntil(b'event 1')
    await worker.crash()
    while worker.running:
        await asyncio.sleep(0.01)
    assert not worker.runs[0].sound
    writer.close()
