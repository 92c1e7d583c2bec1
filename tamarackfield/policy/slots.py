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
    """

    adapter: str
    last_used: float


Eviction = Callable[[Sequence[SlotUse], float], SlotUse]


def least_recently_used(idle: Sequence[SlotUse], now: float) -> SlotUse:
    """Return the adapter that was used longest ago.

    Examples
    --------
    >>> least_recently_used([SlotUse('a@1', 5.0), SlotUse('b@1', 3.0)], 9.0).adapter
    'b@1'
    """
    return min(idle, key=lambda use: (use.last_used, use.adapter))


#: Evictions by the name used in a bundle's ``policy.eviction``.
EVICTIONS: dict[str, Eviction] = {'lru': least_recently_used}
DEFAULT_EVICTION = 'lru'
