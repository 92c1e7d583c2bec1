"""Records of injected faults, for the reports of violations."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class Incident:
    """One injected fault; times are in monotonic seconds, the end is infinite while the fault is active."""

    name: str
    started_at: float
    ended_at: float = float('inf')
    where: str = ''

    def __str__(self) -> str:
        """Return one line of a violation report."""
        return f'{self.started_at:.2f}..{self.ended_at:.2f} {self.name} {self.where}'


def format_violation(description: str, incidents: Iterable[Incident], since: float) -> str:
    """Return a violation report that lists each fault active at or after a time on its own line."""
    return '\n  '.join([description, *(str(incident) for incident in incidents if incident.ended_at >= since)])
