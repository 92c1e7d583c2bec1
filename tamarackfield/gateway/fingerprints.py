"""Fingerprints of requests: equal for requests of one caller that ask a target for the same."""

import hashlib

from tamarackfield.gateway.model import Call

#: Begins each fingerprint. Ids of prompt parts have no comma, so that the two cannot be confused.
PREFIX = 'request,'
#: Headers by which callers identify themselves, in lower case.
_CREDENTIAL_HEADERS = frozenset((b'authorization', b'cookie', b'x-api-key'))
_DIGEST_BYTES = 8


def make_fingerprint(call: Call) -> str:
    """Return the fingerprint of a request.

    Header lines other than those that identify the caller differ between attempts and are not compared.

    Examples
    --------
    >>> from tamarackfield.gateway.tests.samples import make_call
    >>> make_fingerprint(make_call('r1')) == make_fingerprint(make_call('r2'))
    True
    >>> make_fingerprint(make_call(body=b'1')) == make_fingerprint(make_call(body=b'2'))
    False
    """
    texts = (call.method, call.host.lower(), call.target, call.model, call.adapter)
    credentials = sorted((name.lower(), text) for name, text in call.headers if name.lower() in _CREDENTIAL_HEADERS)
    fields = (*(text.encode() for text in texts), *(field for line in credentials for field in line), call.body)
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        digest.update(b'%d:' % len(field))
        digest.update(field)
    return PREFIX + digest.hexdigest()


def is_fingerprint(text: str) -> bool:
    """Return whether a text is a fingerprint rather than the id of a prompt part.

    Examples
    --------
    >>> is_fingerprint('request,00ff'), is_fingerprint('5c1e07a2')
    (True, False)
    """
    return text.startswith(PREFIX)
