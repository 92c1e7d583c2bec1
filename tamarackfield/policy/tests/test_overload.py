"""Replay of entries that share callers evenly while one of them is slow."""

import random

from tamarackfield.policy.overload import Overload

TICK_SECONDS = 0.25
ENTRIES = 4
#: Requests that an entry can handle in a second, and a slow one.
CAPACITY = 60.0
SLOW_CAPACITY = 10.0
RATE = 80.0
SLOW_FROM = 5.0
SLOW_UNTIL = 15.0
SECONDS = 30.0
#: Seconds of backlog with which a request is late.
LATE_SECONDS = 0.8


def capacity(index, now):
    """Return what an entry can handle in a second; the first one is slow for a while."""
    slow = index == 0 and SLOW_FROM <= now < SLOW_UNTIL
    return SLOW_CAPACITY if slow else CAPACITY


def replay(sheds):
    """Return the late requests of all, and the seconds in which each entry was out."""
    rng = random.Random(3)
    overloads = [Overload() for _ in range(ENTRIES)]
    backlogs = [0.0 for _ in range(ENTRIES)]
    out = [0.0 for _ in range(ENTRIES)]
    late = 0
    for step in range(round(SECONDS / TICK_SECONDS)):
        now = 100.0 + step * TICK_SECONDS
        ready = [index for index in range(ENTRIES) if not (sheds and overloads[index].is_shedding())]
        for _ in range(round(RATE * TICK_SECONDS)):
            index = rng.choice(ready)
            late += backlogs[index] / capacity(index, now - 100.0) > LATE_SECONDS
            backlogs[index] += 1
        for index, overload in enumerate(overloads):
            handled = capacity(index, now - 100.0)
            backlogs[index] = max(0.0, backlogs[index] - handled * TICK_SECONDS)
            overload.note_lag(backlogs[index] / handled, now)
            out[index] += TICK_SECONDS * overload.is_shedding()
    return late, out


def test_slow_entry_sheds_its_callers_and_takes_them_back():
    late_before, _ = replay(sheds=False)
    late, out = replay(sheds=True)
    assert late_before > 150
    assert late < late_before / 3
    assert out[0] < SLOW_UNTIL - SLOW_FROM + 10
    assert out[1:] == [0, 0, 0]


def test_short_lag_sheds_nobody():
    overload = Overload()
    for now, lag in ((10.0, 0.9), (10.5, 0.9), (10.75, 0.0), (11.0, 0.9), (11.9, 0.9)):
        assert not overload.note_lag(lag, now)
    assert not overload.is_shedding()


def test_lag_that_comes_back_at_once_sheds_for_longer():
    overload = Overload()
    times = []
    now = 10.0
    for _ in range(3):
        while not overload.note_lag(0.5, now):
            now += TICK_SECONDS
        begun = now
        while not overload.note_lag(0.0, now):
            now += TICK_SECONDS
        times.append(now - begun)
    assert times[0] < times[1] < times[2]
