"""Pauses of all targets in a burst: refused callers return after the earliest end, and not together."""

import collections
import math
import random

from tamarackfield.policy.pauses import MAX_PAUSE_SECONDS, MIN_RETURN_SPREAD_SECONDS, draw_return_seconds, extend_pause

CALLERS = 2000
PAUSE_SECONDS = 1.0
TARGETS = 5
#: Width of the intervals in which returns are counted, in seconds.
INTERVAL_SECONDS = 0.05


def replay_burst():
    """Refuse callers that arrive over the pause of all targets; return the times at which they come back."""
    rng = random.Random(1)
    ends = [PAUSE_SECONDS + 0.01 * target for target in range(TARGETS)]
    arrivals = [PAUSE_SECONDS * caller / CALLERS for caller in range(CALLERS)]
    return [now + draw_return_seconds(ends, now, rng) for now in arrivals]


def test_callers_refused_while_all_targets_pause_return_after_the_earliest_end():
    assert min(replay_burst()) >= PAUSE_SECONDS


def test_callers_refused_while_all_targets_pause_do_not_return_together():
    intervals = collections.Counter(int(at / INTERVAL_SECONDS) for at in replay_burst())
    fewest_intervals = MIN_RETURN_SPREAD_SECONDS / INTERVAL_SECONDS
    assert max(intervals.values()) <= 2 * CALLERS / fewest_intervals
    assert len(intervals) >= fewest_intervals


def test_pause_without_end_is_bounded():
    assert extend_pause(0.0, math.inf, 10.0) == 10.0 + MAX_PAUSE_SECONDS
