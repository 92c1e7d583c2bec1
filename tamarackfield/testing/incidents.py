"""Faults that were injected, as the traces of broken promises tell them."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class Incident:
    """One fault that was injected; times are monotonic seconds, the end is infinite while it lasts."""

    name: str
    started_at: float
    ended_at: float = float('inf')
    where: str = ''

    def __str__(self) -> str:
        """Return one line of a trace."""
        return f'{self.started_at:.2f}..{self.ended_at:.2f} {self.name} {self.where}'


def trace(what: str, incidents: Iterable[Incident], since: float) -> str:
    """Return a broken promise with the faults that lasted beyond a time, each on its line."""
    return '\n  '.join([what, *(str(incident) for incident in incidents if incident.ended_at >= since)])
