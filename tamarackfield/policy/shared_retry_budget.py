"""Retry budget of one entry, sized so that all entries together stay within the limit of a service.

Load pattern: many workers fail some of their requests, or many requests are refused, at all entries
at once. A service allows attempts beyond the first as a ratio of its requests plus a fixed allowance,
in any window of a given length and over all entries. No entry knows the retries of the others, so each
takes its equal part of the allowance: half of it available at once, half of it refilled over the window.
"""

from dataclasses import dataclass

#: Number of entries assumed before any has been counted; larger than small deployments have.
ASSUMED_ENTRY_COUNT = 50


@dataclass(slots=True)
class SharedRetryBudget:
    """Attempts beyond the first that an entry may make to one service.

    Parameters
    ----------
    retry_ratio : float
        Attempts earned by each request.
    allowance : float
        Additional attempts in one window, over all entries.
    window_seconds : float
        Length of the window.
    entries : int
        Number of entries that share the allowance; 0 if not known.
    available : float
        Attempts that may be made now. It starts at zero, so that a restart gains no attempts.
    refilled_at : float
        Time of the last refill in monotonic seconds.
    owed : float
        Attempts that were lent to hedged requests; what later requests earn pays for them first.

    Examples
    --------
    >>> retries = SharedRetryBudget(0.2, 40.0, 10.0, entries=4)
    >>> retries.can_spend(100.0), retries.can_spend(101.0), retries.can_spend(103.0)
    (False, False, True)
    >>> retries.spend(103.0)
    >>> retries.can_spend(103.0)
    False
    """

    retry_ratio: float
    allowance: float
    window_seconds: float
    entries: int = 0
    available: float = 0.0
    refilled_at: float = 0.0
    owed: float = 0.0

    def earn(self, now: float) -> None:
        """Add the attempts that one request earns."""
        self._refill(now)
        paid = min(self.owed, self.retry_ratio)
        self.owed -= paid
        self.available = min(self._max_available(), self.available + self.retry_ratio - paid)

    def can_spend(self, now: float) -> bool:
        """Return whether one more attempt is allowed."""
        self._refill(now)
        return self.available >= 1

    def spend(self, now: float) -> None:
        """Subtract one attempt."""
        self._refill(now)
        self.available -= 1

    def can_lend(self, now: float) -> bool:
        """Return whether a hedged request is allowed: failures have left all of the budget, and nothing is owed."""
        self._refill(now)
        return not self.owed and self.available >= self._max_available()

    def lend(self) -> None:
        """Record a hedged request, which takes nothing that a failure may need."""
        self.owed += 1

    def _max_available(self) -> float:
        return max(1.0, self._entry_allowance() / 2)

    def _entry_allowance(self) -> float:
        return self.allowance / (self.entries or ASSUMED_ENTRY_COUNT)

    def _refill(self, now: float) -> None:
        elapsed_seconds = now - self.refilled_at if self.refilled_at else 0.0
        self.refilled_at = now
        self.available = min(
            self._max_available(), self.available + elapsed_seconds * self._entry_allowance() / 2 / self.window_seconds
        )
