"""What the manager of a target's adapters reads and how orders end."""

import enum
from dataclasses import dataclass
from typing import Protocol

from tamarackfield.manager.admission import ModelOrder
from tamarackfield.policy.residency import Order


@dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's own account of itself.

    Parameters
    ----------
    started_ms : int
        Start of this life in Unix milliseconds by the engine's clock.
    sequence : int
        Orders accepted in this life.
    models : frozenset of str
        Base models in place.
    held : dict
        Versions of the adapters in place, by ``model/adapter``.
    incoming : tuple of str
        Adapters on their way.
    running, queued : int
        Requests.
    busy : bool
        Whether it is loading a base model.
    leaving : bool
        Whether it takes no new work.
    """

    started_ms: int
    sequence: int
    models: frozenset[str]
    held: dict[str, int]
    incoming: tuple[str, ...]
    running: int
    queued: int
    busy: bool
    leaving: bool


class OrderResult(enum.Enum):
    """How an order ended."""

    #: The order is being carried out, or what it asks for already holds.
    ACCEPTED = 'accepted'
    #: Another order is in progress, or the engine has accepted orders that the sender has not seen.
    CONFLICT = 'conflict'
    #: The engine has seen a higher fencing number.
    FENCED = 'fenced'
    #: No such order can be carried out.
    REFUSED = 'refused'
    #: Another target, or another life of this one, has the address.
    MISDIRECTED = 'misdirected'
    #: No answer: the order may have been accepted.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class OrderTerms:
    """Under which conditions an engine is to accept an order.

    Parameters
    ----------
    target : str
        The life of the target that is meant.
    sequence : int
        Orders that it has accepted before.
    fencing : int
        Not below that of any earlier order.
    """

    target: str
    sequence: int
    fencing: int


class EngineClient(Protocol):
    """Calls to the one target of a manager."""

    async def read_state(self) -> EngineState:
        """Return the engine's state, `ClientError` if it cannot be read."""

    async def give_order(self, order: Order | ModelOrder, terms: OrderTerms) -> OrderResult:
        """Give an order."""
