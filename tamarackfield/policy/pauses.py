"""Pauses that targets ask for, and the return of callers after them.

Load pattern: in a burst, the targets of a service turn requests away and each names a time until which it wants
no more. Nothing is sent to a target before that time. While it holds for every target of the service, callers are
refused at once and told when to come back: not before the earliest end, and spread after it, so that the first
target that takes requests again does not get all of them together.
"""

import random
from collections.abc import Sequence

#: Longest pause in seconds; a longer one, or one without end, would outlast its cause.
MAX_PAUSE_SECONDS = 3600.0
#: Time over which callers return, as a share of the time until the earliest end, and its bounds in seconds.
RETURN_SPREAD_SHARE = 0.5
MIN_RETURN_SPREAD_SECONDS = 0.2
MAX_RETURN_SPREAD_SECONDS = 2.0


def extend_pause(paused_until: float, seconds: float, now: float) -> float:
    """Return the end of a pause after a further answer that asks for one; a shorter one does not shorten it.

    Parameters
    ----------
    paused_until : float
        End of the present pause in monotonic seconds.
    seconds : float
        Time for which the target wants no request, from ``now``.
    now : float
        Monotonic seconds.

    Examples
    --------
    >>> extend_pause(12.0, 5.0, 10.0), extend_pause(12.0, 1.0, 10.0)
    (15.0, 12.0)
    """
    return max(paused_until, now + min(seconds, MAX_PAUSE_SECONDS))


def draw_return_seconds(ends: Sequence[float], now: float, rng: random.Random) -> float:
    """Return after how many seconds a caller may come back when every target has asked for a pause.

    Parameters
    ----------
    ends : sequence of float
        Ends of the pauses in monotonic seconds.
    now : float
        Monotonic seconds.
    rng : random.Random
        Spreads the returns.
    """
    earliest = max(0.0, min(ends) - now)
    spread = min(max(RETURN_SPREAD_SHARE * earliest, MIN_RETURN_SPREAD_SECONDS), MAX_RETURN_SPREAD_SECONDS)
    return earliest + rng.uniform(0, spread)
