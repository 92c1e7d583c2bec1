"""Order in which waiting requests are considered."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits in a sidecar.

    Parameters
    ----------
    job_id : int
        Identifies it in the sidecar; grows with arrival.
    caller : str
        Who sent it.
    priority : int
        0 is the most urgent.
    """

    job_id: int
    caller: str
    priority: int


QueueOrder = Callable[[Iterable[Waiting], dict[str, int]], list[Waiting]]


def first_in_first_out(waiting: Iterable[Waiting], running: dict[str, int]) -> list[Waiting]:
    """Order by priority, then by arrival.

    Parameters
    ----------
    waiting : iterable of Waiting
        In any order.
    running : dict
        Requests running now, by caller.

    Returns
    -------
    list of Waiting
        The first is to be considered first.

    Examples
    --------
    >>> queue = [Waiting(2, 'a', 5), Waiting(3, 'b', 1), Waiting(1, 'a', 5)]
    >>> [item.job_id for item in first_in_first_out(queue, {})]
    [3, 1, 2]
    """
    return sorted(waiting, key=lambda item: (item.priority, item.job_id))


#: Queue orders by the name used in a bundle's ``policy.queue``.
QUEUE_ORDERS: dict[str, QueueOrder] = {'fifo': first_in_first_out}
DEFAULT_QUEUE_ORDER = 'fifo'
