"""A run that is silent for a while is not given up before another one goes on."""

import asyncio
import contextlib

import pytest

from tamarackfield.core import BOOT_CLOCK, Outcome
from tamarackfield.platform.tests.handover_samples import (
    EVENT_COUNT,
    REQUEST_ID,
    RETRIES,
    SILENT_AFTER,
    make_stream_route,
    running_site,
)
from tamarackfield.gateway.tests.samples import make_route
from tamarackfield.testing.platform_worker import WorkerFault
from tamarackfield.wire.reservations import Declined
from tamarackfield.wire.stream import StreamClosedError

ALL_EVENTS = list(range(1, EVENT_COUNT + 1))
#: Silences of a sound worker, in seconds.
SILENCES = (1.7, 3.0)
#: Silence of a worker that is dead, in seconds.
FOR_GOOD = 60.0


def make_fault(kind, retry_after='30'):
    """Return a function that sets a fault of the other workers."""

    async def spoil(site, others):
        for worker in others:
            worker.retry_after = retry_after
            worker.fault = WorkerFault(kind, 100)

    return spoil


async def stop_listening(site, others):
    """Let the other workers refuse connections."""
    for worker in others:
        await worker.stop()


WORKER_FAULTS = {
    'turns it away': make_fault('shed'),
    'turns it away and asks for a pause': make_fault('pause'),
    'fails': make_fault('errors'),
    'resets': make_fault('reset_after_run'),
    'ends inside its head': make_fault('garbage'),
    'refuses connections': stop_listening,
}


def decline(link, site, target):
    """Decline a request."""
    link.reserve = lambda request: _return((1, Declined(1, 'full', 500)))


def lose_link(link, site, target):
    """Lose the connection to the sidecar."""
    link.reserve = lambda request: _fail()


def leave(link, site, target):
    """Let the target leave while the request waits at its sidecar."""
    link.before_answer = lambda: _call(target.mark_leaving, 'test')


def ask_for_pause(link, site, target):
    """Let the target ask for a pause while the request waits at its sidecar."""
    link.before_answer = lambda: _call(target.pause, 30.0, BOOT_CLOCK.monotonic())


def spend_budget(link, site, target):
    """Let another request spend the retry budget while the request waits at the sidecar."""
    link.before_answer = lambda: _call(setattr, site.budget, 'available', 0.0)


def enter_quarantine(link, site, target):
    """Let the prompt enter quarantine while the request waits at the sidecar."""
    quarantine = site.fleet.quarantine
    link.before_answer = lambda: _call(setattr, quarantine, 'explain_refusal', lambda call_state: 'engines crash')


async def _call(function, *arguments):
    function(*arguments)


async def _return(answer):
    return answer


async def _fail():
    raise StreamClosedError('sidecar is lost', step='reserve', peer='t2')


@pytest.mark.parametrize('seconds', SILENCES)
@pytest.mark.parametrize('fault', WORKER_FAULTS)
async def test_silent_stream_goes_on_if_the_other_workers(fault, seconds):
    async with running_site({SILENT_AFTER: seconds}, ('t1', 't2', 't3')) as site:
        serving, first, others = await site.start_call(make_stream_route(max_targets=3))
        await WORKER_FAULTS[fault](site, others)
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS
        assert site.responder.finished
        assert [run.finished for run in first.runs] == [True]


@pytest.mark.parametrize('seconds', SILENCES)
@pytest.mark.parametrize('spoil', [decline, lose_link, leave, ask_for_pause, spend_budget, enter_quarantine])
async def test_silent_stream_goes_on_if_the_other_target_is_lost_while_it_is_asked(spoil, seconds):
    async with running_site({SILENT_AFTER: seconds}, service='models') as site:
        serving, first, others = await site.start_call(make_stream_route())
        for worker in others:
            spoil(site.links[worker.name], site, site.fleet.directory.targets[worker.name])
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS
        assert site.responder.finished
        assert [run.worker for run in site.list_runs()] == [first.name]


@pytest.mark.parametrize('fault', WORKER_FAULTS)
async def test_stream_that_is_silent_before_its_first_event_goes_on_if_the_other_worker(fault):
    async with running_site({0: SILENCES[0]}) as site:
        serving, first, others = await site.start_call(make_stream_route())
        await WORKER_FAULTS[fault](site, others)
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS
        assert [run.finished for run in first.runs] == [True]


@pytest.mark.parametrize('fault', WORKER_FAULTS)
async def test_answer_of_a_silent_worker_is_awaited_if_the_other_worker(fault):
    async with running_site({0: SILENCES[0]}, streaming=False) as site:
        serving, first, others = await site.start_call(make_route(), seconds=3.0)
        await WORKER_FAULTS[fault](site, others)
        await serving
        assert site.responder.statuses == [200]
        assert site.responder.body == f'{first.name} ran {REQUEST_ID}'.encode()


@pytest.mark.parametrize('service', ['plain', 'models'])
async def test_stream_of_a_dead_worker_is_resumed_and_its_run_ended(service):
    async with running_site({SILENT_AFTER: FOR_GOOD}, service=service) as site:
        serving, first, _ = await site.start_call(make_stream_route())
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS
        assert site.responder.finished
        await site.wait_for_runs(0)
        assert [run.headers.get('last-event-id') for run in site.list_runs() if run.worker != first.name] == ['3']
        assert site.budget.available == RETRIES - 1
        assert not any(link.granted or link.pending for link in site.links.values())


@pytest.mark.parametrize(('streaming', 'route'), [(True, make_stream_route()), (False, make_route())])
async def test_call_to_a_dead_worker_is_answered_by_another_one(streaming, route):
    async with running_site({0: FOR_GOOD}, streaming=streaming) as site:
        serving, _, _ = await site.start_call(route, seconds=4.0)
        await serving
        assert site.responder.statuses == [200]
        assert site.responder.finished
        await site.wait_for_runs(0)


async def test_stream_is_resumed_if_the_other_worker_refuses_at_first():
    async with running_site({SILENT_AFTER: FOR_GOOD}) as site:
        serving, _, others = await site.start_call(make_stream_route())
        others[0].fault = WorkerFault('shed', 1)
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS


async def test_second_run_is_ended_when_the_first_goes_on():
    async with running_site({0: SILENCES[0]}) as site:
        serving, first, others = await site.start_call(make_stream_route())
        others[0].silences = {0: FOR_GOOD}
        await site.wait_for_runs(2)
        await site.wait_for_runs(1)
        assert site.running_workers() == [first]
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS


async def test_request_that_waits_at_a_sidecar_is_withdrawn_when_the_first_goes_on():
    async with running_site({SILENT_AFTER: SILENCES[0]}, service='models') as site:
        serving, first, others = await site.start_call(make_stream_route())
        link = site.links[others[0].name]
        asked = asyncio.Event()

        async def wait():
            asked.set()
            await asyncio.sleep(FOR_GOOD)

        link.before_answer = wait
        await asked.wait()
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS
        assert not link.pending
        assert site.budget.available == RETRIES


async def test_stream_that_went_on_once_is_resumed_when_its_worker_dies():
    async with running_site({0: 1.2, SILENT_AFTER: FOR_GOOD}) as site:
        serving, first, others = await site.start_call(make_stream_route())
        others[0].silences = {0: FOR_GOOD}
        await site.wait_for_runs(2)
        await site.wait_for_runs(1)
        others[0].silences = {}
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS
        assert site.responder.finished
        assert [run.headers.get('last-event-id') for run in others[0].runs] == [None, '3']


async def test_runs_of_a_stream_that_goes_on_do_not_overlap_for_long():
    async with running_site({SILENT_AFTER: FOR_GOOD}) as site:
        serving, first, others = await site.start_call(make_stream_route())
        others[0].silences = {0: 2.0}
        await site.wait_for_runs(2)
        await site.wait_for_runs(1)
        assert site.running_workers() == others
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS


async def test_first_worker_is_asked_again_if_the_second_fails_after_the_overlap():
    async with running_site({SILENT_AFTER: SILENCES[1]}) as site:
        serving, first, others = await site.start_call(make_stream_route())
        others[0].silences = {0: 0.6}
        others[0].fault = WorkerFault('reset_after_run', 100)
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS
        assert [run.headers.get('last-event-id') for run in first.runs] == [None, '3']


@pytest.mark.parametrize(('streaming', 'route'), [(True, make_stream_route()), (False, make_route())])
async def test_caller_that_leaves_while_two_runs_overlap_leaves_none_behind(streaming, route):
    async with running_site({0: FOR_GOOD}, streaming=streaming) as site:
        serving, _, others = await site.start_call(route, seconds=4.0)
        others[0].silences = {0: FOR_GOOD}
        await site.wait_for_runs(2)
        serving.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await serving
        await site.wait_for_runs(0)
        assert [target.view.outstanding for target in site.fleet.directory.targets.values()] == [0, 0]


@pytest.mark.parametrize(
    'route',
    [
        make_stream_route(resumable=False, max_targets=3),
        make_route(repeatable=False, max_targets=3),
        make_stream_route(max_targets=1),
        make_stream_route(streaming=False),
    ],
)
async def test_silent_call_that_may_not_run_again_runs_once(route):
    async with running_site({0: SILENCES[0], SILENT_AFTER: SILENCES[0]}, ('t1', 't2', 't3')) as site:
        serving, _, _ = await site.start_call(route)
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS
        assert len(site.list_runs()) == 1


async def test_spent_budget_starts_no_second_run():
    async with running_site({SILENT_AFTER: SILENCES[0]}) as site:
        serving, _, _ = await site.start_call(make_stream_route())
        site.budget.available = 0.0
        await serving
        assert site.responder.event_numbers() == ALL_EVENTS
        assert len(site.list_runs()) == 1


async def test_silent_call_is_sent_to_no_more_targets_than_its_route_allows():
    async with running_site({SILENT_AFTER: FOR_GOOD}, ('t1', 't2', 't3', 't4')) as site:
        serving, first, others = await site.start_call(make_stream_route(), seconds=5.0)
        await make_fault('shed')(site, others)
        with contextlib.suppress(Exception):
            await serving
        assert len({name for worker in site.workers.values() for _, name in _arrivals(worker)}) == 2


def _arrivals(worker):
    return [(request_id, worker.name) for _, request_id in worker.list_arrivals()]


async def test_call_whose_runs_were_all_ended_may_have_run():
    async with running_site({0: FOR_GOOD}, streaming=False) as site:
        serving, _, others = await site.start_call(make_route(), seconds=2.0)
        others[0].silences = {0: FOR_GOOD}
        with pytest.raises(Exception, match='deadline passed'):
            await serving
        assert site.call_state.outcome() is Outcome.UNKNOWN
        await site.wait_for_runs(0)
