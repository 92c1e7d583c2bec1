"""Targets by service, as the instance list and the results of requests show them.

A target that leaves gets nothing new. One whose entry vanished while the store was in trouble is
kept for as long as live targets may take to come back; it is the last choice until then.
"""

from dataclasses import dataclass, field

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, Clock
from tamarackfield.gateway.model import TargetRecord
from tamarackfield.gateway.replica import SETTLE_SECONDS
from tamarackfield.policy import TargetView
from tamarackfield.policy.health import TargetHealth

#: Connections to a target until it is known how many it accepts and how many entries share them.
DEFAULT_MAX_OPEN = 32


@dataclass(slots=True)
class Target:
    """One life of a target.

    Parameters
    ----------
    record : TargetRecord
        As last listed.
    view : TargetView
        What choices are made from.
    health : TargetHealth
        Results of requests.
    listed_at : float
        Monotonic seconds at which the record was taken in.
    vanished_until : float
        Monotonic seconds at which a vanished target counts as gone; 0 if it is listed.
    gone : bool
        Whether it gets no request any more.
    leaving : bool
        Whether this entry saw that it leaves, or that its address has another target.
    max_open : int
        Most connections that this entry opens to it; a target resets those beyond what it accepts.
    """

    record: TargetRecord
    view: TargetView
    health: TargetHealth = field(default_factory=TargetHealth)
    listed_at: float = 0.0
    vanished_until: float = 0.0
    gone: bool = False
    leaving: bool = False
    max_open: int = DEFAULT_MAX_OPEN

    def takes_work(self, now: float) -> bool:
        """Tell whether new requests may be sent to it."""
        if self.gone or self.leaving or self.record.draining:
            return False
        return not self.vanished_until or now < self.vanished_until

    def has_room(self) -> bool:
        """Tell whether one more connection may be opened to it."""
        return self.view.outstanding < self.max_open


class Directory:
    """Targets by name.

    Parameters
    ----------
    clock : Clock
        Source of time, counting suspensions.
    """

    def __init__(self, clock: Clock = BOOT_CLOCK) -> None:
        """Start with no target."""
        self.clock = clock
        self.targets: dict[str, Target] = {}

    def put(self, record: TargetRecord) -> Target | None:
        """Take in a listed target; a later life, or a later target at its address, replaces an earlier one."""
        known = self.targets.get(record.name)
        if known is None and self._is_superseded(record):
            return None
        if known is not None and record.started_ms < known.record.started_ms:
            logger.bind(target=record.name, started_ms=record.started_ms).info('entry_of_earlier_life_passed_over')
            return known
        if known is None or record.started_ms > known.record.started_ms or record.address != known.record.address:
            known = self._add(record, known)
        self._renew(known, record)
        return known

    def remove(self, name: str, unsettled: bool) -> None:
        """Take out a target whose entry vanished.

        Parameters
        ----------
        name : str
            Of the target.
        unsettled : bool
            Whether the store was in trouble, so that live targets may have lapsed.
        """
        target = self.targets.get(name)
        if target is None:
            return
        now = self.clock.monotonic()
        if unsettled and not target.record.draining:
            target.vanished_until = target.vanished_until or now + SETTLE_SECONDS
            logger.bind(target=name, until=round(target.vanished_until, 3)).info('target_vanished')
            return
        self._drop(target, 'entry was removed')

    def expire(self) -> None:
        """Drop the targets that vanished and did not come back."""
        now = self.clock.monotonic()
        for target in list(self.targets.values()):
            if target.vanished_until and now >= target.vanished_until:
                self._drop(target, 'entry did not come back')

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that take new work; vanished ones only if there is no other."""
        now = self.clock.monotonic()
        usable = [
            target for target in self.targets.values() if target.record.service == service and target.takes_work(now)
        ]
        listed = [target for target in usable if not target.vanished_until]
        return listed or usable

    def _is_superseded(self, record: TargetRecord) -> bool:
        return any(
            target.record.address == record.address and target.record.started_ms > record.started_ms
            for target in self.targets.values()
        )

    def _add(self, record: TargetRecord, before: Target | None) -> Target:
        if before is not None:
            self._drop(before, 'another life of it was listed')
        for other in self._at_address(record):
            self._drop(other, 'a later target has its address')
        view = TargetView(record.name, record.zone, batch=max(1, record.batch))
        target = Target(record, view)
        self.targets[record.name] = target
        logger.bind(target=record.name, service=record.service, zone=record.zone, started_ms=record.started_ms).info(
            'target_listed'
        )
        return target

    def _at_address(self, record: TargetRecord) -> list[Target]:
        """Return the earlier targets that were listed at the address of a new one."""
        return [
            target
            for target in self.targets.values()
            if target.record.address == record.address and target.record.started_ms < record.started_ms
        ]

    def _renew(self, target: Target, record: TargetRecord) -> None:
        if target.record.draining:
            record.draining = True
        elif record.draining:
            logger.bind(target=record.name).info('target_leaving')
        target.record = record
        target.listed_at = self.clock.monotonic()
        target.vanished_until = 0.0

    def _drop(self, target: Target, reason: str) -> None:
        target.gone = True
        if self.targets.get(target.record.name) is target:
            self.targets.pop(target.record.name)
        logger.bind(target=target.record.name, reason=reason).info('target_gone')
