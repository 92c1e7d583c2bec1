"""Choice of the adapter that leaves an engine's slots."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(slots=True)
class SlotUse:
    """Use of one resident adapter that no request needs now.

    Parameters
    ----------
    adapter : str
        Adapter reference.
    last_used : float
        Monotonic seconds.
    frequency : float
        Decayed count of requests as of ``last_used``.
    """

    adapter: str
    last_used: float
    frequency: float = 0.0


#: Seconds after which a use counts half.
HALF_LIFE = 30.0

Eviction = Callable[[Sequence[SlotUse], float], SlotUse]


def least_recently_used(idle: Sequence[SlotUse], now: float) -> SlotUse:
    """Return the adapter that was used longest ago.

    Examples
    --------
    >>> least_recently_used([SlotUse('a@1', 5.0), SlotUse('b@1', 3.0)], 9.0).adapter
    'b@1'
    """
    return min(idle, key=lambda use: (use.last_used, use.adapter))


def decayed(frequency: float, last_used: float, now: float) -> float:
    """Return a count of uses as of now, each use counting half after `HALF_LIFE`.

    Examples
    --------
    >>> decayed(4.0, 100.0, 100.0 + HALF_LIFE)
    2.0
    """
    return frequency * 0.5 ** ((now - last_used) / HALF_LIFE)


def least_frequently_used(idle: Sequence[SlotUse], now: float) -> SlotUse:
    """Return the adapter with the least decayed count of uses.

    Examples
    --------
    >>> least_frequently_used([SlotUse('a@1', 5.0, 9.0), SlotUse('b@1', 6.0, 1.0)], 9.0).adapter
    'b@1'
    """
    return min(idle, key=lambda use: (decayed(use.frequency, use.last_used, now), use.last_used, use.adapter))


#: Evictions by the name used in a bundle's ``policy.eviction``.
EVICTIONS: dict[str, Eviction] = {'lru': least_recently_used, 'lfu': least_frequently_used}
DEFAULT_EVICTION = 'lru'
