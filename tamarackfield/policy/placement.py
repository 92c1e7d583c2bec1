"""Rendezvous hashing: every process that knows the same targets makes the same choice."""

import math
from collections.abc import Iterable

import xxhash

#: Bits of the hash.
HASH_BITS = 64
_HASH_RANGE = float(1 << HASH_BITS)


def _score(key: str, target: str, speed: float) -> float:
    uniform = (xxhash.xxh64_intdigest(f'{key}|{target}'.encode()) + 1) / (_HASH_RANGE + 2)
    return -speed / math.log(uniform)


def rendezvous_order(key: str, speeds: dict[str, float]) -> list[str]:
    """Order targets for a key, faster targets first more often.

    Parameters
    ----------
    key : str
        What is placed, such as an adapter reference.
    speeds : dict
        Relative speed by target.

    Returns
    -------
    list of str
        All targets; removing one leaves the order of the others unchanged.

    Examples
    --------
    >>> order = rendezvous_order('notes@v1', {'a': 1.0, 'b': 1.0, 'c': 1.0})
    >>> sorted(order)
    ['a', 'b', 'c']
    >>> rendezvous_order('notes@v1', {'a': 1.0, 'b': 1.0}) == [name for name in order if name != 'c']
    True

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """
    return sorted(speeds, key=lambda target: (-_score(key, target, speeds[target]), target))


def home_target(key: str, targets: Iterable[str]) -> str | None:
    """Return the one target at which a non-idempotent key may run.

    Parameters
    ----------
    key : str
        Caller and idempotency key.
    targets : iterable of str
        The targets in the bundle, live or not.

    Returns
    -------
    str or None
        None if there is no target.

    Examples
    --------
    >>> home_target('clinic|booking-17', ['t2', 't1']) == home_target('clinic|booking-17', ['t1', 't2'])
    True
    """
    order = rendezvous_order(key, dict.fromkeys(targets, 1.0))
    return order[0] if order else None
