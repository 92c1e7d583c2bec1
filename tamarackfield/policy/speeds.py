"""Relative speed of the targets of one service, as seen from their work.

Load pattern: some engines read and generate two or three times as fast as others, and nobody says which. If
each is the home of as many adapters, the slow ones get more than they can run without pauses while the fast
ones have room. An engine is the home of adapters in proportion to its speed; a change that is not clear
leaves the homes as they are, since every home that moves has its adapters fetched anew.
"""

import statistics
from collections.abc import Mapping

#: Bounds of a relative speed, so that one odd time moves no more than a part of the homes.
LEAST_SPEED = 0.25
MOST_SPEED = 4.0
#: Factor by which a speed must differ from the one in use to replace it.
CLEAR_FACTOR = 1.4


def settle_speeds(before: Mapping[str, float], token_seconds: Mapping[str, float]) -> dict[str, float]:
    """Return the speed of each target relative to the median one.

    Parameters
    ----------
    before : mapping
        Speeds in use, by target.
    token_seconds : mapping
        Time in which each target reads a token of a prompt; 0 if it does not say.

    Returns
    -------
    dict
        One speed for each target in ``token_seconds``.

    Examples
    --------
    >>> settle_speeds({}, {'a': 0.00005, 'b': 0.00005, 'c': 0.00002, 'd': 0.0})
    {'a': 1.0, 'b': 1.0, 'c': 2.5, 'd': 1.0}
    >>> settle_speeds({'c': 2.0}, {'a': 0.00005, 'b': 0.00005, 'c': 0.00002})['c']
    2.0
    """
    known = [seconds for seconds in token_seconds.values() if seconds > 0]
    if not known:
        return {name: before.get(name, 1.0) for name in token_seconds}
    median = statistics.median(known)
    return {
        name: _settle(before.get(name, 1.0), median / seconds if seconds > 0 else 1.0)
        for name, seconds in token_seconds.items()
    }


def _settle(in_use: float, seen: float) -> float:
    bounded = min(MOST_SPEED, max(LEAST_SPEED, seen))
    if 1 / CLEAR_FACTOR < bounded / in_use < CLEAR_FACTOR:
        return in_use
    return round(bounded, 1)
