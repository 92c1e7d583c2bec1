"""State of an engine, results of its orders, and the interface of its client."""

import enum
from dataclasses import dataclass
from typing import Protocol

from tamarackfield.core import TamarackfieldError
from tamarackfield.manager.tickets import ModelOrder
from tamarackfield.policy.residency import Order


class EnginePausedError(TamarackfieldError):
    """The engine turned a call away and wants no further one for a while.

    Parameters
    ----------
    message, step, peer : str
        As in `TamarackfieldError`.
    seconds : float
        Time for which it wants none.
    """

    def __init__(self, message: str, step: str, peer: str, seconds: float) -> None:
        """Store the fields of the error."""
        super().__init__(message, step, peer)
        self.seconds = seconds


class EngineEndedError(TamarackfieldError):
    """No process listens at the address of the engine."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """State of an engine as it reports it.

    Parameters
    ----------
    started_ms : int
        Start of this incarnation in Unix milliseconds by the engine's clock.
    sequence : int
        Number of orders accepted in this incarnation.
    models : frozenset of str
        Loaded base models.
    resident_versions : dict
        Versions of the resident adapters by ``model/adapter``.
    loading : tuple of str
        Adapters being loaded.
    running, queued : int
        Number of running and of queued requests.
    loading_model : bool
        Whether the engine is loading a base model.
    draining : bool
        Whether the engine drains and accepts no new work.
    request_limit : float or None
        Requests a second that it takes from all entries together; None if it states none.
    """

    started_ms: int
    sequence: int
    models: frozenset[str]
    resident_versions: dict[str, int]
    loading: tuple[str, ...]
    running: int
    queued: int
    loading_model: bool
    draining: bool
    request_limit: float | None = None


class OrderResult(enum.Enum):
    """Result of an order."""

    #: The order is being executed, or its effect is already present.
    ACCEPTED = 'accepted'
    #: Another order is in progress, or the engine has accepted orders that the sender has not seen.
    CONFLICT = 'conflict'
    #: The engine has seen a higher fencing token.
    FENCED = 'fenced'
    #: The order cannot be executed.
    REFUSED = 'refused'
    #: The address belongs to another target or to another incarnation of this one.
    MISDIRECTED = 'misdirected'
    #: No answer arrived: the order may have been accepted.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class OrderTerms:
    """Preconditions under which an engine accepts an order.

    Parameters
    ----------
    target : str
        Name of the target's incarnation to which the order is addressed.
    sequence : int
        Number of orders that the engine must have accepted before.
    fencing : int
        Fencing token, at least that of every earlier order.
    """

    target: str
    sequence: int
    fencing: int


class EngineClient(Protocol):
    """Client of the one engine of a manager."""

    async def read_state(self) -> EngineState:
        """Return the engine's state.

        Raises
        ------
        EngineEndedError
            If no process listens at the address of the engine.
        ClientError
            If the state cannot be read for another reason.
        """

    async def send_order(self, order: Order | ModelOrder, terms: OrderTerms) -> OrderResult:
        """Send an order and return its result."""
