"""Typed messages of the peer protocol: its base, and what every process of the product sends.

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


#: Message types of this module by kind.
MESSAGE_TYPES = {message_type.kind: message_type for message_type in (Hello, Heartbeat, Draining, LoadReport, Holdings)}
