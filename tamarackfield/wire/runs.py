"""Messages of an entry whose sidecars carry all bytes of its requests."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_types
from tamarackfield.wire.messages import Message


@dataclass(frozen=True, slots=True)
class Submit(Message):
    """An entry asks a sidecar to run one request.

    ``adapter`` and ``version`` are empty for a call to a plain service. ``idempotency_key`` is
    empty for a call that may be repeated.
    """

    kind = 3
    request_id: int
    caller: str
    adapter: str
    version: str
    priority: int
    deadline_unix_ms: int
    idempotency_key: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    stream: bool
    credit: int


@dataclass(frozen=True, slots=True)
class Cancel(Message):
    """The caller is gone; the answer is no longer wanted."""

    kind = 4
    request_id: int


@dataclass(frozen=True, slots=True)
class Credit(Message):
    """The entry can take this many more bytes of an answer."""

    kind = 5
    request_id: int
    size: int


@dataclass(frozen=True, slots=True)
class Head(Message):
    """Start of an answer."""

    kind = 6
    request_id: int
    status: int
    headers: list[list[str]]


@dataclass(frozen=True, slots=True)
class Chunk(Message):
    """Part of an answer; ``sequence`` counts from 0."""

    kind = 7
    request_id: int
    sequence: int
    body: bytes


@dataclass(frozen=True, slots=True)
class End(Message):
    """The answer is whole; ``chunks`` is the number of chunks that were sent."""

    kind = 8
    request_id: int
    chunks: int
    stalled_ms: int
    queued_ms: int


@dataclass(frozen=True, slots=True)
class Fail(Message):
    """The request ended without a whole answer."""

    kind = 9
    request_id: int
    outcome: str
    status: int
    code: str
    message: str
    step: str
    peer: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class KeyEpoch(Message):
    """A sidecar's incarnation and its age in milliseconds, for issuing idempotency keys."""

    kind = 20
    incarnation: int
    uptime_ms: int


@dataclass(frozen=True, slots=True)
class AskKey(Message):
    """The new home of a key asks an earlier home for the right to run it.

    ``key`` is the caller and the idempotency key; ``holder`` names the asking incarnation.
    """

    kind = 21
    key: str
    holder: str


@dataclass(frozen=True, slots=True)
class KeyGiven(Message):
    """Answer to `AskKey`: whether the key never ran at the sender and never will."""

    kind = 22
    key: str
    given: bool


#: Message types of this module by kind.
RUN_TYPES = {
    message_type.kind: message_type
    for message_type in (Submit, Cancel, Credit, Head, Chunk, End, Fail, KeyEpoch, AskKey, KeyGiven)
}

register_types(RUN_TYPES)
