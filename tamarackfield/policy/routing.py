"""Types of routing decisions, and the routers that use neither costs nor the ring."""

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """Properties of a request that routing uses.

    Parameters
    ----------
    adapter : str
        Adapter reference; empty for a plain service.
    zone : str
        Availability zone of the entry.
    now : float
        Current time in monotonic seconds.
    deadline : float
        Deadline in monotonic seconds.
    prompt_tokens : int
        Length of the prompt; 0 if not known.
    """

    adapter: str
    zone: str
    now: float
    deadline: float
    prompt_tokens: int = 0


@dataclass(slots=True)
class TargetView:
    """State of a target as an entry knows it.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of the target.
    speed : float
        Relative speed from the bundle.
    batch : int
        Largest number of requests that run at once.
    slots : int
        Number of adapter slots.
    outstanding : int
        Requests of this entry that have not ended.
    unreported : int
        Requests that this entry sent since the last report.
    running, queued, pinned : int
        Running requests, queued requests and pinned adapters in the last report.
    residents, loading : frozenset of str
        Adapter references in the last report; adapters that wait for a load count as loading.
    recent : collection of str
        Adapters evicted lately, of which the target still has a copy in memory.
    concurrent_loads : int
        Largest number of adapter loads in progress at once.
    reported_at : float
        Time of the last report in monotonic seconds.
    load_seconds : float
        Smoothed duration of an adapter load.
    service_seconds : float
        Smoothed duration of a request.
    prompt_seconds : float
        Time to prefill the prompts that the target had at its last report.
    token_seconds : float
        Prefill time of one token; 0 if not reported.
    unreported_tokens : int
        Prompt tokens that this entry sent since the last report.
    request_seconds : float
        Seconds between two requests that its limit allows; 0 without a limit.
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
    recent: Collection[str] = frozenset()
    concurrent_loads: int = 1
    reported_at: float = 0.0
    load_seconds: float = 0.25
    service_seconds: float = 0.5
    prompt_seconds: float = 0.0
    token_seconds: float = 0.0
    unreported_tokens: int = 0
    request_seconds: float = 0.0


class FleetView(Protocol):
    """Usable targets for one request; a router calls only the methods that it needs, as their cost differs."""

    def all(self) -> Sequence[TargetView]:
        """Return every target; the cost grows with their number."""

    def holders(self, adapter: str) -> Sequence[TargetView]:
        """Return the targets on which an adapter is resident or loading, or from which it was evicted lately."""

    def ring_order(self, adapter: str) -> Iterable[TargetView]:
        """Yield the targets in the ring order of an adapter."""


Router = Callable[[RoutingRequest, FleetView, random.Random], TargetView]


def make_round_robin() -> Router:
    """Return a router that chooses the targets in turn, regardless of their state."""
    index = 0

    def route(request: RoutingRequest, fleet: FleetView, rng: random.Random) -> TargetView:
        nonlocal index  # noqa: WPS420 the index is the closure's only state
        index += 1
        targets = fleet.all()
        return targets[index % len(targets)]

    return route


def make_least_outstanding() -> Router:
    """Return a router that chooses the target with the fewest requests of this entry relative to its speed."""

    def route(request: RoutingRequest, fleet: FleetView, rng: random.Random) -> TargetView:
        return choose_least_outstanding(fleet.all(), rng)

    return route


def make_resident_first() -> Router:
    """Return a router that prefers targets on which the adapter is resident.

    Among these, or among all targets if there are none, it chooses the target with the fewest outstanding requests of
    this entry relative to its speed.
    """

    def route(request: RoutingRequest, fleet: FleetView, rng: random.Random) -> TargetView:
        targets = fleet.all()
        resident_targets = [target for target in targets if request.adapter in target.residents]
        return choose_least_outstanding(resident_targets or targets, rng)

    return route


def choose_least_outstanding(targets: Sequence[TargetView], rng: random.Random) -> TargetView:
    """Return the target with the fewest outstanding requests of this entry relative to its speed; ties are random."""
    return min(targets, key=lambda target: (target.outstanding / target.speed, rng.random()))


def list_least_running(targets: Sequence[TargetView]) -> list[TargetView]:
    """Return the targets with the fewest runs, as far as this entry knows.

    Examples
    --------
    >>> views = [TargetView('t1', 'a', outstanding=1), TargetView('t2', 'a', running=1), TargetView('t3', 'a')]
    >>> [view.name for view in list_least_running(views)]
    ['t3']
    """
    counts = [max(target.outstanding, target.running + target.queued) for target in targets]
    return [target for target, count in zip(targets, counts, strict=True) if count == min(counts)]
