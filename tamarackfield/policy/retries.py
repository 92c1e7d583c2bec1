"""Retry budget: retries as a share of the traffic, so that they cannot amplify an overload."""

from dataclasses import dataclass

#: Retries earned by each request.
RETRIES_PER_REQUEST = 0.2
#: Largest number of unused retries that the budget keeps.
MAX_AVAILABLE_RETRIES = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Retries that may be made now; each first attempt earns a part of one.

    Examples
    --------
    >>> budget = RetryBudget(available=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> for _ in range(5):
    ...     budget.earn()
    >>> budget.spend()
    True
    """

    available: float = MAX_AVAILABLE_RETRIES

    def earn(self) -> None:
        """Add the retries that one first attempt earns."""
        self.available = min(MAX_AVAILABLE_RETRIES, self.available + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Use one retry; return whether one was available."""
        if self.available < 1:
            return False
        self.available -= 1
        return True
