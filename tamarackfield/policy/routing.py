"""Choice of a target for one request."""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """What the choice depends on.

    Parameters
    ----------
    adapter : str
        Adapter reference, empty for a plain service.
    zone : str
        Availability zone of the entry.
    now : float
        Monotonic seconds.
    deadline : float
        Monotonic seconds.
    prompt_tokens : int
        Length of the prompt; 0 if it is not known.
    """

    adapter: str
    zone: str
    now: float
    deadline: float
    prompt_tokens: int = 0


@dataclass(slots=True)
class TargetView:
    """A target as an entry sees it.

    Parameters
    ----------
    name, zone : str
        Of the target.
    speed : float
        Relative speed from the bundle.
    batch : int
        Requests that it runs at once.
    outstanding : int
        Requests of this entry that have not ended.
    unreported : int
        Requests of this entry sent since the last report.
    running, queued, pinned : int
        From its last report.
    residents, loading : frozenset of str
        Adapter references from its last report; those that wait for a load count as loading.
    reported_at : float
        Monotonic seconds of the last report.
    load_seconds : float
        Smoothed time of a load.
    service_seconds : float
        Smoothed time of a request.
    prompt_seconds : float
        Time in which the prompts that it had at its last report are read.
    token_seconds : float
        Time in which it reads a token of a prompt; 0 if it does not say.
    unreported_tokens : int
        Prompts of this entry that were sent since the last report.
    """

    name: str
    zone: str
    speed: float = 1.0
    batch: int = 1
    slots: int = 1
    outstanding: int = 0
    unreported: int = 0
    running: int = 0
    queued: int = 0
    pinned: int = 0
    residents: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
    reported_at: float = 0.0
    load_seconds: float = 0.25
    service_seconds: float = 0.5
    prompt_seconds: float = 0.0
    token_seconds: float = 0.0
    unreported_tokens: int = 0


class FleetView(Protocol):
    """The usable targets of one request; a router asks only for what it needs."""

    def all(self) -> Sequence[TargetView]:
        """Return every target, at a cost that grows with their number."""

    def holders(self, adapter: str) -> Sequence[TargetView]:
        """Return the targets that hold or load an adapter."""

    def ring_order(self, adapter: str) -> Iterable[TargetView]:
        """Yield the targets in the ring order of an adapter."""


Router = Callable[[RoutingRequest, FleetView, random.Random], TargetView]


def make_round_robin() -> Router:
    """Return a router that takes the targets in turn, whatever their state."""
    turn = 0

    def route(request: RoutingRequest, fleet: FleetView, rng: random.Random) -> TargetView:
        nonlocal turn  # noqa: WPS420 the turn is the closure's only state
        turn += 1
        targets = fleet.all()
        return targets[turn % len(targets)]

    return route


def make_least_outstanding() -> Router:
    """Return a router that takes the target with the fewest requests of this entry for its speed."""

    def route(request: RoutingRequest, fleet: FleetView, rng: random.Random) -> TargetView:
        return least_outstanding(fleet.all(), rng)

    return route


def make_resident_first() -> Router:
    """Return a router that prefers targets that hold the adapter, then the least busy one."""

    def route(request: RoutingRequest, fleet: FleetView, rng: random.Random) -> TargetView:
        targets = fleet.all()
        holders = [target for target in targets if request.adapter in target.residents]
        return least_outstanding(holders or targets, rng)

    return route


def least_outstanding(targets: Sequence[TargetView], rng: random.Random) -> TargetView:
    """Return the target with the fewest requests of this entry for its speed, ties at random."""
    return min(targets, key=lambda target: (target.outstanding / target.speed, rng.random()))
