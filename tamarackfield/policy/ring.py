"""Orders of names for a key that many processes agree on: a consistent-hash ring, and rendezvous hashing."""

import bisect
import itertools
from collections.abc import Iterable, Iterator

import xxhash

#: Points on the ring of a target of relative speed 1.
POINTS_PER_UNIT_SPEED = 32


def order_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return names in an order that depends on the key, and on no other name than the two compared [1]_.

    Examples
    --------
    >>> order_by_rendezvous('target-1', ('a', 'b', 'c')), order_by_rendezvous('target-2', ('a', 'b', 'c'))
    (['a', 'c', 'b'], ['c', 'a', 'b'])

    References
    ----------
    .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """
    return sorted(names, key=lambda name: xxhash.xxh64_intdigest(f'{key}|{name}'.encode()))


class Ring:
    """Immutable consistent-hash ring; a target has points in proportion to its speed.

    Parameters
    ----------
    speeds : dict
        Relative speed by target.

    Examples
    --------
    >>> ring = Ring({'a': 1.0, 'b': 1.0, 'c': 2.0})
    >>> sorted(ring.order('notes@v1'))
    ['a', 'b', 'c']
    >>> without = [name for name in ring.order('notes@v1') if name != 'b']
    >>> list(Ring({'a': 1.0, 'c': 2.0}).order('notes@v1')) == without
    True

    References
    ----------
    .. [1] D. Karger and others, "Consistent hashing and random trees", 1997.
    """

    def __init__(self, speeds: dict[str, float]) -> None:
        """Hash the points of every target."""
        points = sorted(
            (xxhash.xxh64_intdigest(f'{name}|{index}'.encode()), name)
            for name, speed in speeds.items()
            for index in range(max(1, round(POINTS_PER_UNIT_SPEED * speed)))
        )
        self.hashes = [point for point, _ in points]
        self.names = [name for _, name in points]
        self.target_count = len(speeds)

    def order(self, key: str) -> Iterator[str]:
        """Yield each target once in the ring order of the key; only the part that is iterated is searched."""
        start = bisect.bisect(self.hashes, xxhash.xxh64_intdigest(key.encode()))
        seen: set[str] = set()
        clockwise = itertools.chain(range(start, len(self.names)), range(start))
        for name in map(self.names.__getitem__, clockwise):
            if name not in seen:
                seen.add(name)
                yield name
            if len(seen) == self.target_count:
                return
