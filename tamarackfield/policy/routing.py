"""Choice of a target for one request."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass


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
    """

    adapter: str
    zone: str
    now: float
    deadline: float


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
    running, queued : int
        From its last report.
    residents, loading : frozenset of str
        Adapter references from its last report.
    reported_at : float
        Monotonic seconds of the last report.
    load_seconds : float
        Smoothed time of a load.
    service_seconds : float
        Smoothed time of a request.
    """

    name: str
    zone: str
    speed: float = 1.0
    batch: int = 1
    slots: int = 1
    outstanding: int = 0
    running: int = 0
    queued: int = 0
    residents: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
    reported_at: float = 0.0
    load_seconds: float = 0.25
    service_seconds: float = 0.5


Router = Callable[[RoutingRequest, Sequence[TargetView], random.Random], TargetView]


def make_round_robin() -> Router:
    """Return a router that takes the targets in turn, whatever their state."""
    turn = 0

    def route(request: RoutingRequest, targets: Sequence[TargetView], rng: random.Random) -> TargetView:
        nonlocal turn  # noqa: WPS420 the turn is the closure's only state
        turn += 1
        return targets[turn % len(targets)]

    return route


def make_least_outstanding() -> Router:
    """Return a router that takes the target with the fewest requests of this entry for its speed."""

    def route(request: RoutingRequest, targets: Sequence[TargetView], rng: random.Random) -> TargetView:
        return min(targets, key=lambda target: (target.outstanding / target.speed, rng.random()))

    return route


def make_resident_first() -> Router:
    """Return a router that prefers targets that hold the adapter, then the least busy one."""

    def route(request: RoutingRequest, targets: Sequence[TargetView], rng: random.Random) -> TargetView:
        holders = [target for target in targets if request.adapter in target.residents]
        return least_outstanding(request, holders or targets, rng)

    least_outstanding = make_least_outstanding()
    return route


#: Factories of routers by the name used in a bundle's ``policy.routing``.
ROUTERS: dict[str, Callable[[], Router]] = {
    'round-robin': make_round_robin,
    'least-outstanding': make_least_outstanding,
    'resident-first': make_resident_first,
}
DEFAULT_ROUTER = 'resident-first'
