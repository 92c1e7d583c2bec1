"""The soak: a short run on a fixed seed, and checks that find what they are for."""

import pytest

from tamarackfield.testing.platform_site import RETRY_ALLOWANCE
from tamarackfield.testing.platform_worker import Run
from tamarackfield.testing.soak.callers import Call
from tamarackfield.testing.soak.main import run_soak
from tamarackfield.testing.soak.promises import Probe, check_call, check_probes, check_retries

EVENTS = 5
WHOLE = b''.join(b'id: %d\ndata: event %d\n\n' % (number, number) for number in range(1, EVENTS + 1))


#: Seeds that once failed, with the seconds and processes of their run.
FORMER_FAILURES = (
    # A program that stopped printed tracebacks for its open peer streams.
    (11, 6.0, 5),
    # An entry that told its facts to a sidecar whose stream had just closed stopped applying changes.
    (213, 10.0, 5),
)


def make_call(path='/look/x', status=200, body=b'w1 ran c1', whole=True, retry_after='1'):
    return Call('c1', path, 'front-1', 1, 100.0, 105.0, status=status, whole=whole, body=body, retry_after=retry_after)


def make_runs(*workers):
    return [(worker, Run('c1', 'POST', '/look/x', {}, b'', worker, 101.0)) for worker in workers]


def faults_of(call, *workers):
    return list(check_call(call, make_runs(*workers), EVENTS))


@pytest.mark.parametrize(('seed', 'seconds', 'processes'), FORMER_FAILURES)
async def test_promises_hold_under_overlapping_faults(tmp_path, seed, seconds, processes):
    soak = await run_soak(tmp_path, seed, seconds, processes)
    assert soak.site.violations == []
    assert soak.site.incidents
    assert any(call.is_answered() for call in soak.ledger.calls.values())


def test_sound_answers_pass():
    assert faults_of(make_call(), 'w1') == []
    assert faults_of(make_call('/summary/x', body=WHOLE), 'm1', 'm2') == []
    assert faults_of(make_call('/summary/x', body=WHOLE[:40], whole=False), 'm1') == []
    assert faults_of(make_call('/file/x', 503, b'')) == []


@pytest.mark.parametrize(
    ('call', 'workers'),
    [
        (make_call('/file/x'), ('w1', 'w1')),
        (make_call(), ('w1', 'w2', 'w3')),
        (make_call('/file/x', 503, b''), ('w1',)),
        (make_call('/file/x', 503, b'', retry_after=''), ()),
        (make_call(status=404), ()),
        (make_call(body=b'w1 ran another'), ('w1',)),
        (make_call('/summary/x', body=WHOLE[20:]), ('m1',)),
        (make_call('/summary/x', body=WHOLE + WHOLE), ('m1',)),
        (make_call('/draft/x', body=WHOLE[:-20]), ('m1',)),
    ],
)
def test_broken_promise_is_found(call, workers):
    assert faults_of(call, *workers)


def test_older_configuration_of_one_life_is_found():
    probes = [Probe('c1', 'front-1', 7, 3, 100.0, 101.0, 200), Probe('c2', 'front-1', 7, 2, 102.0, 103.0, 404)]
    assert list(check_probes(probes))
    probes[1].life = 8
    assert list(check_probes(probes)) == []


def test_repeats_beyond_the_allowance_are_found():
    first = [(100.0, f'c{number}') for number in range(RETRY_ALLOWANCE + 30)]
    requested = [100.0 for _ in range(100)]
    again = [(101.0, request_id) for _, request_id in first]
    assert list(check_retries(first + again[: RETRY_ALLOWANCE + 20], requested)) == []
    assert list(check_retries(first + again[: RETRY_ALLOWANCE + 21], requested))
