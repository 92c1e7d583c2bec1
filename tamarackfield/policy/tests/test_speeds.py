"""Replay of engines of unequal speed that share thousands of rarely used adapters."""

from tamarackfield.policy import Ring
from tamarackfield.policy.speeds import settle_speeds
from tamarackfield.policy.tests.test_prompt_choice import Engines, replay

SLOW = ('t0', 't1', 't2', 't3')
#: Requests per second of which the slow engines can read only their part by speed.
RATE = 50


def draw_rare(rng):
    """Return an adapter that few requests name."""
    return f'm/{rng.randrange(10_000)}'


def test_homes_by_speed_keep_more_first_events_in_time():
    equal = replay(Engines(SLOW), draw_rare, RATE)
    engines = Engines(SLOW)
    engines.ring = Ring(settle_speeds({}, engines.token_seconds))
    assert replay(engines, draw_rare, RATE) > equal + 5


def test_speed_that_wavers_leaves_the_homes_as_they_are():
    speeds = settle_speeds({}, {'a': 0.00005, 'b': 0.00005, 'c': 0.00002})
    for seconds in (0.000018, 0.000024, 0.000021):
        again = settle_speeds(speeds, {'a': 0.00005, 'b': 0.000055, 'c': seconds})
        assert again == speeds


def test_target_that_says_nothing_counts_as_usual():
    assert settle_speeds({}, {'a': 0.0, 'b': 0.0}) == {'a': 1.0, 'b': 1.0}
