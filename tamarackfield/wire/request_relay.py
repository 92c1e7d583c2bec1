"""Messages between entries and sidecars that relay all bytes of requests and answers."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import Message


@dataclass(frozen=True, slots=True)
class Submit(Message):
    """Request of an entry to run one call at the target of the sidecar.

    ``adapter`` and ``version`` are empty for a call to a plain service. ``idempotency_key`` is
    empty for a call that may run more than once. ``credit`` is the initial flow-control credit in bytes.
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
    """The caller has disconnected; the answer is no longer needed."""

    kind = 4
    request_id: int


@dataclass(frozen=True, slots=True)
class Credit(Message):
    """Flow control: the sidecar may send this many more bytes of an answer."""

    kind = 5
    request_id: int
    size: int


@dataclass(frozen=True, slots=True)
class Head(Message):
    """Status and headers of an answer."""

    kind = 6
    request_id: int
    status: int
    headers: list[list[str]]


@dataclass(frozen=True, slots=True)
class Chunk(Message):
    """Part of the body of an answer; ``sequence`` starts at 0."""

    kind = 7
    request_id: int
    sequence: int
    body: bytes


@dataclass(frozen=True, slots=True)
class End(Message):
    """End of a complete answer; ``chunks`` is the number of chunks that were sent."""

    kind = 8
    request_id: int
    chunks: int
    stalled_ms: int
    queued_ms: int


@dataclass(frozen=True, slots=True)
class Fail(Message):
    """The request ended without a complete answer."""

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
    """Incarnation of a sidecar and its uptime in milliseconds, for issuing idempotency keys."""

    kind = 20
    incarnation: int
    uptime_ms: int


@dataclass(frozen=True, slots=True)
class AskKey(Message):
    """Request of the new home of an idempotency key to a previous home for the right to run the key.

    ``key`` contains the caller and the idempotency key; ``holder`` identifies the requesting incarnation.
    """

    kind = 21
    key: str
    holder: str


@dataclass(frozen=True, slots=True)
class KeyGiven(Message):
    """Answer to `AskKey`: whether the key has never run at the sender and will not run there."""

    kind = 22
    key: str
    given: bool


#: Message types of this module by kind.
REQUEST_TYPES = {
    message_type.kind: message_type
    for message_type in (Submit, Cancel, Credit, Head, Chunk, End, Fail, KeyEpoch, AskKey, KeyGiven)
}

register_message_types(REQUEST_TYPES)
