"""Fair shares of one engine among customers: who is served when not all can be.

Load pattern: one customer sends several times its usual load, or a burst of less urgent requests comes beside urgent
ones, while the batch is full. By age alone, the customer with most requests gets most of the engine, and the others
miss their objectives. More urgent requests come first, then the customers that were served the fewest tokens. A
customer that was idle gets no credit for that: its counter is raised to the smallest one of the customers that
wait [1]_. Urgency alone could refuse all less urgent requests, or all of a customer that has only such ones, so a
customer or a priority that is served far less often than all together precedes the others until it is not.

References
----------
.. [1] Y. Sheng et al., "Fairness in serving large language models", OSDI 2024 (virtual token counter).
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

#: Tokens that a second of a batch slot counts as, beside the prompt: a decode step takes about 10 ms with a well-filled
#: batch, and an output token counts twice as much as one of the prompt, as published with the counters [1]_.
SLOT_TOKENS_PER_SECOND = 200
#: Seconds in which a recorded outcome loses about two thirds of its weight.
OUTCOME_SECONDS = 10.0
#: Fraction of the share of all requests that are served, below which a customer or a priority precedes the others.
#: Callers are promised a quarter; the rest is for requests that are refused before the order takes effect.
MIN_SERVED_FRACTION = 0.4
#: Weighted outcomes of a customer or a priority from which that fraction is meaningful.
MIN_OUTCOMES = 3.0
#: Number of customers from which those without requests are forgotten.
MAX_IDLE_CUSTOMERS = 256


class WaitingRequest(Protocol):
    """What the order of a queued request depends on, see `tamarackfield.manager.tickets.Ticket`."""

    customer: str
    priority: int
    tokens: int
    start_by: float


Request = TypeVar('Request', bound=WaitingRequest)


@dataclass(slots=True)
class Outcomes:
    """Requests that were served and refused, weighted by age; ``recorded_at`` is in monotonic seconds."""

    served: float = 0.0
    refused: float = 0.0
    recorded_at: float = 0.0

    def record(self, served: bool, now: float) -> None:
        """Record the outcome of one request."""
        weight = math.exp((self.recorded_at - now) / OUTCOME_SECONDS)
        self.served = weight * self.served + served
        self.refused = weight * self.refused + (not served)
        self.recorded_at = now

    def total(self) -> float:
        """Return the weighted number of requests."""
        return self.served + self.refused

    def served_share(self) -> float:
        """Return the share of the requests that were served, 1 without any."""
        return self.served / self.total() if self.total() else 1.0


@dataclass(slots=True)
class FairShares:
    """Tokens that an engine served to each customer.

    Parameters
    ----------
    counters : dict
        Virtual token counters by customer; only their differences matter.
    floor : float
        Counter of the customer that last had a request granted, for those that come to an empty queue.
    outcomes : dict
        Outcomes of the requests of each customer and of each priority.
    all_outcomes : Outcomes
        Outcomes of all requests.

    Examples
    --------
    >>> shares = FairShares()
    >>> shares.enter('large', ())
    >>> shares.charge('large', 5000)
    >>> shares.enter('idle', ('large',))
    >>> shares.counters['idle']
    5000.0
    """

    counters: dict[str, float] = field(default_factory=dict)
    floor: float = 0.0
    outcomes: dict[str | int, Outcomes] = field(default_factory=dict)
    all_outcomes: Outcomes = field(default_factory=Outcomes)

    def enter(self, customer: str, waiting: Collection[str]) -> None:
        """Record a request of a customer, while those in ``waiting`` have queued requests."""
        if customer in waiting:
            return
        lowest = min((self.counters.get(other, 0.0) for other in waiting), default=self.floor)
        self.counters[customer] = max(lowest, self.counters.get(customer, 0.0))

    def charge(self, customer: str, tokens: float) -> None:
        """Record that a customer was served tokens."""
        self.floor = self.counters.get(customer, 0.0)
        self.counters[customer] = self.floor + tokens

    def charge_run(self, customer: str, seconds: float) -> None:
        """Record that a run of a customer took a batch slot for some time."""
        self.counters[customer] = self.counters.get(customer, 0.0) + SLOT_TOKENS_PER_SECOND * seconds

    def record_outcome(self, customer: str, priority: int, served: bool, now: float) -> None:
        """Record whether a request was served or refused."""
        for group in (customer, priority):
            self.outcomes.setdefault(group, Outcomes()).record(served, now)
        self.all_outcomes.record(served, now)

    def is_neglected(self, group: str | int) -> bool:
        """Return whether a customer, or a priority, is served far less often than all together."""
        outcomes = self.outcomes.get(group)
        if outcomes is None or outcomes.total() < MIN_OUTCOMES:
            return False
        return outcomes.served_share() < MIN_SERVED_FRACTION * self.all_outcomes.served_share()

    def order(self, requests: Collection[Request], is_late: Callable[[Request], bool]) -> list[Request]:
        """Return queued requests in the order in which they are to be served.

        Those that can still start in time come first, then the more urgent ones, then those of the customers
        with the lowest counters, counting what their earlier requests in the queue would add, then those that have to
        start soonest.
        """
        groups = {request.customer for request in requests} | {request.priority for request in requests}
        neglected = {group for group in groups if self.is_neglected(group)}

        def urgency(request: Request) -> tuple[bool, int]:
            is_neglected = not neglected.isdisjoint((request.customer, request.priority))
            return is_late(request), -1 if is_neglected else request.priority

        ranked = sorted(
            ((urgency(request), request.start_by, index, request) for index, request in enumerate(requests))
        )
        counted: dict[str, float] = {}
        tagged = []
        for request_urgency, start_by, index, request in ranked:
            tag = counted.setdefault(request.customer, self.counters.get(request.customer, 0.0))
            counted[request.customer] += request.tokens
            tagged.append((request_urgency, tag, start_by, index, request))
        return [item[-1] for item in sorted(tagged)]

    def forget_idle(self, active: Iterable[str]) -> None:
        """Forget customers without requests once there are many: they would be raised to the floor anyway."""
        if len(self.counters) <= MAX_IDLE_CUSTOMERS:
            return
        for customer in self.counters.keys() - set(active):
            self.counters.pop(customer)
            self.outcomes.pop(customer, None)
