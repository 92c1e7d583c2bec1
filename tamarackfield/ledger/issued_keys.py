"""Idempotency keys that an entry issues: each names its home and the incarnation that may run it.

A key that names an incarnation cannot have been used before that incarnation started, so a home
that finds its own incarnation in an unseen key knows that the key never ran.
"""

import secrets
from dataclasses import dataclass

#: Start of every issued key; a caller's own keys may not start with it.
ISSUED_PREFIX = 'home:'
_RANDOM_BYTES = 12
_HEX_BASE = 16


class IssuedKeyError(ValueError):
    """The text starts like an issued key and is none."""


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """An issued key, taken apart.

    Parameters
    ----------
    target : str
        The key's home for as long as the key is valid.
    incarnation : int
        Of the home's sidecar when the key was issued.
    uptime_ms : int
        Age of that incarnation when the key was issued, in milliseconds.
    nonce : str
        Random text in hex.
    """

    target: str
    incarnation: int
    uptime_ms: int
    nonce: str

    def __str__(self) -> str:
        """Return the form that callers send."""
        return f'{ISSUED_PREFIX}{self.target}:{self.incarnation:x}:{self.uptime_ms:x}:{self.nonce}'


def issue_key(target: str, incarnation: int, uptime_ms: int) -> IssuedKey:
    """Return a key that was never issued before.

    Parameters
    ----------
    target : str
        Home of the key.
    incarnation : int
        Of the home's sidecar.
    uptime_ms : int
        Age of that incarnation, in milliseconds; never more than its true age.
    """
    return IssuedKey(target, incarnation, uptime_ms, secrets.token_hex(_RANDOM_BYTES))


def parse_issued_key(text: str) -> IssuedKey | None:
    """Take an idempotency key apart.

    Parameters
    ----------
    text : str
        As the caller sent it.

    Returns
    -------
    IssuedKey or None
        None for a key that the caller chose.

    Raises
    ------
    IssuedKeyError
        If the key starts like an issued key and is malformed.

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
