"""Audit trail of the changes that this process made or accepted, oldest first."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from loguru import logger

from tamarackfield.core.clock import SYSTEM_CLOCK, Clock

#: Changes kept in memory; older ones are only in the log.
DEFAULT_CAPACITY = 2000


@dataclass(frozen=True, slots=True)
class Change:
    """One change in the audit trail.

    Parameters
    ----------
    sequence : int
        Number of the change in this process, from 1.
    unix_ms : int
        Time of the change, in Unix milliseconds.
    action : str
        Kind of the change, such as ``adapter_loaded``.
    details : dict
        Values that identify what was changed.
    """

    sequence: int
    unix_ms: int
    action: str
    details: dict[str, Any]


class AuditTrail:
    """Bounded list of recent changes, which are also written to the log.

    Parameters
    ----------
    capacity : int
        Maximum number of changes kept in memory.
    clock : Clock
        Source of the times of changes.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY, clock: Clock = SYSTEM_CLOCK) -> None:
        """Create an empty audit trail."""
        self.changes: deque[Change] = deque(maxlen=capacity)
        self.clock = clock
        self.sequence = 0

    def record(self, action: str, **details: Any) -> None:
        """Add one change and log it as event ``audit``."""
        self.sequence += 1
        self.changes.append(Change(self.sequence, self.clock.unix_ms(), action, details))
        logger.bind(action=action, sequence=self.sequence, **details).info('audit')

    def changes_since(self, sequence: int) -> list[dict[str, Any]]:
        """Return the changes in memory after a sequence number, oldest first, in a form for JSON."""
        return [
            {'sequence': change.sequence, 'unix_ms': change.unix_ms, 'action': change.action, **change.details}
            for change in self.changes
            if change.sequence > sequence
        ]
