"""Retry budget: retries as a share of the traffic, so that they cannot amplify an overload."""

from dataclasses import dataclass

#: Retries earned by each request.
RETRIES_PER_REQUEST = 0.2
#: Largest number of unused retries that the budget keeps.
MAX_SAVED_RETRIES = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Retries that may still be made.

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

    saved: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count one first attempt."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Use one retry; return False if none is available."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
