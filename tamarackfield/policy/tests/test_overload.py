"""Replay of entries that share callers evenly while one of them is slow."""

import random

from tamarackfield.policy.overload import OverloadDetector

TICK_SECONDS = 0.25
ENTRIES = 4
#: Requests per second that an entry handles, normally and while it is slow.
REQUESTS_HANDLED_PER_SECOND = 60.0
SLOW_REQUESTS_HANDLED_PER_SECOND = 10.0
REQUESTS_PER_SECOND = 80.0
SLOW_FROM_SECONDS = 5.0
SLOW_UNTIL_SECONDS = 15.0
REPLAY_SECONDS = 30.0
#: Backlog in seconds above which a request is late.
LATE_SECONDS = 0.8


def capacity(index, now):
    """Return the requests per second that an entry handles; entry 0 is slow for a while."""
    slow = index == 0 and SLOW_FROM_SECONDS <= now < SLOW_UNTIL_SECONDS
    return SLOW_REQUESTS_HANDLED_PER_SECOND if slow else REQUESTS_HANDLED_PER_SECOND


def replay(shedding_enabled):
    """Return the number of late requests, and the seconds for which each entry shed its callers."""
    rng = random.Random(3)
    overloads = [OverloadDetector() for _ in range(ENTRIES)]
    backlogs = [0.0 for _ in range(ENTRIES)]
    shed_seconds = [0.0 for _ in range(ENTRIES)]
    late = 0
    for step in range(round(REPLAY_SECONDS / TICK_SECONDS)):
        now = 100.0 + step * TICK_SECONDS
        ready = [index for index in range(ENTRIES) if not (shedding_enabled and overloads[index].is_shedding())]
        for _ in range(round(REQUESTS_PER_SECOND * TICK_SECONDS)):
            index = rng.choice(ready)
            late += backlogs[index] / capacity(index, now - 100.0) > LATE_SECONDS
            backlogs[index] += 1
        for index, overload in enumerate(overloads):
            handled = capacity(index, now - 100.0)
            backlogs[index] = max(0.0, backlogs[index] - handled * TICK_SECONDS)
            overload.record_lag(backlogs[index] / handled, now)
            shed_seconds[index] += TICK_SECONDS * overload.is_shedding()
    return late, shed_seconds


def test_slow_entry_does_not_make_its_callers_late():
    late_without_shedding, _ = replay(shedding_enabled=False)
    late, shed_seconds = replay(shedding_enabled=True)
    assert late_without_shedding > 150
    assert late < late_without_shedding / 3
    assert shed_seconds[0] < SLOW_UNTIL_SECONDS - SLOW_FROM_SECONDS + 10
    assert shed_seconds[1:] == [0, 0, 0]


def test_short_lag_does_not_start_shedding():
    overload = OverloadDetector()
    for now, lag in ((10.0, 0.9), (10.5, 0.9), (10.75, 0.0), (11.0, 0.9), (11.9, 0.9)):
        assert not overload.record_lag(lag, now)
    assert not overload.is_shedding()


def test_repeated_overload_lengthens_the_shedding_period():
    overload = OverloadDetector()
    shed_periods = []
    now = 10.0
    for _ in range(3):
        while not overload.record_lag(0.5, now):
            now += TICK_SECONDS
        shed_started_at = now
        while not overload.record_lag(0.0, now):
            now += TICK_SECONDS
        shed_periods.append(now - shed_started_at)
    assert shed_periods[0] < shed_periods[1] < shed_periods[2]
