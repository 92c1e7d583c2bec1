"""Limits of the HTTP server on time, connections and memory."""

from dataclasses import dataclass
from typing import Any

_MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of one HTTP server.

    Parameters
    ----------
    request_seconds : float
        Time in which a whole request must arrive after its first byte.
    idle_seconds : float
        Idle time-out of a connection without a request.
    write_seconds : float
        Time after which a caller that reads nothing of an answer counts as disconnected.
    max_connections : int
        Limit on open connections; further ones are refused.
    max_body_bytes : int
        Size limit of one request body.
    max_buffered_bytes : int
        Limit on the bytes of all request bodies that are in memory at once.
    write_buffer_bytes : int
        Bytes of an answer that one connection buffers before its source is throttled; 0 for the default of asyncio.
    send_queue_bytes : int
        Size of the send queue of a connection in the kernel, which doubles it; 0 if the kernel is to choose.
    """

    request_seconds: float = 10.0
    idle_seconds: float = 75.0
    write_seconds: float = 30.0
    max_connections: int = 4000
    max_body_bytes: int = _MEBIBYTE
    max_buffered_bytes: int = 32 * _MEBIBYTE  # noqa: WPS432 the default is this number
    write_buffer_bytes: int = 0
    send_queue_bytes: int = 0


DEFAULT_LIMITS = HttpLimits()
_POSITIVE_SECONDS_SCHEMA = {'type': 'number', 'exclusiveMinimum': 0}
_MAX_BODY_LIMIT_BYTES = 2 * _MEBIBYTE

#: Schema of the ``http`` settings.
HTTP_SCHEMA: dict[str, Any] = {
    'type': 'object',
    'additionalProperties': False,
    'description': 'limits of the HTTP interface for callers',
    'default': {},
    'properties': {
        'request_seconds': {
            **_POSITIVE_SECONDS_SCHEMA,
            'default': DEFAULT_LIMITS.request_seconds,
            'description': 'time in which a whole request must arrive, in seconds',
        },
        'idle_seconds': {
            **_POSITIVE_SECONDS_SCHEMA,
            'default': DEFAULT_LIMITS.idle_seconds,
            'description': 'idle time-out of a connection without a request, in seconds',
        },
        'write_seconds': {
            **_POSITIVE_SECONDS_SCHEMA,
            'default': DEFAULT_LIMITS.write_seconds,
            'description': 'time in which a caller must read a part of its answer, in seconds',
        },
        'max_connections': {
            'type': 'integer',
            'minimum': 1,
            'default': DEFAULT_LIMITS.max_connections,
            'description': 'limit on open connections',
        },
        'max_body_bytes': {
            'type': 'integer',
            'minimum': 1,
            'maximum': _MAX_BODY_LIMIT_BYTES,
            'default': DEFAULT_LIMITS.max_body_bytes,
            'description': 'size limit of one request body, in bytes',
        },
        'max_buffered_bytes': {
            'type': 'integer',
            'minimum': 1,
            'default': DEFAULT_LIMITS.max_buffered_bytes,
            'description': 'limit on the bytes of all request bodies that are in memory at once',
        },
    },
}
