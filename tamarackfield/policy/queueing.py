"""Order in which queued requests are considered for dispatch."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue of a sidecar.

    Parameters
    ----------
    job_id : int
        Identifier within the sidecar; increases with arrival.
    caller : str
        Caller that sent the request.
    priority : int
        Priority; 0 is the most urgent.
    """

    job_id: int
    caller: str
    priority: int


class QueueItem(Protocol):
    """Fields that a queue order reads; `QueuedRequest` and a sidecar's jobs provide them."""

    job_id: int
    caller: str
    priority: int


QueueOrder = Callable[[Iterable[QueueItem], dict[str, int]], list[QueueItem]]


def order_by_arrival(waiting: Iterable[QueueItem], running: dict[str, int]) -> list[QueueItem]:
    """Order by priority, then by arrival.

    Parameters
    ----------
    waiting : iterable of QueueItem
        Queued requests in any order.
    running : dict
        Number of running requests by caller.

    Returns
    -------
    list of QueueItem
        Requests in the order in which they are considered.

    Examples
    --------
    >>> queue = [QueuedRequest(2, 'a', 5), QueuedRequest(3, 'b', 1), QueuedRequest(1, 'a', 5)]
    >>> [item.job_id for item in order_by_arrival(queue, {})]
    [3, 1, 2]
    """
    return sorted(waiting, key=lambda item: (item.priority, item.job_id))


def order_fairly(waiting: Iterable[QueueItem], running: dict[str, int]) -> list[QueueItem]:
    """Order by priority, then round-robin between callers, counting the running requests of each.

    Parameters
    ----------
    waiting : iterable of QueueItem
        Queued requests in any order.
    running : dict
        Number of running requests by caller.

    Returns
    -------
    list of QueueItem
        Requests in the order in which they are considered.

    Examples
    --------
    >>> queue = [QueuedRequest(1, 'a', 5), QueuedRequest(2, 'a', 5), QueuedRequest(3, 'b', 5)]
    >>> [item.job_id for item in order_fairly(queue, {})]
    [1, 3, 2]
    >>> [item.job_id for item in order_fairly(queue, {'a': 2})]
    [3, 1, 2]

    References
    ----------
    .. [1] A. Demers, S. Keshav, S. Shenker, "Analysis and simulation of a fair queueing algorithm", 1989.
    """
    next_turns = dict(running)
    keyed = []
    for item in order_by_arrival(waiting, running):
        turn = next_turns.get(item.caller, 0)
        next_turns[item.caller] = turn + 1
        keyed.append(((item.priority, turn, item.job_id), item))
    return [item for _, item in sorted(keyed, key=lambda pair: pair[0])]


#: Queue orders by their name in a bundle's ``policy.queue``.
QUEUE_ORDERS: dict[str, QueueOrder] = {'fifo': order_by_arrival, 'fair': order_fairly}
DEFAULT_QUEUE_ORDER = 'fair'
