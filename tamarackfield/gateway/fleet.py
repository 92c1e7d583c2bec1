"""Targets with the links to their sidecars, and the choice of a target for a call."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from tamarackfield.core import BOOT_CLOCK, Address, Application
from tamarackfield.core.clock import MS_PER_SECOND, NS_PER_SECOND
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.directory import Directory, Target, prefer_later
from tamarackfield.gateway.facts import make_facts
from tamarackfield.gateway.links import ManagerLink, raise_versions
from tamarackfield.gateway.quarantine import RequestQuarantine
from tamarackfield.gateway.quotas import Quotas
from tamarackfield.gateway.request_limits import RequestLimits
from tamarackfield.gateway.model import Call, Catalog, Engine, Versions
from tamarackfield.policy import CostWeights, Ring, RoutingRequest, TargetView
from tamarackfield.policy.affine import choose_by_cost
from tamarackfield.policy.health import select_usable
from tamarackfield.policy.residency import MAX_CONCURRENT_LOADS
from tamarackfield.policy.request_limits import MAX_PERMIT_WAIT_SECONDS
from tamarackfield.policy.pauses import draw_return_seconds
from tamarackfield.policy.routing import list_least_running
from tamarackfield.policy.service_routing import choose_service_target
from tamarackfield.wire.messages import Hello, Holdings
from tamarackfield.wire.reservations import Facts

#: Share of a target's connection limit that all entries together use; the remainder covers connections
#: that close late.
CONNECTION_SHARE = 0.8
#: Lower bound of the number of entries among which a target's connection limit is divided.
MIN_ENTRIES = 4
#: Lower bound of the limit of connections that an entry may open to a target.
MIN_CONNECTIONS = 4
_COST_WEIGHTS = CostWeights()
_EMPTY_RING = Ring({})


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Request for the choice of a target.

    Parameters
    ----------
    service : str
        Name of the service that serves the call.
    adapter : str
        ``model/adapter``, ``model``, or empty for a plain service.
    deadline : float
        Deadline of the call, in monotonic seconds.
    prompt_tokens : int
        Length of the prompt in tokens; 0 if it is not known.
    call : Call or None
        Call that is placed, None if nothing of it may be suspected of a crash.
    is_probe : bool
        Whether it goes to a target with the fewest other runs, which a crash would break off, and might have caused.
    """

    service: str
    adapter: str
    deadline: float
    prompt_tokens: int = 0
    call: Call | None = None
    is_probe: bool = False

    def is_isolated(self) -> bool:
        """Return whether a suspected part of the call may decide where it goes."""
        return self.call is not None and not self.is_probe


def make_placement(call_state: CallState) -> PlacementRequest:
    """Return the request for the choice of a target for a call."""
    call = call_state.call
    adapter, is_probe = call_state.adapter_key(), call_state.is_probe
    return PlacementRequest(call_state.service, adapter, call.deadline, call.prompt_tokens, call, is_probe)


class Candidates:
    """Candidate targets of one choice, in the form that the routing policy reads."""

    def __init__(self, views: Sequence[TargetView], ring: Ring) -> None:
        """Index the views by name."""
        self.views = {view.name: view for view in views}
        self.ring = ring

    def all(self) -> Sequence[TargetView]:
        """Return every target."""
        return list(self.views.values())

    def holders(self, adapter: str) -> Sequence[TargetView]:
        """Return the targets on which an adapter is resident or loading, or from which it was evicted lately."""
        return [
            view
            for view in self.views.values()
            if adapter in view.residents or adapter in view.loading or adapter in view.recent
        ]

    def ring_order(self, adapter: str) -> Iterable[TargetView]:
        """Yield the targets in the order of the hash ring for an adapter."""
        return (self.views[name] for name in self.ring.order(adapter) if name in self.views)


class Fleet:
    """All targets that this entry may call.

    Parameters
    ----------
    application : Application
        Supervises the tasks of the links.
    directory : Directory
        Targets by name.
    versions : Versions
        Newest version of each adapter.
    hello : callable
        Returns the greeting that identifies this process to sidecars.
    manager_port : int
        Port on which the sidecars of targets listen.
    zone : str
        Availability zone of this entry.
    """

    def __init__(  # noqa: WPS211 the parts of the fleet
        self,
        application: Application,
        directory: Directory,
        versions: Versions,
        hello: Callable[[], Hello],
        manager_port: int,
        zone: str,
    ) -> None:
        """Create a fleet without links."""
        self.application = application
        self.directory = directory
        self.versions = versions
        self.hello = hello
        self.manager_port = manager_port
        self.zone = zone
        self.rng = random.Random()  # noqa: S311 draws among near-ties
        self.catalog: Catalog | None = None
        self.links: dict[str, ManagerLink] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.quarantine = RequestQuarantine(application, self.links.values)
        directory.on_end = self.quarantine.ends.record_end
        self.limits = RequestLimits(directory, self.links, hello)
        self.quotas = Quotas(application, self.links, hello)
        # Largest number of entries that a sidecar has reported.
        self.entries = 0
        self.rings: dict[str, tuple[frozenset[str], Ring]] = {}
        # Model targets that are listed on a machine, by its IP number, as of the last change of the directory.
        self.targets_by_host: dict[str, list[Target]] = {}
        self.engine_target_count = 0

    def sync_links(self) -> None:
        """Open links to the sidecars of new targets and close those of removed targets."""
        self._index_targets()
        # Every host is looked at, whatever the others report.
        if any([self._use_reported_rival(host) for host in self.links]):
            self._index_targets()
        wanted = self.targets_by_host
        for host in self.links.keys() - wanted.keys():
            self.links.pop(host)
            self.tasks.pop(host).cancel()
        for host in wanted.keys() - self.links.keys():
            self._open_link((host, self.manager_port))
        for link in self.links.values():
            link.send_facts()
            raise_versions(link, self.versions.newest)
        self.refresh_views()

    def refresh_views(self) -> None:
        """Update the connection limits of all targets, and their views from the reports of their sidecars."""
        self._index_targets()
        self._limit_connections()
        for host, targets in self.targets_by_host.items():
            for target in targets:
                self._refresh_view(target, self.links.get(host))

    def granting_link(self, target: Target) -> ManagerLink | None:
        """Return the link to the sidecar of a target if it can grant requests for this incarnation."""
        link = self.links.get(target.record.address[0])
        if link is None or not link.is_up() or link.report is None:
            return None
        return link if link.report.incarnation == target.record.started_ms else None

    def find_link(self, target: Target) -> ManagerLink | None:
        """Return the link to the sidecar of a target, whether or not it is connected."""
        return self.links.get(target.record.address[0])

    def choose_target(self, placement: PlacementRequest, allowed: Callable[[Target], bool]) -> Target | None:
        """Choose a target for a call.

        Parameters
        ----------
        placement : PlacementRequest
            Service, adapter, deadline and prompt length of the call.
        allowed : callable
            Returns whether the call may be sent to a target.

        Returns
        -------
        Target or None
            None if no target can accept the call now.
        """
        now = BOOT_CLOCK.monotonic()
        reachable = [
            target
            for target in self.directory.usable_targets(placement.service)
            if allowed(target) and target.has_connection_capacity()
        ]
        permitted = [target for target in reachable if target.takes_request(now, 0)] or [
            target for target in reachable if target.takes_request(now, MAX_PERMIT_WAIT_SECONDS)
        ]
        usable = prefer_later([target for target in permitted if self._can_serve(target, placement.adapter)])
        healthy = [usable[index] for index in select_usable([target.health for target in usable], now)]
        if not healthy:
            return None
        views = [target.view for target in healthy]
        if placement.is_probe:
            views = list_least_running(views)
        isolated_part = self.quarantine.find_isolated_part(placement.call) if placement.is_isolated() else ''
        if isolated_part:
            view = next(iter(Candidates(views, self.ring_of(placement.service)).ring_order(isolated_part)))
        elif placement.adapter:
            request = RoutingRequest(placement.adapter, self.zone, now, placement.deadline, placement.prompt_tokens)
            candidates = Candidates(views, self.ring_of(placement.service))
            view = choose_by_cost(request, candidates, self.rng, _COST_WEIGHTS)
        else:
            view = choose_service_target(views, self.zone, self.rng)
        return next(target for target in healthy if target.view is view)

    def has_unlimited_target(self, service: str, allowed: Callable[[Target], bool]) -> bool:
        """Return whether a target of a service takes requests now and limits their number not at all."""
        now = BOOT_CLOCK.monotonic()
        return any(
            target.request_limit is None and allowed(target) and target.takes_request(now, 0)
            for target in self.directory.usable_targets(service)
        )

    def seconds_until_return(self, service: str) -> float:
        """Return after how many seconds a caller of a service may come back; 0 unless no target takes requests now."""
        now = BOOT_CLOCK.monotonic()
        ends = [target.returns_at() for target in self.directory.usable_targets(service)]
        return draw_return_seconds(ends, now, self.rng) if ends and min(ends) > now else 0.0

    def ring_of(self, service: str) -> Ring:
        """Return the hash ring of a service, rebuilt when its set of targets changes."""
        names = self.directory.targets_by_service.get(service, {}).keys()
        known, ring = self.rings.get(service, (frozenset(), _EMPTY_RING))
        if known != names:
            ring = Ring(dict.fromkeys(names, 1.0))
            self.rings[service] = (frozenset(names), ring)
        return ring

    def _limit_connections(self) -> None:
        """Set the connection limit of each target to the share of this entry, with headroom for late closes."""
        services = self.catalog.services if self.catalog else {}
        share = CONNECTION_SHARE / max(self.entries, MIN_ENTRIES)
        for target in self.directory.targets.values():
            service = services.get(target.record.service)
            if service is not None and service.max_connections:
                target.max_connections = max(MIN_CONNECTIONS, int(service.max_connections * share))

    def _can_serve(self, target: Target, adapter: str) -> bool:
        if not adapter or self.granting_link(target) is not None:
            return True
        link = self.links.get(target.record.address[0])
        if link is not None and link.is_machine_suspect():
            return False
        return adapter in target.view.residents and not self._is_replaced(target)

    def _is_replaced(self, target: Target) -> bool:
        """Return whether the sidecar reports another incarnation of its target than the listed one."""
        link = self.links.get(target.record.address[0])
        report = None if link is None else link.report
        return report is not None and report.incarnation != target.record.started_ms

    def _engine_targets(self) -> list[Target]:
        targets = self.directory.targets.values()
        return [target for target in targets if self._engine_of(target.record.service) is not None]

    def _open_link(self, address: Address) -> None:
        host = address[0]
        link = ManagerLink(address, self.hello, lambda: self._facts_for(host), lambda: self._refresh_host(host))
        self.quarantine.attach(link)
        self.limits.attach(link)
        self.quotas.attach(link)
        self.links[host] = link
        self.tasks[host] = self.application.supervise(link.run, f'sidecar-{host}')

    def _facts_for(self, host: str) -> list[Facts]:
        """Return the messages that describe the targets that are listed on a machine to its sidecar.

        Items of other writers may name that machine: the sidecar, which knows its engine, chooses.
        """
        if self.catalog is None:
            return []
        records = [target.record for target in self.targets_by_host.get(host, ()) if not target.removed]
        return [
            make_facts(record.name, record.started_ms, self.catalog.version, engine, self.engine_target_count)
            for record in records
            if (engine := self._engine_of(record.service)) is not None
        ]

    def _engine_of(self, service_name: str) -> Engine | None:
        service = self.catalog.services.get(service_name) if self.catalog else None
        return None if service is None else service.engine

    def _refresh_host(self, host: str) -> None:
        link = self.links.get(host)
        if link is None:
            return
        if self._use_reported_rival(host):
            self.sync_links()
            return
        for target in self.targets_by_host.get(host, ()):
            self._refresh_view(target, link)

    def _refresh_view(self, target: Target, link: ManagerLink | None) -> None:
        view = target.view
        report = None if link is None else link.report
        holdings = None if link is None else link.holdings
        if report is None or holdings is None or report.incarnation != target.record.started_ms:
            view.residents = frozenset(self._current_adapters(target.record.holdings))
            view.loading = frozenset()
            target.viewed_holdings = (None, 0)
            view.unreported = 0
            view.unreported_tokens = 0
            return
        if report.entries > self.entries:
            # Never decreased: an entry that is partitioned from some sidecars must not take the shares of others.
            self.entries = report.entries
            self._limit_connections()
        if report.leaving:
            target.mark_leaving('sidecar')
        view.batch = max(1, report.batch)
        view.slots = report.slots
        view.running = report.running
        view.queued = report.queued
        view.pinned = report.pinned
        view.load_seconds = report.load_ms / MS_PER_SECOND
        view.service_seconds = report.service_ms / MS_PER_SECOND
        view.concurrent_loads = MAX_CONCURRENT_LOADS
        self._refresh_holdings(target, holdings)
        view.token_seconds = report.token_ns / NS_PER_SECOND
        if link is not None and link.reported_at != view.reported_at:
            view.reported_at = link.reported_at
            view.prompt_seconds = report.prompt_ms / MS_PER_SECOND
            view.unreported = 0
            view.unreported_tokens = 0

    def _refresh_holdings(self, target: Target, holdings: Holdings) -> None:
        """Update the adapters in the view of a target; most reports change only its load."""
        viewed, version_changes = target.viewed_holdings
        if viewed is holdings and version_changes == self.versions.changes:
            return
        target.viewed_holdings = (holdings, self.versions.changes)
        target.replace_residents(frozenset(self._current_adapters(holdings.residents)))
        target.view.loading = frozenset(holdings.loading)

    def _use_reported_rival(self, host: str) -> bool:
        """Use the target that a sidecar reports, if another one is listed at its address; return whether one was."""
        link = self.links.get(host)
        if link is None or link.report is None:
            return False
        started_ms = link.report.incarnation
        now = BOOT_CLOCK.monotonic()
        targets = self.targets_by_host.get(host, ())
        reported = [target for target in targets if target.record.started_ms == started_ms]
        misdirected = [
            target
            for target in targets
            if target.record.started_ms != started_ms
            and target.has_address(now)
            and any(rival in reported for rival in target.list_rivals())
        ]
        for target in misdirected:
            self.directory.record_misdirected(target)
        if misdirected and len(reported) == 1:
            self.directory.record_answer(reported[0])
        return bool(misdirected)

    def _index_targets(self) -> None:
        now = BOOT_CLOCK.monotonic()
        self.targets_by_host = {}
        targets = self._engine_targets()
        for target in targets:
            self.targets_by_host.setdefault(target.record.address[0], []).append(target)
        self.engine_target_count = sum(target.has_address(now) for target in targets)

    def _current_adapters(self, holdings: Iterable[str]) -> Iterable[str]:
        """Yield the models, and the adapters whose newest version is resident."""
        for holding in holdings:
            adapter, _, version = holding.partition('@')
            if not version or int(version) >= self.versions.newest.get(adapter, 0):
                yield adapter
