"""Order in which waiting requests are considered."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol


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


class Waits(Protocol):
    """What a queue order looks at; `Waiting` and a sidecar's jobs have it."""

    job_id: int
    caller: str
    priority: int


QueueOrder = Callable[[Iterable[Waits], dict[str, int]], list[Waits]]


def first_in_first_out(waiting: Iterable[Waits], running: dict[str, int]) -> list[Waits]:
    """Order by priority, then by arrival.

    Parameters
    ----------
    waiting : iterable of Waits
        In any order.
    running : dict
        Requests running now, by caller.

    Returns
    -------
    list of Waits
        The first is to be considered first.

    Examples
    --------
    >>> queue = [Waiting(2, 'a', 5), Waiting(3, 'b', 1), Waiting(1, 'a', 5)]
    >>> [item.job_id for item in first_in_first_out(queue, {})]
    [3, 1, 2]
    """
    return sorted(waiting, key=lambda item: (item.priority, item.job_id))


def fair_between_callers(waiting: Iterable[Waits], running: dict[str, int]) -> list[Waits]:
    """Order by priority, then in turn between callers, counting what each has running.

    Parameters
    ----------
    waiting : iterable of Waits
        In any order.
    running : dict
        Requests running now, by caller.

    Returns
    -------
    list of Waits
        The first is to be considered first.

    Examples
    --------
    >>> queue = [Waiting(1, 'a', 5), Waiting(2, 'a', 5), Waiting(3, 'b', 5)]
    >>> [item.job_id for item in fair_between_callers(queue, {})]
    [1, 3, 2]
    >>> [item.job_id for item in fair_between_callers(queue, {'a': 2})]
    [3, 1, 2]

    References
    ----------
    .. [1] A. Demers, S. Keshav, S. Shenker, "Analysis and simulation of a fair queueing algorithm", 1989.
    """
    turns = dict(running)
    keyed = []
    for item in first_in_first_out(waiting, running):
        turn = turns.get(item.caller, 0)
        turns[item.caller] = turn + 1
        keyed.append(((item.priority, turn, item.job_id), item))
    return [item for _, item in sorted(keyed, key=lambda pair: pair[0])]


#: Queue orders by the name used in a bundle's ``policy.queue``.
QUEUE_ORDERS: dict[str, QueueOrder] = {'fifo': first_in_first_out, 'fair': fair_between_callers}
DEFAULT_QUEUE_ORDER = 'fair'
