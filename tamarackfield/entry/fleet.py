"""The targets of the bundle in force and this entry's links to them."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.core import Application, RequestError
from tamarackfield.discovery import ObservedTarget
from tamarackfield.entry.links import Link
from tamarackfield.policy import CostWeights, Ring, RoutingRequest, TargetView
from tamarackfield.policy.placement import rendezvous_order
from tamarackfield.policy.routers import DEFAULT_ROUTER, ROUTERS
from tamarackfield.policy.routing import Router

MakeLink = Callable[[TargetEntry], Link]

#: Up to so many allowed targets are ordered directly; more of them are found along the ring of all.
FEW_TARGETS = 4
#: Holders of an adapter that one choice looks at.
MAX_HOLDERS = 8
#: Lists of allowed targets whose names are remembered.
MAX_REMEMBERED = 256


class HolderIndex:
    """Which targets hold or load an adapter, by their last reports."""

    def __init__(self) -> None:
        """Start empty."""
        self.holders: defaultdict[str, set[str]] = defaultdict(set)
        self.held: dict[str, frozenset[str]] = {}

    def update(self, target: str, adapters: frozenset[str]) -> None:
        """Replace what a target holds; costs as much as changed."""
        before = self.held.get(target, frozenset())
        for adapter in before - adapters:
            self.holders[adapter].discard(target)
            if not self.holders[adapter]:
                self.holders.pop(adapter)
        for adapter in adapters - before:
            self.holders[adapter].add(target)
        self.held[target] = adapters

    def of(self, adapter: str) -> list[str]:
        """Return the names of an adapter's holders."""
        return sorted(self.holders.get(adapter, ()))


class UsableTargets:
    """The targets of one request that may be used now, looked up as a router asks for them.

    Parameters
    ----------
    fleet : Fleet
        Links, ring and index of holders.
    allowed : frozenset of str
        Targets that may serve the request.
    tried : set of str
        Targets that already failed it.
    """

    def __init__(self, fleet: 'Fleet', allowed: frozenset[str], tried: set[str]) -> None:
        """Keep what the lookups need."""
        self.fleet = fleet
        self.allowed = allowed
        self.tried = tried

    def all(self) -> list[TargetView]:
        """Return every target."""
        return list(self._views(sorted(self.allowed)))

    def holders(self, adapter: str) -> list[TargetView]:
        """Return the targets that hold or load an adapter, a random sample where there are many."""
        names = self.fleet.index.of(adapter)
        if len(names) > MAX_HOLDERS:
            names = self.fleet.rng.sample(names, MAX_HOLDERS)
        return list(self._views(names))

    def ring_order(self, adapter: str) -> Iterator[TargetView]:
        """Yield the targets in the ring order of an adapter."""
        if len(self.allowed) <= FEW_TARGETS:
            links = self.fleet.links
            speeds = {name: links[name].target.speed for name in self.allowed if name in links}
            return self._views(rendezvous_order(adapter, speeds))
        return self._views(self.fleet.ring.order(adapter))

    def _views(self, names: Iterable[str]) -> Iterator[TargetView]:
        for name in names:
            link = self.fleet.links.get(name)
            usable = link is not None and link.usable and name not in self.fleet.written_off
            if usable and name in self.allowed and name not in self.tried:
                yield link.view()


class Fleet:
    """Keeps a link to each target and chooses among them.

    Parameters
    ----------
    application : Application
        Owner of the link tasks.
    make_link : callable
        Builds a link to a target.
    """

    def __init__(self, application: Application, make_link: MakeLink) -> None:
        """Start without targets."""
        self.application = application
        self.make_link = make_link
        self.links: dict[str, Link] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.router: Router = ROUTERS[DEFAULT_ROUTER](CostWeights())
        self.routing: tuple[str, CostWeights] = (DEFAULT_ROUTER, CostWeights())
        self.speeds: dict[str, float] = {}
        self.ring = Ring({})
        self.allowed: dict[int, tuple[tuple[TargetEntry, ...], frozenset[str]]] = {}
        self.index = HolderIndex()
        self.rng = random.Random()
        self.written_off: frozenset[str] = frozenset()
        self.targets: dict[str, TargetEntry] = {}

    def observed_targets(self) -> dict[str, ObservedTarget]:
        """Return the address of each target and the incarnation of its sidecar."""
        return {
            name: ObservedTarget(
                f'{link.target.host}:{link.target.port}',
                0 if link.stream is None or link.stream.hello is None else link.stream.hello.incarnation,
            )
            for name, link in self.links.items()
        }

    def write_off(self, names: frozenset[str]) -> None:
        """Give these targets no new work, by the instance list."""
        self.written_off = names

    def apply(self, bundle: Bundle) -> None:
        """Follow the targets and the policy of a bundle."""
        if bundle.targets is not self.targets:
            self._follow_targets(bundle)
        weights = CostWeights(bundle.weights['load_stalls'], bundle.weights['batch_efficiency'])
        routing = (bundle.policy.get('routing', DEFAULT_ROUTER), weights)
        if routing != self.routing:
            self.router = ROUTERS[routing[0]](weights)
            self.routing = routing

    def _follow_targets(self, bundle: Bundle) -> None:
        """Follow the targets; a bundle that changed others only holds the very same mapping."""
        self.targets = bundle.targets
        stale = [name for name, link in self.links.items() if bundle.targets.get(name) != link.target]
        for name in stale:
            self.links.pop(name)
            self.tasks.pop(name).cancel()
            self.index.update(name, frozenset())
        for name, target in bundle.targets.items():
            if name not in self.links:
                self.links[name] = self.make_link(target)
                self.links[name].on_residents = self.index.update
                self.tasks[name] = self.application.spawn(self.links[name].run(), f'link-{name}')
        self.allowed.clear()
        speeds = {name: target.speed for name, target in bundle.targets.items()}
        if speeds != self.speeds:
            self.speeds = speeds
            self.ring = Ring(speeds)

    def choose(self, request: RoutingRequest, targets: tuple[TargetEntry, ...], tried: set[str]) -> Link:
        """Choose the link over which a request goes.

        Parameters
        ----------
        request : RoutingRequest
            What is to be placed.
        targets : tuple of TargetEntry
            Those allowed; the names of a long tuple are remembered by its identity.
        tried : set of str
            Targets that already failed this request.

        Returns
        -------
        Link
            Usable at this moment.

        Raises
        ------
        RequestError
            With outcome ``not_run`` if there is none.
        """
        usable = UsableTargets(self, self._names_of(targets), tried)
        if next(usable.ring_order(request.adapter), None) is None:
            raise RequestError(
                'no target that may serve this request is reachable',
                step='route',
                code='no_target',
                retry_after=1,
            )
        return self.links[self.router(request, usable, self.rng).name]

    def _names_of(self, targets: tuple[TargetEntry, ...]) -> frozenset[str]:
        if len(targets) <= FEW_TARGETS:
            return frozenset(target.name for target in targets)
        known = self.allowed.get(id(targets))
        if known is None or known[0] is not targets:
            if len(self.allowed) >= MAX_REMEMBERED:
                self.allowed.clear()
            known = (targets, frozenset(target.name for target in targets))
            self.allowed[id(targets)] = known
        return known[1]
