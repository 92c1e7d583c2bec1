"""Limits of the HTTP server: what one caller may hold, and for how long."""

from dataclasses import dataclass
from typing import Any

_MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds of one HTTP server.

    Parameters
    ----------
    request_seconds : float
        Time in which a whole request must arrive once its first byte came.
    idle_seconds : float
        Time that a connection without a request is kept.
    write_seconds : float
        Time that one write may wait for the caller to read.
    max_connections : int
        Connections that are open at once; further ones are refused.
    max_body_bytes : int
        Largest request body.
    max_buffered_bytes : int
        Bytes of all request bodies that are held at once.
    """

    request_seconds: float = 10.0
    idle_seconds: float = 75.0
    write_seconds: float = 30.0
    max_connections: int = 4000
    max_body_bytes: int = _MEBIBYTE
    max_buffered_bytes: int = 32 * _MEBIBYTE  # noqa: WPS432 the default is this number


DEFAULT_LIMITS = HttpLimits()
_SECONDS = {'type': 'number', 'exclusiveMinimum': 0}
_LARGEST_BODY = 2 * _MEBIBYTE

#: Schema of the ``http`` settings.
HTTP_SCHEMA: dict[str, Any] = {
    'type': 'object',
    'additionalProperties': False,
    'description': 'limits of the HTTP interface for callers',
    'default': {},
    'properties': {
        'request_seconds': {
            **_SECONDS,
            'default': DEFAULT_LIMITS.request_seconds,
            'description': 'time in which a whole request must arrive, in seconds',
        },
        'idle_seconds': {
            **_SECONDS,
            'default': DEFAULT_LIMITS.idle_seconds,
            'description': 'time that a connection without a request is kept, in seconds',
        },
        'write_seconds': {
            **_SECONDS,
            'default': DEFAULT_LIMITS.write_seconds,
            'description': 'time that one write may wait for the caller to read, in seconds',
        },
        'max_connections': {
            'type': 'integer',
            'minimum': 1,
            'default': DEFAULT_LIMITS.max_connections,
            'description': 'connections that are open at once',
        },
        'max_body_bytes': {
            'type': 'integer',
            'minimum': 1,
            'maximum': _LARGEST_BODY,
            'default': DEFAULT_LIMITS.max_body_bytes,
            'description': 'largest request body, in bytes',
        },
        'max_buffered_bytes': {
            'type': 'integer',
            'minimum': 1,
            'default': DEFAULT_LIMITS.max_buffered_bytes,
            'description': 'bytes of all request bodies that are held at once',
        },
    },
}
