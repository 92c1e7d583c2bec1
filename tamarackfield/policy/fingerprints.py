"""Fingerprints of whole requests, equal for requests that ask for the same."""

import hashlib
from collections.abc import Iterable

#: Begins each fingerprint. Ids of prompt parts have no comma, so that the two cannot be confused.
PREFIX = 'request,'
_DIGEST_BYTES = 8


def make_fingerprint(fields: Iterable[bytes]) -> str:
    """Return the fingerprint of a request with some fields.

    Examples
    --------
    >>> make_fingerprint([b'GET', b'/a']) == make_fingerprint([b'GET', b'/a'])
    True
    >>> make_fingerprint([b'GET', b'/a']) == make_fingerprint([b'GET/', b'a'])
    False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        digest.update(b'%d:' % len(field))
        digest.update(field)
    return PREFIX + digest.hexdigest()


def is_fingerprint(part: str) -> bool:
    """Return whether a part is a whole request rather than a part of a prompt.

    Examples
    --------
    >>> is_fingerprint('request,00ff'), is_fingerprint('5c1e07a2')
    (True, False)
    """
    return part.startswith(PREFIX)
