"""Retries of one entry, so that all entries together stay below what a service allows.

Load pattern: many workers fail part of their requests, or many requests are refused, at all entries
at once. A service allows attempts beyond the first as a share of its requests and a fixed number on
top, in any window of some seconds and over all entries. No entry knows what the others do, so each
takes its part of the fixed number: half of it at once, half of it spread over the window.
"""

from dataclasses import dataclass

#: Entries that are assumed while none has been counted; larger than small deployments have.
UNKNOWN_ENTRIES = 50


@dataclass(slots=True)
class SharedRetries:
    """Attempts beyond the first that an entry may make to one service.

    Parameters
    ----------
    share : float
        Attempts earned by each request.
    allowance : float
        Attempts on top in one window, over all entries.
    window_seconds : float
        Length of the window.
    entries : int
        That share the allowance; 0 if not known.
    saved : float
        Attempts that may be made now. It starts at zero, so that restarts earn nothing.
    filled_at : float
        Monotonic seconds up to which time has been counted.

    Examples
    --------
    >>> retries = SharedRetries(0.2, 40.0, 10.0, entries=4)
    >>> retries.may_spend(100.0), retries.may_spend(101.0), retries.may_spend(103.0)
    (False, False, True)
    >>> retries.spend(103.0)
    >>> retries.may_spend(103.0)
    False
    """

    share: float
    allowance: float
    window_seconds: float
    entries: int = 0
    saved: float = 0.0
    filled_at: float = 0.0

    def earn(self, now: float) -> None:
        """Count one request."""
        self._fill(now)
        self.saved = min(self._most(), self.saved + self.share)

    def may_spend(self, now: float) -> bool:
        """Tell whether one more attempt is allowed."""
        self._fill(now)
        return self.saved >= 1

    def spend(self, now: float) -> None:
        """Count one more attempt."""
        self._fill(now)
        self.saved -= 1

    def _most(self) -> float:
        return max(1.0, self._part() / 2)

    def _part(self) -> float:
        return self.allowance / (self.entries or UNKNOWN_ENTRIES)

    def _fill(self, now: float) -> None:
        passed = now - self.filled_at if self.filled_at else 0.0
        self.filled_at = now
        self.saved = min(self._most(), self.saved + passed * self._part() / 2 / self.window_seconds)
