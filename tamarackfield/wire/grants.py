"""Messages between an entry that calls targets itself and the sidecars that manage their adapters."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_types
from tamarackfield.wire.messages import LoadReport, Message


@dataclass(frozen=True, slots=True)
class Facts(Message):
    """An entry tells a sidecar what its target is; the newest ``revision`` holds.

    ``target`` and ``started_ms`` name the life of the target that the instance list shows.
    ``models`` lists base models, ``model_kb`` and ``adapter_kb`` the sizes of each and of one of
    its adapters in kilobytes, ``memory_kb`` what fits. ``load_gap_ms`` is the least time between
    two loads of base models at this target.
    """

    kind = 60
    revision: int
    target: str
    started_ms: int
    batch: int
    places: int
    memory_kb: int
    models: list[str]
    model_kb: list[int]
    adapter_kb: list[int]
    load_gap_ms: int


@dataclass(frozen=True, slots=True)
class Reserve(Message):
    """An entry asks for a place in the batch, with an adapter kept in place.

    ``adapter`` is ``model/adapter`` or only ``model``; ``version`` is the least that will do, 0 for
    any. ``left_ms`` is the time in which the place is of use, ``aim_ms`` that in which the run should
    begin to be in time for its caller; ``tokens`` is the length of its prompt; ``label`` is the caller's id of the
    request, for logs.
    """

    kind = 61
    request_id: int
    label: str
    adapter: str
    version: int
    priority: int
    left_ms: int
    aim_ms: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Granted(Message):
    """The request may be sent to the target now; ``version`` is that of the adapter in place."""

    kind = 62
    request_id: int
    version: int
    waited_ms: int


@dataclass(frozen=True, slots=True)
class Declined(Message):
    """The request cannot be served by this target in time; nothing was reserved."""

    kind = 63
    request_id: int
    code: str
    retry_ms: int


@dataclass(frozen=True, slots=True)
class Started(Message):
    """The first event of the request arrived: its prompt was read."""

    kind = 67
    request_id: int


@dataclass(frozen=True, slots=True)
class Release(Message):
    """The request has ended, or its place is no longer wanted."""

    kind = 64
    request_id: int


@dataclass(frozen=True, slots=True)
class AskItems(Message):
    """A process that cannot read the store asks a peer for the items that it knows.

    ``revision`` is the newest that the sender knows.
    """

    kind = 65
    revision: int


@dataclass(frozen=True, slots=True)
class Items(Message):
    """Every item that a peer knows; ``age_ms`` tells when the store last answered it.

    ``prefixes`` lists the parts of the store that were read whole: what is not listed of one does
    not exist as of its revision in ``positions``. ``revision`` is the newest of all items.
    """

    kind = 66
    revision: int
    age_ms: int
    prefixes: list[str]
    positions: list[int]
    keys: list[str]
    revisions: list[int]
    payloads: list[bytes]


@dataclass(frozen=True, slots=True)
class Paused(Message):
    """The stream of a granted request paused for longer than its caller should notice."""

    kind = 69
    request_id: int
    pause_ms: int


@dataclass(frozen=True, slots=True)
class EngineReport(LoadReport):
    """State of an engine as its sidecar sees it.

    ``prompt_ms`` is the time in which it reads the prompts of all requests that have not begun,
    ``token_ns`` that of one token.
    """

    kind = 68
    prompt_ms: int
    token_ns: int


#: Message types of this module by kind.
GRANT_TYPES = {
    message_type.kind: message_type
    for message_type in (Facts, Reserve, Granted, Declined, Started, Release, AskItems, Items, EngineReport, Paused)
}

register_types(GRANT_TYPES)
