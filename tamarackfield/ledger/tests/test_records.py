"""Limits of the ledger, parsing of issued keys, and classification of keys without a record under a simulated clock."""

import pytest

from tamarackfield.core import Clock
from tamarackfield.ledger import (
    Answer,
    Coverage,
    IssuedKeyError,
    Ledger,
    LedgerFullError,
    Proof,
    RecordState,
    issue_key,
    parse_issued_key,
)

HORIZON_SECONDS = 100.0


def test_full_ledger_refuses_new_keys_and_evicts_no_live_record():
    ledger = Ledger(max_records=2)
    ledger.admit('a', b'', 10, 0)
    ledger.admit('b', b'', 20, 0)
    with pytest.raises(LedgerFullError) as caught:
        ledger.admit('c', b'', 30, 5)
    assert caught.value.retry_at == 10
    assert ledger.find_record('a', 5) is not None


def test_key_bytes_stay_within_the_limit():
    ledger = Ledger(max_key_bytes=5)
    ledger.admit('four', b'', 10, 0)
    with pytest.raises(LedgerFullError):
        ledger.admit('ab', b'', 10, 0)
    ledger.withdraw('four')
    ledger.admit('ab', b'', 10, 0)


def test_answer_above_the_byte_limit_leaves_the_key_answered():
    ledger = Ledger(max_answer_bytes=3)
    ledger.admit('a', b'', 10, 0)
    ledger.mark_dispatched('a')
    ledger.store_answer('a', Answer(200, [], b'long'))
    record = ledger.find_record('a', 1)
    assert (record.state, record.answer) == (RecordState.ANSWERED, None)


def test_record_of_call_in_progress_outlasts_the_horizon():
    ledger = Ledger()
    ledger.admit('a', b'', 10, 0)
    ledger.mark_dispatched('a')
    ledger.admit('b', b'', 1000, 500)
    assert ledger.find_record('a', 500) is not None
    ledger.store_answer('a', Answer(200, [], b''))
    ledger.drop_expired(501)
    assert ledger.find_record('a', 501) is None


def test_key_is_never_handed_over_to_two_incarnations():
    ledger = Ledger()
    assert ledger.hand_over('a', 't2:1', 10, 0)
    assert ledger.hand_over('a', 't2:1', 10, 1)
    assert not ledger.hand_over('a', 't2:2', 10, 1)
    ledger.admit('b', b'', 10, 0)
    assert not ledger.hand_over('b', 't2:1', 10, 0)


def make_coverage(**options):
    """Return the coverage of the only target of a service."""
    return Coverage('t1', 7, 1000.0, HORIZON_SECONDS, frozenset(('t1',)), **options)


@pytest.mark.parametrize(
    ('now', 'declared', 'proof', 'retry_at'),
    [
        (1000, False, 'earlier_incarnation', 1100),
        (1099, False, 'earlier_incarnation', 1100),
        (1000, True, 'never_ran', 0),
    ],
)
def test_restarted_home_runs_no_caller_chosen_key_before_the_horizon(now, declared, proof, retry_at):
    proof_result = make_coverage(first_start_declared=declared).classify_key('clinic', 'pit-1', now)
    assert proof_result.proof is Proof(proof)
    assert proof_result.retry_at == retry_at


def test_restarted_home_runs_caller_chosen_keys_after_the_horizon():
    assert make_coverage().classify_key('clinic', 'pit-1', 1100).proof is Proof.NEVER_RAN


@pytest.mark.parametrize(
    ('incarnation', 'uptime_ms', 'proof'),
    [(7, 4_000, 'never_ran'), (6, 4_000, 'earlier_incarnation'), (7, 6_000, 'expired'), (7, 0, 'never_ran')],
)
def test_issued_key_is_proof_only_for_its_own_incarnation(incarnation, uptime_ms, proof):
    key = str(issue_key('t1', incarnation, uptime_ms))
    assert make_coverage().classify_key('clinic', key, 1005.0).proof is Proof(proof)


def test_issued_key_expires_with_the_horizon():
    key = str(issue_key('t1', 7, 0))
    assert make_coverage().classify_key('clinic', key, 1100.0).proof is Proof.EXPIRED


def test_issued_key_parses_back_and_malformed_keys_are_refused():
    key = issue_key('zone/t1', 7, 12)
    assert parse_issued_key(str(key)) == key
    for text in ('home:', 'home:t1:7', 'home:t1:zz:0:0', 'home:t1:+7:0:0', 'home:t1:7:-1:0'):
        with pytest.raises(IssuedKeyError):
            parse_issued_key(text)


def test_missed_bundle_leaves_keys_unproved_until_the_horizon():
    coverage = make_coverage(first_start_declared=True)
    coverage.apply_targets(frozenset(('t1', 't2')), 1, 1000.0)
    coverage.apply_targets(frozenset(('t1',)), 3, 1001.0)
    proof_result = coverage.classify_key('clinic', 'pit-1', 1002.0)
    assert (proof_result.proof, proof_result.earlier_homes) == (Proof.EARLIER_HOME, ())
    assert coverage.classify_key('clinic', 'pit-1', 1101.0).proof is Proof.NEVER_RAN


def test_wall_clock_step_does_not_change_the_proof():
    steps = iter((5_000, 9_000_000, -9_000_000))
    clock = Clock(monotonic=lambda: 1050.0, unix_ms=lambda: next(steps))
    proof_results = set()
    for _ in range(3):
        clock.unix_ms()
        proof_results.add(make_coverage().classify_key('clinic', 'pit-1', clock.monotonic()))
    assert len(proof_results) == 1
