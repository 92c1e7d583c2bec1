"""Consistent-hash ring: the order of targets for a key, found without looking at all of them."""

import bisect
import itertools
from collections.abc import Iterator

import xxhash

#: Points on the ring of a target of speed 1.
POINTS = 32


class Ring:
    """Immutable order of targets, faster ones on more points.

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
        """Place every target's points."""
        points = sorted(
            (xxhash.xxh64_intdigest(f'{name}|{index}'.encode()), name)
            for name, speed in speeds.items()
            for index in range(max(1, round(POINTS * speed)))
        )
        self.hashes = [point for point, _ in points]
        self.names = [name for _, name in points]
        self.count = len(speeds)

    def order(self, key: str) -> Iterator[str]:
        """Yield each target once, in the order of the key; stopping early costs nothing."""
        start = bisect.bisect(self.hashes, xxhash.xxh64_intdigest(key.encode()))
        seen: set[str] = set()
        turn = itertools.chain(range(start, len(self.names)), range(start))
        for name in map(self.names.__getitem__, turn):
            if name not in seen:
                seen.add(name)
                yield name
            if len(seen) == self.count:
                return
