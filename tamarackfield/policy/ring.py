"""Consistent-hash ring: the order of targets for a key, found without visiting all of them."""

import bisect
import itertools
from collections.abc import Iterator

import xxhash

#: Points on the ring of a target of relative speed 1.
POINTS_PER_UNIT_SPEED = 32


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
