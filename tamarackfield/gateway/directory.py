"""Directory of targets, kept up to date from the instance list and from answers to requests.

A draining target receives no new requests. A target whose item vanished while the store was
unreliable is kept for as long as it may still register again; until then it is used
only if its service has no other target.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK, Clock
from tamarackfield.gateway.model import TargetRecord
from tamarackfield.policy import TargetView
from tamarackfield.policy.health import TargetHealth
from tamarackfield.policy.pauses import extend_pause
from tamarackfield.policy.request_limits import seconds_between_requests

#: Number of evicted adapters that count as evicted lately, as a multiple of the adapters that a target holds.
RECENT_PLACES = 4
#: Number of departed targets that are remembered, so that an older copy of the store does not bring them back.
MAX_DEPARTED = 1024
#: Seconds after another instance answered at the address of a target in which it gets no call, unless its sidecar
#: shows before that it is there.
MISDIRECTED_SECONDS = 3.0
#: Limit of connections to a target until the number that it accepts and the number of entries that share
#: them are known.
DEFAULT_MAX_CONNECTIONS = 32


class OpenConnection(Protocol):
    """Connection of which is known whether it has ended."""

    ended: bool


@dataclass(slots=True)
class Target:
    """One incarnation of a target.

    Parameters
    ----------
    record : TargetRecord
        Record from the newest item of the instance list.
    view : TargetView
        State that the routing policies read.
    health : TargetHealth
        Outlier detection from the results of requests.
    listed_at : float
        Monotonic seconds at which the record was received.
    removal_due_at : float
        Monotonic seconds at which a vanished target is removed; 0 while it is listed.
    removed : bool
        Whether it was removed from the directory and receives no more requests.
    proof : object or None
        Connection on which it answered last; while this is open, the target is at its address.
    misdirected_at : float
        Monotonic seconds at which another instance answered at its address; 0 if it has answered itself since.
    rivals : list of Target
        Other targets that are or were listed at the same address.
    max_connections : int
        Limit of connections that this entry opens to it; a target resets those beyond what it accepts.
    evicted : dict
        Adapters that were evicted lately as keys, the latest last.
    paused_until : float
        Monotonic seconds until which the target wants no request; 0 if it has not asked for a pause.
    request_limit : float or None
        Requests a second that it takes from all entries together; None while it states no limit.
    limit_noticed_at : float
        Monotonic seconds at which this process last heard of its limit; 0 before.
    permit_due_at : float
        Monotonic seconds before which its gate admits no further request; 0 if that is not known.
    probe_due_at : float
        Monotonic seconds from which it may be called though it has a limit and no gate can be reached; 0 before the
        first such call.
    leaving_noticed_ms : int
        Unix milliseconds at which an answer last said that the target leaves; 0 if none did.
    viewed_holdings : tuple
        Holdings of its sidecar that the view shows, and the count of announced versions that it takes into account.
    """

    record: TargetRecord
    view: TargetView
    health: TargetHealth = field(default_factory=TargetHealth)
    listed_at: float = 0.0
    removal_due_at: float = 0.0
    removed: bool = False
    proof: OpenConnection | None = None
    misdirected_at: float = 0.0
    rivals: list['Target'] = field(default_factory=list)
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    evicted: dict[str, None] = field(default_factory=dict)
    paused_until: float = 0.0
    request_limit: float | None = None
    limit_noticed_at: float = 0.0
    permit_due_at: float = 0.0
    probe_due_at: float = 0.0
    leaving_noticed_ms: int = 0
    viewed_holdings: tuple[object, int] = (None, 0)

    def accepts_requests(self, now: float) -> bool:
        """Return whether new requests may be sent to it."""
        if self.removed or self.record.draining or not self.has_address(now):
            return False
        return not self.removal_due_at or now < self.removal_due_at

    def has_address(self, now: float) -> bool:
        """Return whether this target, of those that are listed at its address, may be there.

        Items of other writers may name any address, so only answers from there decide, not what is listed.
        """
        if not self.misdirected_at and not self.rivals:
            return True
        rivals = self.list_rivals()
        if any(rival.is_certain() for rival in rivals):
            return False
        if now < self.misdirected_at + MISDIRECTED_SECONDS and self.misdirected_at:
            return False
        return not self.misdirected_at or not self._has_untried_rival(rivals)

    def is_certain(self) -> bool:
        """Return whether the target is known to be at its address: a connection on which it answered is open."""
        return self.proof is not None and not self.proof.ended

    def is_preferred_to(self, other: 'Target') -> bool:
        """Return whether a call goes to this target rather than to another one that is listed at its address.

        A later one of the same service is: its predecessor there has mostly ended.
        """
        record, other_record = self.record, other.record
        if record.address != other_record.address or record.service != other_record.service:
            return False
        return record.started_ms > other_record.started_ms and not self.misdirected_at

    def may_be_misdirected(self) -> bool:
        """Return whether a refusal that does not say who gave it may be one of another instance."""
        return not self.is_certain() and self._has_untried_rival(self.list_rivals())

    def _has_untried_rival(self, rivals: list['Target']) -> bool:
        """Return whether a rival that calls can reach has not turned out to be elsewhere."""
        return any(
            rival.record.service == self.record.service and not rival.record.draining and not rival.misdirected_at
            for rival in rivals
        )

    def list_rivals(self) -> list['Target']:
        """Return the other targets that are listed at its address."""
        return [rival for rival in self.rivals if not rival.removed and rival.record.address == self.record.address]

    def explain_refusal(self, now: float) -> str:
        """Return why no request may be sent to the target now, empty if one may."""
        if not self.accepts_requests(now):
            return 'target left'
        return 'target asked for a pause' if self.is_paused(now) else ''

    def is_paused(self, now: float) -> bool:
        """Return whether the target wants no request now."""
        return now < self.paused_until

    def pause(self, seconds: float, now: float) -> None:
        """Send nothing to the target for a time that it asked for."""
        until = extend_pause(self.paused_until, seconds, now)
        if not self.is_paused(now):
            logger.bind(target=self.record.name, seconds=round(until - now, 3)).info('target_paused')
        self.paused_until = until

    def record_limit(self, limit: float | None, source: str, now: float) -> bool:
        """Record the limit that the target states now, None for none; return whether it changed."""
        if limit is not None:
            self.limit_noticed_at = now
        if limit == self.request_limit:
            return False
        logger.bind(target=self.record.name, source=source, before=self.request_limit, limit=limit).info('target_limit')
        self.request_limit = limit
        self.permit_due_at = 0.0
        self.view.request_seconds = 0.0 if limit is None else seconds_between_requests(limit)
        return True

    def takes_request(self, now: float, wait_seconds: float) -> bool:
        """Return whether it wants requests now, and its gate may admit one that waits there for some time."""
        return not self.is_paused(now) and now + wait_seconds >= self.permit_due_at

    def returns_at(self) -> float:
        """Return when it takes requests again, because of a pause or its limit; in the past if it takes them."""
        return max(self.paused_until, self.permit_due_at)

    def record_leaving_answer(self) -> None:
        """Record that an answer says that the target leaves; answers do not say of which incarnation they are."""
        self.leaving_noticed_ms = SYSTEM_CLOCK.unix_ms()
        self.mark_leaving('answer')

    def mark_leaving(self, source: str) -> None:
        """Record that this incarnation leaves, for good; ``source`` is what said so."""
        if not self.record.draining:
            self.record.draining = True
            logger.bind(target=self.record.name, source=source).info('target_leaving')

    def replace_residents(self, residents: frozenset[str]) -> None:
        """Update the resident adapters; those that are no longer resident count as evicted lately."""
        if residents == self.view.residents:
            return
        for adapter in self.view.residents - residents:
            self.evicted[adapter] = None
        for adapter in residents & self.evicted.keys():
            self.evicted.pop(adapter)
        excess = len(self.evicted) - RECENT_PLACES * self.view.slots
        for adapter in tuple(self.evicted)[: max(0, excess)]:
            self.evicted.pop(adapter)
        self.view.residents = residents
        self.view.recent = self.evicted.keys()

    def has_connection_capacity(self) -> bool:
        """Return whether one more connection may be opened to it."""
        return self.view.outstanding < self.max_connections


class Directory:
    """Targets by name.

    Parameters
    ----------
    clock : Clock
        Clock that includes the time for which the machine was suspended.
    """

    def __init__(self, clock: Clock = BOOT_CLOCK) -> None:
        """Create an empty directory."""
        self.clock = clock
        self.targets: dict[str, Target] = {}
        # The same targets by service and name, in the same order.
        self.targets_by_service: dict[str, dict[str, Target]] = {}
        # Called with the record of a target that ended without having said that it leaves.
        self.on_end: Callable[[TargetRecord], None] = _ignore_end
        # Latest start of an incarnation that left, by name, the latest removal last.
        self.departed: dict[str, int] = {}

    def upsert(self, record: TargetRecord) -> Target | None:
        """Add or update a listed target; a later incarnation, or a later target at the same address, replaces it."""
        known = self.targets.get(record.name)
        if self._has_left(record, known):
            logger.bind(target=record.name, started_ms=record.started_ms).info('departed_target_ignored')
            return known
        if known is not None and record.started_ms < known.record.started_ms:
            logger.bind(target=record.name, started_ms=record.started_ms).info('earlier_incarnation_ignored')
            return known
        if known is None or record.started_ms > known.record.started_ms or record.address != known.record.address:
            known = self._add_target(record, known)
        self._update_record(known, record)
        return known

    def remove(self, name: str, missing_seconds: float) -> None:
        """Remove a target whose item vanished from the instance list, once the item cannot come back any more.

        Parameters
        ----------
        name : str
            Name of the target.
        missing_seconds : float
            Time in seconds for which its item may come back, because the store was unreliable; 0 if it cannot.
        """
        target = self.targets.get(name)
        if target is None:
            return
        now = self.clock.monotonic()
        if missing_seconds > 0 and not target.record.draining:
            target.removal_due_at = target.removal_due_at or now + missing_seconds
            logger.bind(target=name, until=round(target.removal_due_at, 3)).info('target_vanished')
            return
        self._remove_target(target, 'item was deleted')

    def record_misdirected(self, target: Target) -> None:
        """Record that another instance answered at the address of a target."""
        logger.bind(target=target.record.name, others=len(target.list_rivals())).warning('address_has_another_target')
        target.proof = None
        target.misdirected_at = self.clock.monotonic()
        self.on_end(target.record)

    def record_answer(self, target: Target, connection: OpenConnection | None = None) -> None:
        """Record that a target is at its address, as an answer or its sidecar says."""
        target.misdirected_at = 0.0
        target.proof = connection
        for rival in target.rivals:
            rival.proof = None

    def remove_expired(self) -> None:
        """Remove the vanished targets that did not register again in time."""
        now = self.clock.monotonic()
        for target in list(self.targets.values()):
            if target.removal_due_at and now >= target.removal_due_at:
                self._remove_target(target, 'item vanished and was not registered again')

    def list_departures(self) -> dict[str, int]:
        """Return the latest start of an incarnation that left or leaves, by the names of targets."""
        leaving = {
            name: max(target.record.started_ms, target.leaving_noticed_ms)
            for name, target in self.targets.items()
            if target.record.draining
        }
        return self.departed | leaving

    def record_departure(self, name: str, started_ms: int) -> None:
        """Record what a peer knows: that the incarnations of a target up to a start left or leave."""
        target = self.targets.get(name)
        if target is not None and target.record.started_ms <= started_ms:
            target.mark_leaving('peer')
        if started_ms > self.departed.get(name, 0):
            self._remember_departure(name, started_ms)

    def usable_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that accept requests; vanished ones only if there is no other."""
        now = self.clock.monotonic()
        usable = [
            target for target in self.targets_by_service.get(service, {}).values() if target.accepts_requests(now)
        ]
        listed = [target for target in usable if not target.removal_due_at]
        return listed or usable

    def _has_left(self, record: TargetRecord, known: Target | None) -> bool:
        """Return whether an incarnation has left, or had started when its target last said that it leaves."""
        if known is None:
            return record.started_ms <= self.departed.get(record.name, record.started_ms - 1)
        return known.record.started_ms < record.started_ms <= known.leaving_noticed_ms

    def _add_target(self, record: TargetRecord, previous: Target | None) -> Target:
        if previous is not None:
            self._remove_target(previous, 'another incarnation was listed')
        rivals = [other for other in self.targets.values() if other.record.address == record.address]
        view = TargetView(record.name, record.zone, batch=max(1, record.batch))
        target = Target(record, view, rivals=rivals)
        for rival in rivals:
            rival.rivals.append(target)
        self.targets[record.name] = target
        self._index_target(target)
        logger.bind(target=record.name, service=record.service, zone=record.zone, started_ms=record.started_ms).info(
            'target_listed'
        )
        return target

    def _update_record(self, target: Target, record: TargetRecord) -> None:
        if target.record.draining:
            record.draining = True
        elif record.draining:
            logger.bind(target=record.name, source='store').info('target_leaving')
        if record.service != target.record.service:
            self.targets_by_service[target.record.service].pop(record.name)
            target.record = record
            self._index_target(target)
        target.record = record
        target.listed_at = self.clock.monotonic()
        target.removal_due_at = 0.0

    def _index_target(self, target: Target) -> None:
        self.targets_by_service.setdefault(target.record.service, {})[target.record.name] = target

    def _remove_target(self, target: Target, reason: str) -> None:
        target.removed = True
        for rival in target.rivals:
            rival.rivals = [other for other in rival.rivals if other is not target]
        if target.record.draining:
            self._remember_departure(target.record.name, max(target.record.started_ms, target.leaving_noticed_ms))
        else:
            self.on_end(target.record)
        if self.targets.get(target.record.name) is target:
            self.targets.pop(target.record.name)
            self.targets_by_service[target.record.service].pop(target.record.name)
        logger.bind(target=target.record.name, reason=reason).info('target_gone')

    def _remember_departure(self, name: str, started_ms: int) -> None:
        self.departed.pop(name, None)
        self.departed[name] = started_ms
        for earliest in tuple(self.departed)[:-MAX_DEPARTED]:
            self.departed.pop(earliest)


def _ignore_end(record: TargetRecord) -> None:
    """Do nothing."""


def prefer_later(targets: list[Target]) -> list[Target]:
    """Return targets without those of which a later one, that may be called as well, is listed at the address."""
    if not any(target.rivals for target in targets):
        return targets
    return [target for target in targets if not any(other.is_preferred_to(target) for other in targets)]
