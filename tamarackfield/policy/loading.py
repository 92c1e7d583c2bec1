"""How many loads one sidecar may have under way, from the weight store's published budget."""

from collections.abc import Callable
from dataclasses import dataclass

#: Loads that a sidecar has under way at once if nothing paces it.
UNPACED_LOADS = 2


@dataclass(frozen=True, slots=True)
class LoadBudget:
    """What the operators publish of the weight store; ``engines`` share it."""

    in_transit_limit: int
    engines: int


Loading = Callable[[LoadBudget], int]


def unpaced(budget: LoadBudget) -> int:
    """Return a fixed count, whatever the store bears."""
    return UNPACED_LOADS


def share_of_budget(budget: LoadBudget) -> int:
    """Return this sidecar's share of the loads that the store bears in transit, at least one.

    Examples
    --------
    >>> share_of_budget(LoadBudget(16, 6)), share_of_budget(LoadBudget(8, 5)), share_of_budget(LoadBudget(8, 900))
    (2, 1, 1)
    """
    return max(1, min(UNPACED_LOADS, budget.in_transit_limit // max(1, budget.engines)))


#: Paces by the name used in a bundle's ``policy.loading``.
LOADINGS: dict[str, Loading] = {'unpaced': unpaced, 'share': share_of_budget}
DEFAULT_LOADING = 'unpaced'
