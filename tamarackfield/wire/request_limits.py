"""Messages between entries and sidecars about targets that limit the requests they take from all entries together."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import Message

#: Code of a decline because the target has got as many requests as it takes.
LIMIT_CODE = 'limited'
#: Millirequests in a request.
_MILLIREQUESTS = 1000


@dataclass(frozen=True, slots=True)
class RequestLimit(Message):
    """Limit that the incarnation of a target states, or that it states none any more.

    ``limit_mrps`` is in thousandths of a request per second; 0 for no limit.
    """

    kind = 74
    target: str
    started_ms: int
    limit_mrps: int


@dataclass(frozen=True, slots=True)
class AskPermit(Message):
    """Request of an entry to send one call to a target with a limit; answered by `Granted` or `Declined`.

    ``label`` is the caller's request id, for logs; ``priority`` 0 is the most urgent; ``wait_ms`` is the time for which
    the call may wait for its turn. ``backup`` is whether the receiver is not the first choice of the sender.
    """

    kind = 75
    request_id: int
    label: str
    target: str
    started_ms: int
    limit_mrps: int
    priority: int
    wait_ms: int
    backup: bool


def encode_limit(limit: float | None) -> int:
    """Return a limit in requests per second as an integer for messages.

    Examples
    --------
    >>> [encode_limit(limit) for limit in (4.5, 0.0, None)]
    [4500, 1, 0]
    """
    return 0 if limit is None else max(1, round(limit * _MILLIREQUESTS))


def decode_limit(limit_mrps: int) -> float | None:
    """Return a limit in requests per second, None for no limit."""
    return limit_mrps / _MILLIREQUESTS if limit_mrps else None


#: Message types of this module by kind.
REQUEST_LIMIT_TYPES = {message_type.kind: message_type for message_type in (RequestLimit, AskPermit)}

register_message_types(REQUEST_LIMIT_TYPES)
