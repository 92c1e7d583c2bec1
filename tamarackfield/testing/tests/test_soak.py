"""The soak test: short runs on fixed seeds, and its checks, which must detect the violations they are for."""

import random

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, RETRY_ALLOWANCE
from tamarackfield.testing.platform_worker import PlatformWorker, Refusal, Run
from tamarackfield.testing.soak.callers import CRASHING_PART, Call, Caller
from tamarackfield.testing.soak.crashes import check_late_runs
from tamarackfield.testing.soak.limits import StatedLimit, check_limits
from tamarackfield.testing.soak.main import run_soak
from tamarackfield.testing.soak.notices import check_leaving, check_pauses
from tamarackfield.testing.soak.outages import check_applied
from tamarackfield.testing.soak.probes import Probe
from tamarackfield.testing.soak.promises import check_call, check_probes, check_retries
from tamarackfield.testing.soak.series import Series
from tamarackfield.testing.soak.site import SoakSite

EVENTS = 5
COMPLETE_STREAM = b''.join(b'id: %d\ndata: event %d\n\n' % (number, number) for number in range(1, EVENTS + 1))


#: Seeds of former failures, with the seconds, the number of processes and the series of faults of their runs.
FORMER_FAILURES = (
    # A process printed tracebacks for its open peer streams during shutdown.
    (11, 6.0, 5, Series.FORMER),
    # An entry stopped applying changes after it sent its state to a sidecar whose stream had just closed.
    (213, 10.0, 5, Series.FORMER),
    # A worker of the harness ran a request without the notice of leaving in its answer, and the check expected one.
    (2003, 12.0, 8, Series.FORMER),
    # A worker of the harness that sent bytes without end was stopped, which closed its unframed answer in order.
    (1008, 12.0, 8, Series.FORMER),
    # An entry that had stood still closed idle connections on which calls had arrived meanwhile.
    (7003, 6.0, 8, Series.STANDSTILLS),
    # An entry gave up a silent stream for other workers, which rejected the call, and cut it.
    (7002, 6.0, 8, Series.STANDSTILLS),
)
#: Seeds on which the code before request limits were kept fails.
LIMIT_SEEDS = (9101,)


def make_call(path='/look/x', status=200, body=b'w1 ran c1', complete=True, retry_after='1'):
    return Call(
        'c1', path, 'front-1', 1, 100.0, 105.0, status=status, complete=complete, body=body, retry_after=retry_after
    )


def make_runs(*workers):
    return [(worker, Run('c1', 'POST', '/look/x', {}, b'', worker, 101.0)) for worker in workers]


def find_violations(call, *workers):
    return list(check_call(call, make_runs(*workers), EVENTS))


@pytest.mark.parametrize(('seed', 'seconds', 'processes', 'series'), FORMER_FAILURES)
async def test_promises_hold_under_overlapping_faults(tmp_path, seed, seconds, processes, series):
    soak = await run_soak(tmp_path, seed, seconds, processes, series)
    assert soak.site.violations == []
    assert soak.site.incidents
    assert any(call.is_answered_successfully() for call in soak.observations.calls.values())


@pytest.mark.parametrize('seed', LIMIT_SEEDS)
async def test_limits_are_kept_while_entries_and_sidecars_restart(tmp_path, seed):
    soak = await run_soak(tmp_path, seed, 14.0, 8, Series.LIMITS)
    assert soak.site.violations == []
    assert soak.site.stated_limits


def test_correct_answers_show_no_violation():
    assert find_violations(make_call(), 'w1') == []
    assert find_violations(make_call('/summary/x', body=COMPLETE_STREAM), 'm1', 'm2') == []
    assert find_violations(make_call('/summary/x', body=COMPLETE_STREAM[:40], complete=False), 'm1') == []
    assert find_violations(make_call('/file/x', 503, b'')) == []


@pytest.mark.parametrize(
    ('call', 'workers'),
    [
        (make_call('/file/x'), ('w1', 'w1')),
        (make_call(), ('w1', 'w2', 'w3')),
        (make_call('/file/x', 503, b''), ('w1',)),
        (make_call('/file/x', 503, b'', retry_after=''), ()),
        (make_call(status=404), ()),
        (make_call(body=b'w1 ran another'), ('w1',)),
        (make_call('/summary/x', body=COMPLETE_STREAM[20:]), ('m1',)),
        (make_call('/summary/x', body=COMPLETE_STREAM + COMPLETE_STREAM), ('m1',)),
        (make_call('/draft/x', body=COMPLETE_STREAM[:-20]), ('m1',)),
    ],
)
def test_broken_promise_is_reported(call, workers):
    assert find_violations(call, *workers)


def test_reverted_configuration_of_one_process_is_reported():
    probes = [Probe('c1', 'front-1', 7, 3, 100.0, 101.0, 200), Probe('c2', 'front-1', 7, 2, 102.0, 103.0, 404)]
    assert list(check_probes(probes))
    probes[1].process_id = 8
    assert list(check_probes(probes)) == []


def test_retries_beyond_the_budget_are_reported():
    first_attempts = [(100.0, f'c{number}') for number in range(RETRY_ALLOWANCE + 30)]
    requested = [100.0 for _ in range(100)]
    retries = [(101.0, request_id) for _, request_id in first_attempts]
    assert list(check_retries(first_attempts + retries[: RETRY_ALLOWANCE + 20], requested)) == []
    assert list(check_retries(first_attempts + retries[: RETRY_ALLOWANCE + 21], requested))


def test_faults_of_a_worker_exclude_each_other_after_it_was_replaced(tmp_path):
    # Seed 40216 (12 s, beside load): two restarts overlapped, and the second could not bind the address.
    site = SoakSite(tmp_path)
    worker = PlatformWorker('w1', 'ledger', '127.0.0.1', 9)
    lock = site.worker_lock(worker)
    worker.name = 'w1-next'
    assert site.worker_lock(worker) is lock


def make_timed_call(request_id, sent_at, process_id=1):
    return Call(
        request_id,
        '/look/x',
        'front-1',
        process_id,
        sent_at,
        sent_at + 5,
        ended_at=sent_at + 1,
        status=200,
        complete=True,
    )


def make_timed_run(call, incarnation=1, announced_leaving=False):
    headers = {}
    return Run(
        call.request_id,
        'POST',
        call.path,
        headers,
        b'',
        'w1',
        call.sent_at,
        incarnation=incarnation,
        announced_leaving=announced_leaving,
    )


@pytest.mark.parametrize(
    ('sent_at', 'incarnation', 'process_id', 'violations'),
    [(4.0, 1, 1, 1), (2.5, 1, 1, 0), (4.0, 2, 1, 0), (4.0, 1, 2, 0)],
)
def test_request_to_a_worker_after_its_notice_of_leaving_is_detected(sent_at, incarnation, process_id, violations):
    first, later = make_timed_call('c1', 0.0), make_timed_call('c2', sent_at, process_id)
    runs = [make_timed_run(first, announced_leaving=True), make_timed_run(later, incarnation)]
    found = list(check_leaving({call.request_id: call for call in (first, later)}, runs))
    assert len(found) == violations


@pytest.mark.parametrize(('arrivals', 'violations'), [((0.6, 0.7, 0.8), 1), ((0.1, 0.6, 0.8), 0), ((0.6, 0.7, 2.1), 0)])
def test_requests_to_a_worker_that_wants_none_are_detected(arrivals, violations):
    worker = PlatformWorker('w1', 'ledger', '127.0.0.1', 1)
    calls = {f'c{number}': make_timed_call(f'c{number}', at) for number, at in enumerate((0.0, *arrivals))}
    worker.refusals = [Refusal('c0', 0.0, '2')]
    worker.runs = [make_timed_run(call) for call in list(calls.values())[1:]]
    assert len(list(check_pauses(calls, worker))) == violations


@pytest.mark.parametrize(('requests', 'excused', 'violations'), [(18, False, 1), (17, False, 0), (18, True, 0)])
def test_requests_beyond_the_limit_of_a_worker_are_detected(requests, excused, violations):
    worker = PlatformWorker('w1', 'ledger', '127.0.0.1', 1)
    calls = {f'c{number}': make_timed_call(f'c{number}', 4 + number / 10) for number in range(requests)}
    calls['first'] = make_timed_call('first', 0.0)
    worker.runs = [make_timed_run(call) for call in calls.values()]
    worker.runs[-1].stated_limit = '2'
    stated = StatedLimit(worker, 1, 2.0, begins_at=0.0)
    assert len(list(check_limits(calls, stated, lambda *period: excused))) == violations


def test_refusal_of_a_prompt_that_crashes_no_worker_is_a_violation():
    refused = make_call('/draft/x', 400, b'')
    refused.request_id = 'call-30'
    assert find_violations(refused) == []
    refused.request_id = 'call-16'
    assert len(find_violations(refused)) == 1


@pytest.mark.parametrize(('late_runs', 'violations'), [(3, 0), (4, 1)])
def test_requests_that_reach_workers_long_after_the_fifth_crash_are_a_violation(tmp_path, late_runs, violations):
    site = SoakSite(tmp_path)
    worker = PlatformWorker('m1', MODEL_SERVICE, '127.0.0.1', 9, model='base')
    worker.crashed_at = [float(at) for at in range(5)]
    prefix = {'tamarackfield-prompt-prefix': f'{CRASHING_PART}:1,own:1'}
    worker.runs = [Run('call-30', 'POST', '/draft/x', prefix, b'', 'm1', 7.1 + at) for at in range(late_runs)]
    site.workers['m1'] = worker
    check_late_runs(site, ('entry_killed',))
    assert len(site.violations) == violations


@pytest.mark.parametrize(('sent_at', 'excused', 'violations'), [(2.1, False, 1), (1.9, False, 0), (2.1, True, 0)])
def test_refusal_by_a_configuration_that_is_no_longer_due_is_a_violation(sent_at, excused, violations):
    probe = Probe('c1', 'front-1', 1, 7, sent_at, sent_at, 404)
    assert len(list(check_applied([probe], {7: 0.0}, lambda *period: excused))) == violations


async def test_changes_are_in_force_in_time_beside_silences_of_the_store(tmp_path):
    soak = await run_soak(tmp_path, 5, 12.0, 4, Series.OUTAGES)
    assert soak.site.violations == []
    assert any(incident.name == 'store_silent' for incident in soak.site.incidents)


# Guards against: a signal ends a process that starts or stops, by its default action.
async def test_processes_restart_amid_signals_and_stop_with_zero(tmp_path):
    soak = await run_soak(tmp_path, 3, 6.0, 4, Series.SIGNALS)
    assert soak.site.violations == []
    assert any('stopped' in incident.name for incident in soak.site.incidents)


def test_calls_of_the_crashing_request_are_one_request():
    # Guards against calls that the quarantine cannot know as one request, as their prompts share no further part.
    caller = Caller(('127.0.0.1', 1), random.Random(1))
    calls = [Call(f'call-{number}', '/draft/x', 'front-1', 1, 0.0, 5.0, query='?crashing1') for number in (13, 26, 39)]
    headers = [dict(caller.make_request(call).headers) for call in calls]
    assert len({fields[b'tamarackfield-model'] for fields in headers}) == 1
    prompts = [fields[b'tamarackfield-prompt-prefix'].decode().split(',') for fields in headers]
    assert len({tuple(parts[:-1]) for parts in prompts}) == 1
    assert [parts[-1] for parts in prompts] == [f'{call.request_id}:10' for call in calls]
