"""Rendezvous hashing: all processes that know the same targets make the same choice."""

import math
from collections.abc import Iterable

import xxhash

#: Size of the hash in bits.
HASH_BITS = 64
_HASH_RANGE = float(1 << HASH_BITS)


def _score(key: str, target: str, speed: float) -> float:
    uniform = (xxhash.xxh64_intdigest(f'{key}|{target}'.encode()) + 1) / (_HASH_RANGE + 2)
    return -speed / math.log(uniform)


def rendezvous_order(key: str, speeds: dict[str, float]) -> list[str]:
    """Return the targets in the rendezvous order of a key; a faster target comes first for more keys.

    Parameters
    ----------
    key : str
        Key for which targets are ordered, such as an adapter reference.
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
    """Return the home target of a key: the only target at which a non-idempotent request with it may run.

    Parameters
    ----------
    key : str
        Caller and idempotency key.
    targets : iterable of str
        Targets in the bundle, reachable or not.

    Returns
    -------
    str or None
        Target, or None if there is none.

    Examples
    --------
    >>> home_target('clinic|booking-17', ['t2', 't1']) == home_target('clinic|booking-17', ['t1', 't2'])
    True
    """
    order = rendezvous_order(key, dict.fromkeys(targets, 1.0))
    return order[0] if order else None
