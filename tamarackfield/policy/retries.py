"""Retries as a share of the traffic, so that they cannot multiply an overload."""

from dataclasses import dataclass

#: Retries earned by each request.
RETRY_SHARE = 0.2
#: Most retries that can be saved up.
MAX_SAVED = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Retries that are left.

    Examples
    --------
    >>> budget = RetryBudget(saved=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> for _ in range(5):
    ...     budget.earn()
    >>> budget.spend()
    True
    """

    saved: float = MAX_SAVED

    def earn(self) -> None:
        """Count one first attempt."""
        self.saved = min(MAX_SAVED, self.saved + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry, or return False if none is left."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
