"""Replay of calls over pooled connections to a target that drops idle connections early."""

import random

import pytest

from tamarackfield.policy.idle_limits import IdleLimit

#: Idle seconds after which the target drops a connection, and after which the pool closes it at the latest.
TARGET_IDLE_TIMEOUT_SECONDS = 0.3
MAX_IDLE_SECONDS = 1.5
CALLS_PER_SECOND = 3.0
REPLAY_SECONDS = 60.0


def replay_calls(seed, adaptive):
    """Return the number of reset calls and of all calls to one target, with one connection at a time."""
    rng = random.Random(seed)
    idle_limit = IdleLimit()
    now, used_at, resets, calls = 100.0, 0.0, 0, 0
    while now < 100.0 + REPLAY_SECONDS:
        now += rng.expovariate(CALLS_PER_SECOND)
        idle_seconds = now - used_at
        used_at = now
        calls += 1
        safe_seconds = min(MAX_IDLE_SECONDS, idle_limit.current_seconds(now)) if adaptive else MAX_IDLE_SECONDS
        if TARGET_IDLE_TIMEOUT_SECONDS < idle_seconds < safe_seconds:
            resets += 1
            idle_limit.record_reset(idle_seconds, now)
    return resets, calls


def test_target_that_drops_idle_connections_loses_few_calls():
    lost, calls = map(sum, zip(*(replay_calls(seed, adaptive=True) for seed in range(20)), strict=True))
    lost_without_limit, _ = map(sum, zip(*(replay_calls(seed, adaptive=False) for seed in range(20)), strict=True))
    assert lost_without_limit > calls / 5
    assert lost < lost_without_limit / 4


def test_reset_lowers_the_limit_only_if_the_new_limit_is_smaller():
    idle_limit = IdleLimit()
    assert idle_limit.record_reset(1.0, now=10.0)
    assert not idle_limit.record_reset(1.0, now=10.0)
    assert idle_limit.record_reset(0.4, now=10.0)
    assert idle_limit.current_seconds(10.0) == pytest.approx(0.2)


def test_long_uptime_does_not_overflow_the_idle_limit():
    idle_limit = IdleLimit()
    year_seconds = 365 * 24 * 3600.0
    assert idle_limit.current_seconds(year_seconds) > MAX_IDLE_SECONDS
    assert idle_limit.record_reset(1.0, now=10.0)
    assert idle_limit.current_seconds(year_seconds) > MAX_IDLE_SECONDS
