"""Typed messages of the peer protocol.

A message travels as a msgpack array: its kind, then its fields in order. Deadlines travel as
Unix milliseconds, other times as whole milliseconds.
"""

from dataclasses import dataclass


class Message:
    """Base of all messages; the number ``kind`` is never given to another message."""

    __slots__ = ()
    kind = 0


@dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message in each direction of a stream."""

    kind = 1
    role: str
    instance: str
    incarnation: int
    zone: str
    unix_ms: int
    target: str


@dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """Sent at a fixed pace in both directions; silence makes the peer suspect."""

    kind = 2
    unix_ms: int
    echoed_unix_ms: int


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
class Draining(Message):
    """The sender takes no new work from now on."""

    kind = 10
    reason: str


@dataclass(frozen=True, slots=True)
class LoadReport(Message):
    """State of a target as its sidecar sees it.

    ``running``, ``queued`` and ``batch`` count requests, ``slots`` and ``pinned`` adapters;
    ``load_ms`` is the smoothed time of a load, ``service_ms`` that of a request; ``entries`` counts
    the entries that are connected to the sender.
    """

    kind = 11
    unix_ms: int
    incarnation: int
    ready: bool
    batch: int
    running: int
    queued: int
    slots: int
    pinned: int
    load_ms: int
    service_ms: int
    entries: int


@dataclass(frozen=True, slots=True)
class Holdings(Message):
    """Adapters of a target, sent when they change; before the first load report of a stream.

    ``loading`` lists those that are being loaded or that waiting requests need.
    """

    kind = 12
    residents: list[str]
    loading: list[str]


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


#: Message types by kind.
MESSAGE_TYPES = {
    message_type.kind: message_type
    for message_type in (
        Hello,
        Heartbeat,
        Submit,
        Cancel,
        Credit,
        Head,
        Chunk,
        End,
        Fail,
        Draining,
        LoadReport,
        Holdings,
        KeyEpoch,
        AskKey,
        KeyGiven,
    )
}
