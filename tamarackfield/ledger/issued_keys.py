"""Idempotency keys issued by an entry: each names its home target and the incarnation that may run it.

A key that names an incarnation cannot have been used before that incarnation started. A key that
names the current incarnation of its home target and has no record there therefore never ran.
"""

import secrets
from dataclasses import dataclass

#: Prefix of every issued key; caller-chosen keys must not start with it.
ISSUED_PREFIX = 'home:'
_RANDOM_BYTES = 12
_HEX_BASE = 16


class IssuedKeyError(ValueError):
    """The text has the prefix of issued keys but is malformed."""


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """Fields of an issued key.

    Parameters
    ----------
    target : str
        Home target of the key for as long as the key is valid.
    incarnation : int
        Incarnation of the sidecar of the home target when the key was issued.
    uptime_ms : int
        Age of that incarnation when the key was issued, in milliseconds.
    nonce : str
        Random hexadecimal text that makes the key unique.
    """

    target: str
    incarnation: int
    uptime_ms: int
    nonce: str

    def __str__(self) -> str:
        """Return the key as callers send it."""
        return f'{ISSUED_PREFIX}{self.target}:{self.incarnation:x}:{self.uptime_ms:x}:{self.nonce}'


def issue_key(target: str, incarnation: int, uptime_ms: int) -> IssuedKey:
    """Return a new unique key.

    Parameters
    ----------
    target : str
        Home target of the key.
    incarnation : int
        Incarnation of the sidecar of the home target.
    uptime_ms : int
        Age of that incarnation, in milliseconds. It must not exceed the true age, because the key would
        count as expired until that age is reached.
    """
    return IssuedKey(target, incarnation, uptime_ms, secrets.token_hex(_RANDOM_BYTES))


def parse_issued_key(text: str) -> IssuedKey | None:
    """Parse an issued idempotency key.

    Parameters
    ----------
    text : str
        Idempotency key as the caller sent it.

    Returns
    -------
    IssuedKey or None
        None for a key that the caller chose.

    Raises
    ------
    IssuedKeyError
        If the key has the prefix of issued keys and is malformed.

    Examples
    --------
    >>> parse_issued_key('booking-17') is None
    True
    >>> parse_issued_key('home:t1:ff:10:ab')
    IssuedKey(target='t1', incarnation=255, uptime_ms=16, nonce='ab')
    """
    if not text.startswith(ISSUED_PREFIX):
        return None
    parts = text.removeprefix(ISSUED_PREFIX).split(':')
    try:
        target, incarnation, uptime_ms, nonce = parts
        key = IssuedKey(target, int(incarnation, _HEX_BASE), int(uptime_ms, _HEX_BASE), nonce)
    except ValueError:
        raise IssuedKeyError(f'{text!r} is not a key that was issued here') from None
    if str(key) != text or min(key.incarnation, key.uptime_ms) < 0:
        raise IssuedKeyError(f'{text!r} is not a key that was issued here')
    return key
