"""Requests that are queued for one engine, what they wait for, and the decisions on them."""

import enum
import math
from dataclasses import dataclass, field

from tamarackfield.policy.residency import Order, Residency

#: Number of an entry's connection (`PeerStream`), and number of the request on it.
TicketKey = tuple[int, int]


class WaitCause(enum.StrEnum):
    """What a queued request waits for."""

    #: Its adapter is being loaded, or waits for its turn to be loaded.
    LOAD = 'load'
    #: Every adapter slot is taken by an adapter that runs or that queued requests need.
    SLOT = 'slot'
    #: The batch is full.
    BATCH = 'batch'
    #: The engine still prefills the prompts of earlier requests.
    PREFILL = 'prefill'
    #: The engine has got as many requests as it takes at the rate that it states.
    LIMIT = 'limit'


@dataclass(slots=True)
class WaitTimes:
    """Seconds that a request spent queued by cause, up to ``counted_until`` in monotonic seconds."""

    counted_until: float = 0.0
    cause: WaitCause | None = None
    seconds: dict[WaitCause, float] = field(default_factory=dict)

    def count(self, cause: WaitCause | None, now: float) -> None:
        """Attribute the time since the last decision to the cause that held then; ``cause`` holds from now on."""
        if self.cause is not None:
            self.seconds[self.cause] = self.seconds.get(self.cause, 0.0) + now - self.counted_until
        self.cause = cause
        self.counted_until = now


@dataclass(slots=True)
class Ticket:
    """A queued or granted request.

    Parameters
    ----------
    key : tuple of int
        Numbers of the stream and of the request.
    adapter : str
        Requested ``model/adapter`` or ``model``.
    version : int
        Least acceptable version.
    priority : int
        Priority; 0 is the most urgent.
    enqueued_at, deadline : float
        Arrival time and deadline in monotonic seconds.
    start_by : float
        Monotonic seconds by which the run should start to meet the caller's latency objective.
    tokens : int
        Length of the prompt.
    caller_request_id : str
        Request id of the caller, used in logs.
    redirectable : bool
        Whether its entry tries another target if the run cannot start here by ``start_by``.
    customer : str
        Name of the customer, empty without one.
    granted_at : float
        Time of the grant in monotonic seconds; 0 while the request is queued.
    waits : WaitTimes
        Time that it spent queued, by what it waited for.
    """

    key: TicketKey
    adapter: str
    version: int
    priority: int
    enqueued_at: float
    deadline: float
    start_by: float
    tokens: int = 0
    caller_request_id: str = ''
    redirectable: bool = False
    customer: str = ''
    granted_at: float = 0.0
    waits: WaitTimes = field(default_factory=WaitTimes)


@dataclass(frozen=True, slots=True)
class ModelOrder:
    """Order to load a base model."""

    model: str


@dataclass(frozen=True, slots=True)
class Decline:
    """A ticket that ended without a grant for the reason ``code``; the entry may retry after ``retry_seconds``."""

    ticket: Ticket
    code: str
    retry_seconds: float


@dataclass(frozen=True, slots=True)
class LoadRefusal:
    """An engine's refusal to load an adapter in versions up to ``version``, until ``until`` in monotonic seconds."""

    version: int
    until: float


@dataclass(slots=True)
class Plan:
    """Grants, declines and orders of one decision, made at ``made_at`` in monotonic seconds."""

    made_at: float = 0.0
    grants: list[Ticket] = field(default_factory=list)
    declines: list[Decline] = field(default_factory=list)
    orders: list[Order | ModelOrder] = field(default_factory=list)


@dataclass(slots=True)
class Ahead:
    """Queued requests that precede the one that is decided on.

    Parameters
    ----------
    count, tokens : int
        Number, and total length of their prompts.
    most_urgent : float
        Priority of the most urgent request of a customer that waits only for room on the engine.
    """

    count: int = 0
    tokens: int = 0
    most_urgent: float = math.inf

    def add(self, ticket: Ticket, startable: bool) -> None:
        """Add a request that stays queued; ``startable`` is whether only room keeps it from starting in time."""
        self.count += 1
        self.tokens += ticket.tokens
        if ticket.customer and startable:
            self.most_urgent = min(self.most_urgent, ticket.priority)

    def precludes(self, ticket: Ticket) -> bool:
        """Return whether a request would take the room that a more urgent one of a customer waits for.

        Short prompts fit into room that a long one waits for, so that a stream of them would keep it out.
        """
        return bool(ticket.customer) and ticket.priority > self.most_urgent


def find_wait_cause(
    ticket: Ticket, residency: Residency, waiting_adapters: frozenset[str], batch_full: bool | None
) -> WaitCause:
    """Return what a queued request waits for.

    Parameters
    ----------
    ticket : Ticket
        Request that is not granted.
    residency : Residency
        Adapters of the engine.
    waiting_adapters : frozenset of str
        Adapters that queued requests need.
    batch_full : bool or None
        Whether the batch is full; None if the adapter of the request is not available yet.
    """
    if batch_full is not None:
        return WaitCause.BATCH if batch_full else WaitCause.PREFILL
    has_slot = residency.used_slots() < residency.slots or residency.find_victim(waiting_adapters) is not None
    return WaitCause.LOAD if ticket.adapter in residency.loading or has_slot else WaitCause.SLOT
