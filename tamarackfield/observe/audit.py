"""Audit trail: every change that this process made or accepted, newest last."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from loguru import logger

from tamarackfield.core.clock import SYSTEM_CLOCK, Clock

#: Changes kept in memory; older ones are in the log only.
DEFAULT_CAPACITY = 2000


@dataclass(frozen=True, slots=True)
class Change:
    """One change.

    Parameters
    ----------
    sequence : int
        Number of the change in this process, from 1.
    unix_ms : int
        When it was made, in Unix milliseconds.
    action : str
        What was done, such as ``adapter_loaded``.
    details : dict
        Values that name what was changed.
    """

    sequence: int
    unix_ms: int
    action: str
    details: dict[str, Any]


class AuditTrail:
    """Bounded record of changes, also written to the log.

    Parameters
    ----------
    capacity : int
        Number of changes kept.
    clock : Clock
        Source of the time.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY, clock: Clock = SYSTEM_CLOCK) -> None:
        """Start an empty trail."""
        self.changes: deque[Change] = deque(maxlen=capacity)
        self.clock = clock
        self.sequence = 0

    def record(self, action: str, **details: Any) -> None:
        """Add one change and log it as event ``audit``."""
        self.sequence += 1
        self.changes.append(Change(self.sequence, self.clock.unix_ms(), action, details))
        logger.bind(action=action, sequence=self.sequence, **details).info('audit')

    def since(self, sequence: int) -> list[dict[str, Any]]:
        """Return the kept changes after a sequence number, oldest first, ready for JSON."""
        return [
            {'sequence': change.sequence, 'unix_ms': change.unix_ms, 'action': change.action, **change.details}
            for change in self.changes
            if change.sequence > sequence
        ]
