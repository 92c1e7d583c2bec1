"""Messages between entries that call targets directly and the sidecars that manage the adapters of the targets."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import LoadReport, Message


#: Code of a decline because another target may begin the run sooner.
REDIRECT_CODE = 'busy'
#: Codes of declines because the run would begin too late here.
NO_ROOM_CODES = frozenset(('full', 'too_late'))


@dataclass(frozen=True, slots=True)
class Facts(Message):
    """Properties of a target, sent by an entry to its sidecar; the highest ``revision`` is in force.

    ``target`` and ``started_ms`` identify the incarnation of the target in the instance list.
    ``batch`` is the capacity of the target in requests, ``places`` that in adapters.
    ``models`` lists base models; ``model_kb`` and ``adapter_kb`` are the sizes of each and of one of
    its adapters in kilobytes, ``memory_kb`` is the total that fits. ``load_gap_ms`` is the shortest
    time between two loads of base models at this target.
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
    """Request of an entry to reserve batch capacity, with the adapter pinned until the release.

    ``adapter`` is ``model/adapter`` or only ``model``; ``version`` is the lowest acceptable version, 0 for
    any. ``left_ms`` is the time after which the reservation is useless, ``aim_ms`` the time within which
    the run should start to meet the latency target of its caller. ``tokens`` is the length of the prompt;
    ``label`` is the caller's request id, for logs. ``redirectable`` is whether the entry tries another target if the
    run cannot start here within ``aim_ms``.
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
    redirectable: bool


@dataclass(frozen=True, slots=True)
class CustomerReserve(Reserve):
    """`Reserve` for the request of a customer, whose name is ``customer``.

    It is a message of its own, so that processes of earlier builds understand all others while customers are not used.
    """

    kind = 81
    customer: str


@dataclass(frozen=True, slots=True)
class Granted(Message):
    """Capacity is reserved: the request may be sent now; ``version`` is that of the loaded adapter."""

    kind = 62
    request_id: int
    version: int
    waited_ms: int


@dataclass(frozen=True, slots=True)
class Declined(Message):
    """The target cannot serve the request in time; nothing was reserved."""

    kind = 63
    request_id: int
    code: str
    retry_ms: int


@dataclass(frozen=True, slots=True)
class Started(Message):
    """The first event of the answer arrived: the prefill of the request is complete."""

    kind = 67
    request_id: int


@dataclass(frozen=True, slots=True)
class Release(Message):
    """The request has ended, or its reservation is no longer needed."""

    kind = 64
    request_id: int


@dataclass(frozen=True, slots=True)
class AskItems(Message):
    """Request for the items of a peer, sent by a process that cannot read the store.

    ``revision`` is the highest revision that the sender has.
    """

    kind = 65
    revision: int


@dataclass(frozen=True, slots=True)
class Items(Message):
    """Snapshot of all items that a peer has; ``age_ms`` is the time since the store last answered the peer.

    ``prefixes`` lists the key prefixes that were read completely: a key with such a prefix that is not
    in ``keys`` does not exist as of the revision in ``positions``. ``revision`` is the highest of all items.
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
class AskBeliefs(Message):
    """Request of a process that starts for what a peer knows beyond the store."""

    kind = 72


@dataclass(frozen=True, slots=True)
class Beliefs(Message):
    """What a peer knows and the store may not, because it came back from an older copy or never heard of it.

    ``departed`` names the targets that left or said that they leave, ``departed_ms`` the latest start of an incarnation
    of each that this holds for. ``keys``, ``revisions`` and ``payloads`` are the items that are in force, ``adapters``
    and ``versions`` the newest announced versions.
    """

    kind = 73
    departed: list[str]
    departed_ms: list[int]
    keys: list[str]
    revisions: list[int]
    payloads: list[bytes]
    adapters: list[str]
    versions: list[int]


@dataclass(frozen=True, slots=True)
class Paused(Message):
    """The event stream of a request with a reservation paused for longer than its caller tolerates."""

    kind = 69
    request_id: int
    pause_ms: int


@dataclass(frozen=True, slots=True)
class EventPace(Message):
    """Pace of an engine's streams at one entry since its last message of this kind.

    ``interval_ms`` is the time between two events without the prefill of other requests, ``longest_ms`` the longest,
    ``pause_ms`` the shortest of the longest pauses that the callers accept.
    """

    kind = 87
    interval_ms: int
    longest_ms: int
    pause_ms: int


@dataclass(frozen=True, slots=True)
class EngineReport(LoadReport):
    """State of an engine as known to its sidecar.

    ``prompt_ms`` is the prefill time of all requests that have not started, ``token_ns`` that of one token.
    ``leaving`` is whether the engine leaves and begins no new request.
    """

    kind = 68
    prompt_ms: int
    token_ns: int
    leaving: bool


#: Message types of this module by kind.
RESERVATION_TYPES = {
    message_type.kind: message_type
    for message_type in (
        Facts,
        Reserve,
        CustomerReserve,
        Granted,
        Declined,
        Started,
        Release,
        AskItems,
        Items,
        EngineReport,
        Paused,
        EventPace,
        AskBeliefs,
        Beliefs,
    )
}

register_message_types(RESERVATION_TYPES)
