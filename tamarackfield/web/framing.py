"""Framing of the bodies of answers: how a client learns where they end."""

from enum import StrEnum

import h11


class BodyFraming(StrEnum):
    """How the end of an answer's body is marked; ``CLOSE`` is the end of the connection."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


def find_framing(response: h11.Response) -> BodyFraming:
    """Return how the body of an answer is framed.

    Examples
    --------
    >>> find_framing(h11.Response(status_code=200, headers=[('Content-Length', '3')]))
    <BodyFraming.LENGTH: 'length'>
    >>> find_framing(h11.Response(status_code=200, headers=[]))
    <BodyFraming.CLOSE: 'close'>
    """
    names = {name for name, _ in response.headers}
    if b'transfer-encoding' in names:
        return BodyFraming.CHUNKED
    return BodyFraming.LENGTH if b'content-length' in names else BodyFraming.CLOSE
