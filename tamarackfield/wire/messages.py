"""Typed messages of the peer protocol: the base class, and the messages that all processes send.

A message is encoded as a msgpack array of its kind and its fields in order. Deadlines are encoded as
Unix milliseconds, durations as whole milliseconds.
"""

from dataclasses import dataclass


class Message:
    """Base class of all messages; a value of ``kind`` is never reused for another message."""

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
    """Sent at a fixed interval in both directions; a peer that stops sending is suspected to have failed."""

    kind = 2
    unix_ms: int
    echoed_unix_ms: int


@dataclass(frozen=True, slots=True)
class Draining(Message):
    """The sender is draining: it accepts no new work."""

    kind = 10
    reason: str


@dataclass(frozen=True, slots=True)
class LoadReport(Message):
    """State of a target as known to its sidecar.

    ``running``, ``queued`` and ``batch`` count requests; ``slots`` and ``pinned`` count adapters.
    ``load_ms`` is the smoothed time to load an adapter, ``service_ms`` that to serve a request.
    ``entries`` counts the entries connected to the sender.
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
    """Adapters of a target; sent before the first load report of a stream and after each change.

    ``residents`` lists the loaded adapters, ``loading`` those that are being loaded or that queued requests need.
    """

    kind = 12
    residents: list[str]
    loading: list[str]


#: Message types of this module by kind.
MESSAGE_TYPES = {message_type.kind: message_type for message_type in (Hello, Heartbeat, Draining, LoadReport, Holdings)}
