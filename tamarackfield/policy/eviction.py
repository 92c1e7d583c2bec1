"""Choice of the adapter to evict from an engine's slots."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(slots=True)
class IdleAdapter:
    """A resident adapter that no request needs now.

    Parameters
    ----------
    adapter : str
        Adapter reference.
    last_used_at : float
        Time of the last use in monotonic seconds.
    """

    adapter: str
    last_used_at: float


EvictionPolicy = Callable[[Sequence[IdleAdapter], float], IdleAdapter]


def choose_least_recently_used(idle: Sequence[IdleAdapter], now: float) -> IdleAdapter:
    """Return the least recently used adapter.

    Examples
    --------
    >>> choose_least_recently_used([IdleAdapter('a@1', 5.0), IdleAdapter('b@1', 3.0)], 9.0).adapter
    'b@1'
    """
    return min(idle, key=lambda item: (item.last_used_at, item.adapter))


#: Eviction policies by their name in a bundle's ``policy.eviction``.
EVICTION_POLICIES: dict[str, EvictionPolicy] = {'lru': choose_least_recently_used}
DEFAULT_EVICTION = 'lru'
