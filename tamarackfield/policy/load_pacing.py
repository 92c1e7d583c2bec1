"""Pacing of adapter loads: how many loads one engine has in progress while all engines share the weight store.

Load pattern: every engine loads many adapters at once, as after a loss of power. The weight store serves a limited
number of loads at full speed, and each load takes longer in proportion beyond it. With more loads in progress none of
them ends sooner, but the first ones end later: their requests miss their objectives, and then all prompts are
prefilled at once. An engine starts with few concurrent loads, adds one after each load at full speed, and falls back
when a load was slow.
"""

from dataclasses import dataclass

from tamarackfield.policy.residency import MAX_CONCURRENT_LOADS

#: Smallest limit of concurrent loads; with one, an engine would idle between two loads.
MIN_CONCURRENT_LOADS = 2
#: Duration of a load at full speed, in seconds, from the engines' contract.
FULL_SPEED_SECONDS = 0.25
#: Multiple of that duration from which a load was slowed down by others; below it, the time between two readings of the
#: engine's state explains the difference.
SLOW_FACTOR = 1.4
#: Fraction of that duration below which an adapter was still in the engine's memory, which says nothing of the store.
RELOAD_FACTOR = 0.5


def is_reload(seconds: float) -> bool:
    """Return whether a load was so short that the adapter came from the engine's memory."""
    return seconds <= RELOAD_FACTOR * FULL_SPEED_SECONDS


@dataclass(slots=True)
class LoadPacer:
    """Limit of the concurrent adapter loads of one engine.

    Examples
    --------
    >>> pacer = LoadPacer()
    >>> for seconds in (0.25, 0.27, 0.25):
    ...     pacer.record_load(seconds)
    >>> pacer.limit
    4
    >>> pacer.record_load(0.75)
    >>> pacer.limit
    2
    """

    limit: int = MIN_CONCURRENT_LOADS

    def record_load(self, seconds: float) -> None:
        """Adapt the limit to the duration of a load."""
        if seconds > SLOW_FACTOR * FULL_SPEED_SECONDS:
            self.limit = MIN_CONCURRENT_LOADS
        elif not is_reload(seconds):
            self.limit = min(MAX_CONCURRENT_LOADS, self.limit + 1)
