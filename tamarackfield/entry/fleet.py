"""Targets of the bundle in force, this entry's links to them, and the choice of a target for each request."""

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

CreateLink = Callable[[TargetEntry], Link]

#: Up to this number of allowed targets are ordered by rendezvous hashing, without a cached set of their names; larger
#: sets are found by walking the hash ring of all targets.
MAX_DIRECTLY_ORDERED_TARGETS = 4
#: Most targets with the adapter that one routing decision considers; a random sample is taken of more.
MAX_SAMPLED_HOLDERS = 8
#: Most tuples of allowed targets whose sets of names are cached.
MAX_CACHED_NAME_SETS = 256


class ResidencyIndex:
    """Inverted index: for each adapter, the targets that last reported it as resident or loading."""

    def __init__(self) -> None:
        """Create an empty index."""
        self.targets_by_adapter: defaultdict[str, set[str]] = defaultdict(set)
        self.adapters_by_target: dict[str, frozenset[str]] = {}

    def update(self, target: str, adapters: frozenset[str]) -> None:
        """Replace the adapters of a target; the cost is proportional to the number of adapters that changed."""
        before = self.adapters_by_target.get(target, frozenset())
        for adapter in before - adapters:
            self.targets_by_adapter[adapter].discard(target)
            if not self.targets_by_adapter[adapter]:
                self.targets_by_adapter.pop(adapter)
        for adapter in adapters - before:
            self.targets_by_adapter[adapter].add(target)
        self.adapters_by_target[target] = adapters

    def targets_with(self, adapter: str) -> list[str]:
        """Return the sorted names of the targets on which an adapter is resident or loading."""
        return sorted(self.targets_by_adapter.get(adapter, ()))


class UsableTargets:
    """Usable targets for one request, evaluated lazily as the router queries them.

    Parameters
    ----------
    fleet : Fleet
        Links, hash ring and residency index.
    allowed : frozenset of str
        Names of the targets that may serve the request.
    tried : set of str
        Names of the targets at which the request already failed.
    """

    def __init__(self, fleet: 'Fleet', allowed: frozenset[str], tried: set[str]) -> None:
        """Store the fleet and the constraints of the request."""
        self.fleet = fleet
        self.allowed = allowed
        self.tried = tried

    def all(self) -> list[TargetView]:
        """Return all usable targets, sorted by name."""
        return list(self._views(sorted(self.allowed)))

    def holders(self, adapter: str) -> list[TargetView]:
        """Return the usable targets on which an adapter is resident or loading; of many, only those in a sample."""
        names = self.fleet.residency.targets_with(adapter)
        if len(names) > MAX_SAMPLED_HOLDERS:
            names = self.fleet.rng.sample(names, MAX_SAMPLED_HOLDERS)
        return list(self._views(names))

    def ring_order(self, adapter: str) -> Iterator[TargetView]:
        """Yield the usable targets in the consistent-hashing order of an adapter."""
        if len(self.allowed) <= MAX_DIRECTLY_ORDERED_TARGETS:
            links = self.fleet.links
            speeds = {name: links[name].target.speed for name in self.allowed if name in links}
            return self._views(rendezvous_order(adapter, speeds))
        return self._views(self.fleet.ring.order(adapter))

    def _views(self, names: Iterable[str]) -> Iterator[TargetView]:
        for name in names:
            link = self.fleet.links.get(name)
            usable = link is not None and link.usable and name not in self.fleet.excluded
            if usable and name in self.allowed and name not in self.tried:
                yield link.view()


class Fleet:
    """Maintains a link to each target of the bundle and routes each request to one of them.

    Parameters
    ----------
    application : Application
        Application that runs the tasks of the links.
    create_link : callable
        Returns a new, unconnected link to a target.
    """

    def __init__(self, application: Application, create_link: CreateLink) -> None:
        """Create a fleet without targets."""
        self.application = application
        self.create_link = create_link
        self.links: dict[str, Link] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.router: Router = ROUTERS[DEFAULT_ROUTER](CostWeights())
        self.router_config: tuple[str, CostWeights] = (DEFAULT_ROUTER, CostWeights())
        self.speeds: dict[str, float] = {}
        self.ring = Ring({})
        self.name_sets: dict[int, tuple[tuple[TargetEntry, ...], frozenset[str]]] = {}
        self.residency = ResidencyIndex()
        self.rng = random.Random()
        self.excluded: frozenset[str] = frozenset()
        self.targets: dict[str, TargetEntry] = {}

    def observed_targets(self) -> dict[str, ObservedTarget]:
        """Return the address of each target and the incarnation of its sidecar, 0 while that is not connected."""
        return {
            name: ObservedTarget(
                f'{link.target.host}:{link.target.port}',
                0 if link.stream is None or link.stream.hello is None else link.stream.hello.incarnation,
            )
            for name, link in self.links.items()
        }

    def exclude(self, names: frozenset[str]) -> None:
        """Set the targets that get no new requests, as derived from the instance list."""
        self.excluded = names

    def apply_bundle(self, bundle: Bundle) -> None:
        """Update the links, the hash ring and the router to the targets and the policy of a bundle."""
        if bundle.targets is not self.targets:
            self._update_targets(bundle)
        weights = CostWeights(bundle.weights['load_stalls'], bundle.weights['batch_efficiency'])
        router_config = (bundle.policy.get('routing', DEFAULT_ROUTER), weights)
        if router_config != self.router_config:
            self.router = ROUTERS[router_config[0]](weights)
            self.router_config = router_config

    def _update_targets(self, bundle: Bundle) -> None:
        """Update links and hash ring; called only if the mapping of targets is another object.

        A bundle in which only other parts changed contains the identical mapping.
        """
        self.targets = bundle.targets
        changed = [name for name, link in self.links.items() if bundle.targets.get(name) != link.target]
        for name in changed:
            self.links.pop(name)
            self.tasks.pop(name).cancel()
            self.residency.update(name, frozenset())
        for name, target in bundle.targets.items():
            if name not in self.links:
                self.links[name] = self.create_link(target)
                self.links[name].on_adapters_change = self.residency.update
                self.tasks[name] = self.application.spawn(self.links[name].run(), f'link-{name}')
        self.name_sets.clear()
        speeds = {name: target.speed for name, target in bundle.targets.items()}
        if speeds != self.speeds:
            self.speeds = speeds
            self.ring = Ring(speeds)

    def choose_link(self, request: RoutingRequest, targets: tuple[TargetEntry, ...], tried: set[str]) -> Link:
        """Choose the link over which a request is sent.

        Parameters
        ----------
        request : RoutingRequest
            Adapter, availability zone and deadline of the request.
        targets : tuple of TargetEntry
            Targets that may serve the request; the names of a long tuple are cached by its identity.
        tried : set of str
            Names of the targets at which this request already failed.

        Returns
        -------
        Link
            Link that is usable now.

        Raises
        ------
        RequestError
            With outcome ``not_run`` if no target is usable.
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
        if len(targets) <= MAX_DIRECTLY_ORDERED_TARGETS:
            return frozenset(target.name for target in targets)
        cached = self.name_sets.get(id(targets))
        if cached is None or cached[0] is not targets:
            if len(self.name_sets) >= MAX_CACHED_NAME_SETS:
                self.name_sets.clear()
            cached = (targets, frozenset(target.name for target in targets))
            self.name_sets[id(targets)] = cached
        return cached[1]
