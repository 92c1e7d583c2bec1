"""Replay of calls over kept connections that half of the targets forget early."""

import random

import pytest

from tamarackfield.policy.idle_times import TrustedRest

#: Seconds after which a target forgets a connection, and for which one is kept at the most.
FORGOTTEN_SECONDS = 0.3
KEPT_SECONDS = 1.5
CALLS_PER_SECOND = 3.0
SECONDS = 60.0


def play(seed, learns):
    """Return the calls that were reset and all calls to one target over one connection at a time."""
    rng = random.Random(seed)
    rest = TrustedRest()
    now, used_at, resets, calls = 100.0, 0.0, 0, 0
    while now < 100.0 + SECONDS:
        now += rng.expovariate(CALLS_PER_SECOND)
        rested = now - used_at
        used_at = now
        calls += 1
        trusted = min(KEPT_SECONDS, rest.longest(now)) if learns else KEPT_SECONDS
        if FORGOTTEN_SECONDS < rested < trusted:
            resets += 1
            rest.note_reset(rested, now)
    return resets, calls


def test_forgetful_target_costs_few_calls():
    lost, calls = map(sum, zip(*(play(seed, learns=True) for seed in range(20)), strict=True))
    lost_before, _ = map(sum, zip(*(play(seed, learns=False) for seed in range(20)), strict=True))
    assert lost_before > calls / 5
    assert lost < lost_before / 4


def test_rest_that_is_no_shorter_than_the_trusted_one_lowers_it_and_a_longer_one_does_not():
    rest = TrustedRest()
    assert rest.note_reset(1.0, now=10.0)
    assert not rest.note_reset(1.0, now=10.0)
    assert rest.note_reset(0.4, now=10.0)
    assert rest.longest(10.0) == pytest.approx(0.2)


def test_any_uptime_of_a_machine_gives_a_time():
    rest = TrustedRest()
    year = 365 * 24 * 3600.0
    assert rest.longest(year) > KEPT_SECONDS
    assert rest.note_reset(1.0, now=10.0)
    assert rest.longest(year) > KEPT_SECONDS
