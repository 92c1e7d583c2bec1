"""Grants places in the batch of one engine: a state machine without I/O.

Load pattern: several entries send requests for many adapters to one engine at once. Requests wait
here, where their order is known, and not in the engine's own queue. Under more load than can be
served in time, those that can still be in time go first, and those that are late already wait for
room, so that a crowd does not make every request late. One that cannot begin in time
is declined as soon as that is known, so that its entry can try another target. Nothing waits for a
place that is free.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from tamarackfield.policy.prompts import PromptPacing
from tamarackfield.policy.residency import LoadOrder, Order, Residency

#: Share of the time that a request has left that it may spend waiting here; the rest is for its run.
WAIT_SHARE = 0.5
#: Seconds of a load that was never seen; the contract of the engines.
FIRST_LOAD_SECONDS = 0.25
#: Seconds of a run that was never seen.
FIRST_RUN_SECONDS = 1.0
#: Weight of the newest time in a smoothed one.
SMOOTHING = 0.1
#: Seconds of waiting that one step of priority is worth, so that less urgent requests do not starve.
PRIORITY_SECONDS = 0.3
#: Seconds of waiting that each further request for the same adapter is worth: one load serves all.
SHARED_SECONDS = 0.2
#: Most further requests that count.
MOST_SHARED = 10
#: Shortest time to come back that is told, in seconds.
LEAST_RETRY_SECONDS = 0.1

#: A stream and the number of a request on it.
TicketKey = tuple[int, int]


@dataclass(slots=True)
class Ticket:
    """A request that waits or was granted.

    Parameters
    ----------
    key : tuple of int
        Of the stream and the request.
    adapter : str
        ``model/adapter`` or ``model``.
    version : int
        Least version that will do.
    priority : int
        0 is the most urgent.
    asked_at, deadline : float
        Monotonic seconds.
    aim_at : float
        Monotonic seconds at which the run should begin to be in time for its caller.
    tokens : int
        Length of the prompt.
    label : str
        The caller's id of the request.
    granted_at : float
        Monotonic seconds, 0 while it waits.
    """

    key: TicketKey
    adapter: str
    version: int
    priority: int
    asked_at: float
    deadline: float
    aim_at: float
    tokens: int = 0
    label: str = ''
    granted_at: float = 0.0


@dataclass(frozen=True, slots=True)
class ModelOrder:
    """Load a base model."""

    model: str


@dataclass(frozen=True, slots=True)
class Decline:
    """A ticket that ended without a place; ``retry_seconds`` is when to come back."""

    ticket: Ticket
    code: str
    retry_seconds: float


@dataclass(frozen=True, slots=True)
class LoadRefusal:
    """The engine refused to load an adapter up to a version; asked for again from ``until``, monotonic seconds."""

    version: int
    until: float


@dataclass(slots=True)
class Plan:
    """What is to be done now."""

    grants: list[Ticket] = field(default_factory=list)
    declines: list[Decline] = field(default_factory=list)
    orders: list[Order | ModelOrder] = field(default_factory=list)


class Admission:
    """Tickets and adapters of one engine.

    Parameters
    ----------
    batch : int
        Requests that run at once.
    places : int
        Adapters that fit.
    """

    def __init__(self, batch: int, places: int) -> None:
        """Start with an engine that was not seen yet."""
        self.batch = batch
        self.residency = Residency(places)
        self.models: frozenset[str] = frozenset()
        self.waiting: dict[TicketKey, Ticket] = {}
        self.granted: dict[TicketKey, Ticket] = {}
        self.ordered: list[Order | ModelOrder] = []
        self.refused: dict[str, LoadRefusal] = {}
        self.load_began: dict[str, float] = {}
        self.seen_running = 0
        self.reachable = False
        self.leaving = False
        self.prompts = PromptPacing()
        self.run_seconds = FIRST_RUN_SECONDS
        self.load_seconds = FIRST_LOAD_SECONDS

    def ask(self, ticket: Ticket) -> None:
        """Take in a request."""
        self.waiting[ticket.key] = ticket

    def release(self, key: TicketKey, now: float) -> None:
        """Note that a request ended, was sent or not."""
        self.waiting.pop(key, None)
        self.prompts.drop(key)
        ticket = self.granted.pop(key, None)
        if ticket is not None:
            self.residency.unpin(ticket.adapter, now)
            self.run_seconds += SMOOTHING * (now - ticket.granted_at - self.run_seconds)

    def start(self, key: TicketKey, now: float) -> None:
        """Note that the first event of a request arrived."""
        self.prompts.finish(key, now)

    def release_stream(self, stream: int, now: float) -> None:
        """Note that a stream ended, with every request on it."""
        ended = [key for key in (*self.waiting, *self.granted) if key[0] == stream]
        for key in ended:
            self.release(key, now)

    def restart(self) -> None:
        """Begin with another life of the engine, which holds nothing of before."""
        self.residency = Residency(self.residency.places)
        self.granted.clear()
        self.prompts.reading.clear()
        self.seen_running = 0
        self.ordered.clear()
        self.refused.clear()
        self.load_began.clear()
        self.models = frozenset()

    def observe(self, models: Iterable[str], held: dict[str, int], incoming: Iterable[str], now: float) -> None:
        """Take in what the engine says that it holds."""
        self.models = frozenset(models)
        self.residency.observe(held, incoming)
        self.reachable = True
        for adapter in self.load_began.keys() - self.residency.incoming.keys():
            seconds = now - self.load_began.pop(adapter)
            if adapter in held:
                self.load_seconds += SMOOTHING * (seconds - self.load_seconds)

    def finish(self, order: Order | ModelOrder, accepted: bool, now: float) -> None:
        """Note how an order ended; what it changed is seen by `observe`."""
        if order in self.ordered:
            self.ordered.remove(order)
        if isinstance(order, LoadOrder) and accepted:
            self.residency.incoming[order.adapter] = order.version
            self.load_began[order.adapter] = now

    def refuse_adapter(self, adapter: str, version: int, until: float) -> None:
        """Note that the engine refuses to load an adapter; requests for it are declined until then."""
        self.refused[adapter] = LoadRefusal(version, until)

    def plan(self, now: float) -> Plan:
        """Decide on every waiting request.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        Plan
            Granted and declined tickets are no longer waiting; orders count as given.
        """
        plan = Plan()
        self.refused = {adapter: refusal for adapter, refusal in self.refused.items() if now < refusal.until}
        queue = sorted(self.waiting.values(), key=self._make_urgency(now))
        wanted = frozenset(ticket.adapter for ticket in queue)
        ahead = 0
        for ticket in queue:
            code = self._refusal(ticket, ahead, now)
            if code:
                self._decline(plan, ticket, code, self._time_to_return(ticket, ahead, now))
            elif self._has_room(ticket, now):
                self._grant(plan, ticket, now)
            else:
                ahead += 1
                self._bring_nearer(plan, ticket, wanted)
        return plan

    def occupied(self) -> int:
        """Return the places taken: by granted requests, or by more that the engine runs, as after a restart here."""
        return max(len(self.granted), self.seen_running)

    def expected_wait(self, ahead: int) -> float:
        """Return the seconds until a place is free for a request behind others."""
        beyond = self.occupied() + ahead + 1 - self.batch
        return max(0, beyond) * self.run_seconds / self.batch

    def prompt_backlog(self, now: float) -> float:
        """Return the seconds in which the prompts of all requests that have not begun are read."""
        waiting = sum(ticket.tokens for ticket in self.waiting.values())
        return self.prompts.seconds_to_read(waiting) / self.prompts.current_share(now)

    def _make_urgency(self, now: float) -> Callable[[Ticket], tuple[bool, float]]:
        """Return the order of waiting.

        Those that can be in time go before those that cannot; within both, by age and priority, and
        earlier the more wait for the same adapter.
        """
        demand = Counter(ticket.adapter for ticket in self.waiting.values())

        def urgency(ticket: Ticket) -> tuple[bool, float]:
            shared = min(demand[ticket.adapter] - 1, MOST_SHARED)
            age = ticket.asked_at + ticket.priority * PRIORITY_SECONDS - shared * SHARED_SECONDS
            begins_at = now if self._is_in_place(ticket) else now + self.load_seconds
            return begins_at > ticket.aim_at, age

        return urgency

    def _refusal(self, ticket: Ticket, ahead: int, now: float) -> str:
        if not self.reachable:
            return 'target_away'
        if self.leaving:
            return 'target_leaving'
        if self._is_refused(ticket):
            return 'no_such_adapter'
        wait_until = ticket.asked_at + WAIT_SHARE * (ticket.deadline - ticket.asked_at)
        stall = 0.0 if self._is_in_place(ticket) else self.load_seconds
        if now >= wait_until or now + max(stall, self.expected_wait(ahead)) > ticket.deadline:
            return 'too_late'
        return 'full' if now + self.expected_wait(ahead) > wait_until else ''

    def _is_refused(self, ticket: Ticket) -> bool:
        refusal = self.refused.get(ticket.adapter)
        return refusal is not None and refusal.version >= ticket.version

    def _time_to_return(self, ticket: Ticket, ahead: int, now: float) -> float:
        wait = self.expected_wait(ahead)
        if self._is_refused(ticket):
            wait = max(wait, self.refused[ticket.adapter].until - now)
        return max(LEAST_RETRY_SECONDS, wait)

    def _has_room(self, ticket: Ticket, now: float) -> bool:
        free = self._is_in_place(ticket) and self.occupied() < self.batch
        return free and self.prompts.may_give(ticket.tokens, now)

    def _is_in_place(self, ticket: Ticket) -> bool:
        if '/' not in ticket.adapter:
            return ticket.adapter in self.models
        unloading = any(getattr(order, 'adapter', '') == ticket.adapter for order in self.ordered)
        return not unloading and self.residency.holds(ticket.adapter, ticket.version)

    def _grant(self, plan: Plan, ticket: Ticket, now: float) -> None:
        self.waiting.pop(ticket.key)
        ticket.granted_at = now
        self.granted[ticket.key] = ticket
        self.prompts.give(ticket.key, ticket.tokens, now)
        if '/' in ticket.adapter:
            self.residency.pin(ticket.adapter, now)
        plan.grants.append(ticket)

    def _decline(self, plan: Plan, ticket: Ticket, code: str, retry_seconds: float) -> None:
        self.waiting.pop(ticket.key)
        plan.declines.append(Decline(ticket, code, retry_seconds))

    def _bring_nearer(self, plan: Plan, ticket: Ticket, wanted: frozenset[str]) -> None:
        if self._is_in_place(ticket) or self.ordered:
            return
        model = ticket.adapter.partition('/')[0]
        order: Order | ModelOrder | None = ModelOrder(model)
        if model in self.models:
            order = self.residency.next_order(ticket.adapter, ticket.version, wanted)
        if order is not None:
            self.ordered.append(order)
            plan.orders.append(order)
