"""Admission control for the batch of one engine: a state machine without I/O.

Load pattern: several entries send requests for many adapters to one engine at once. Requests are queued
here, where their order is known, and not in the engine's own queue. Under overload, requests that can still
start in time are served first, and those that are already late are served with the remaining capacity, so that
a burst does not make every request late. A request that cannot start in time is declined as soon as that is
known, so that its entry can try another target. A request that would start later than its latency objective is
redirected while another target still has the time to load its adapter: popular adapters fill the batches of their
engines while others idle. No request whose adapter is resident waits while a batch slot is free, except for prefill
pacing and the limit of requests a second that an engine may state.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from tamarackfield.manager.tickets import (
    Ahead,
    Decline,
    LoadRefusal,
    ModelOrder,
    Plan,
    Ticket,
    TicketKey,
    WaitCause,
    find_wait_cause,
)
from tamarackfield.policy.fair_shares import FairShares
from tamarackfield.policy.load_pacing import LoadPacer, is_reload
from tamarackfield.policy.prefill import PrefillPacer
from tamarackfield.policy.request_limits import MAX_PERMIT_WAIT_SECONDS, RequestPacer
from tamarackfield.policy.residency import LoadOrder, Order, Residency
from tamarackfield.wire.request_limits import LIMIT_CODE
from tamarackfield.wire.reservations import REDIRECT_CODE

#: Fraction of the time until a request's deadline that it may spend queued here; the remainder is for its run.
MAX_WAIT_FRACTION = 0.5
#: Assumed duration of an adapter load before the first observation, from the engines' contract.
INITIAL_LOAD_SECONDS = 0.25
#: Assumed duration of a request before the first observation.
INITIAL_SERVICE_SECONDS = 1.0
#: Weight of the newest observation in a smoothed duration.
SMOOTHING = 0.1
#: Seconds of waiting that are equivalent to one priority step, so that less urgent requests do not starve.
SECONDS_PER_PRIORITY_STEP = 0.3
#: Seconds of waiting that each further request for the same adapter is equivalent to: one load serves all.
SHARED_LOAD_BONUS_SECONDS = 0.2
#: Largest number of further requests for the same adapter that are counted.
MAX_SHARED_REQUESTS = 10
#: Shortest retry delay, in seconds, that a declined request gets.
MIN_RETRY_SECONDS = 0.1


class AdmissionController:
    """Queued and granted requests and adapter state of one engine.

    Parameters
    ----------
    batch : int
        Largest number of requests that run at once.
    slots : int
        Number of adapter slots.
    """

    def __init__(self, batch: int, slots: int) -> None:
        """Create the controller of an engine whose state has not been read yet."""
        self.batch = batch
        self.residency = Residency(slots)
        self.models: frozenset[str] = frozenset()
        self.waiting: dict[TicketKey, Ticket] = {}
        self.granted: dict[TicketKey, Ticket] = {}
        self.pending_orders: list[Order | ModelOrder] = []
        self.load_refusals: dict[str, LoadRefusal] = {}
        self.load_started_at: dict[str, float] = {}
        self.engine_request_count = 0
        self.reachable = False
        self.draining = False
        self.prefill = PrefillPacer()
        # Used only while requests with a customer are queued.
        self.shares = FairShares()
        self.load_pacer = LoadPacer()
        # Its limit is infinite while the engine states none.
        self.request_pacer = RequestPacer(math.inf, 0)
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self.load_seconds = INITIAL_LOAD_SECONDS

    def enqueue(self, ticket: Ticket) -> None:
        """Queue a request; one that is queued keeps its place, with the higher of both versions."""
        queued = self.waiting.get(ticket.key)
        if queued is not None:
            queued.version = max(queued.version, ticket.version)
        elif ticket.key not in self.granted:
            if ticket.customer:
                self.shares.enter(ticket.customer, {other.customer for other in self.waiting.values()})
            self.waiting[ticket.key] = ticket

    def release(self, key: TicketKey, now: float) -> None:
        """Remove a request that ended, whether or not it was sent to the engine."""
        self.waiting.pop(key, None)
        self.prefill.record_cancellation(key)
        ticket = self.granted.pop(key, None)
        if ticket is not None:
            self.residency.unpin(ticket.adapter, now)
            self.service_seconds += SMOOTHING * (now - ticket.granted_at - self.service_seconds)
            if ticket.customer:
                self.shares.charge_run(ticket.customer, now - ticket.granted_at)

    def record_first_event(self, key: TicketKey, now: float) -> None:
        """Record that the first event of a request arrived, which ends its prefill."""
        self.prefill.record_prefill_end(key, now)

    def release_stream(self, stream: int, now: float) -> None:
        """Remove all requests of a stream that ended."""
        ended = [key for key in (*self.waiting, *self.granted) if key[0] == stream]
        for key in ended:
            self.release(key, now)

    def reset(self) -> None:
        """Discard the state of an engine's previous incarnation; queued requests stay."""
        self.residency = Residency(self.residency.slots)
        self.granted.clear()
        self.prefill.forget_engine()
        self.engine_request_count = 0
        self.pending_orders.clear()
        self.load_refusals.clear()
        self.load_started_at.clear()
        self.models = frozenset()

    def update_engine_state(
        self, models: Iterable[str], resident_versions: dict[str, int], loading: Iterable[str], now: float
    ) -> None:
        """Update models, adapters and load times from a reading of the engine's state."""
        self.models = frozenset(models)
        self.residency.update(resident_versions, loading)
        self.reachable = True
        for adapter in self.load_started_at.keys() - self.residency.loading.keys():
            seconds = now - self.load_started_at.pop(adapter)
            if adapter in resident_versions and not is_reload(seconds):
                self.load_seconds += SMOOTHING * (seconds - self.load_seconds)
                self.load_pacer.record_load(seconds)

    def record_order_result(self, order: Order | ModelOrder, accepted: bool, now: float) -> None:
        """Remove a pending order and record its load if accepted; `update_engine_state` later reads its effect."""
        if order in self.pending_orders:
            self.pending_orders.remove(order)
        if isinstance(order, LoadOrder) and accepted:
            self.residency.loading[order.adapter] = order.version
            self.load_started_at[order.adapter] = now

    def record_load_refusal(self, adapter: str, version: int, until: float) -> None:
        """Record that the engine refuses to load an adapter; requests for it are declined until then."""
        self.load_refusals[adapter] = LoadRefusal(version, until)

    def make_plan(self, now: float) -> Plan:
        """Decide on every queued request.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        Plan
            Its granted and declined tickets are no longer queued; its orders count as pending.
        """
        plan = Plan(now)
        self.residency.max_loads = self.load_pacer.limit
        self.load_refusals = {
            adapter: refusal for adapter, refusal in self.load_refusals.items() if now < refusal.until
        }
        queue = self._order_queue(now)
        waiting_adapters = frozenset(ticket.adapter for ticket in queue)
        ahead = Ahead()
        for ticket in queue:
            code = self._decline_code(ticket, ahead.count, now)
            if code:
                self._decline(plan, ticket, code, ahead.count)
            elif not ahead.precludes(ticket) and self._can_grant(ticket, now):
                self._grant(plan, ticket, now)
            elif self._should_redirect(ticket, ahead, now):
                self._decline(plan, ticket, REDIRECT_CODE, ahead.count)
            else:
                self._keep_waiting(plan, ticket, ahead, waiting_adapters)
        for ticket in _order_for_loads([ticket for ticket in self.waiting.values() if ticket.customer]):
            self._order_load(plan, ticket, waiting_adapters)
        return plan

    def used_batch_slots(self) -> int:
        """Return the number of used batch slots.

        The engine may run more requests than were granted here, as after a restart of this process.
        """
        return max(len(self.granted), self.engine_request_count)

    def expected_wait_seconds(self, ahead: int) -> float:
        """Return the seconds until a batch slot is free for a request behind ``ahead`` others."""
        excess_requests = self.used_batch_slots() + ahead + 1 - self.batch
        return max(0, excess_requests) * self.service_seconds / self.batch

    def prefill_backlog_seconds(self, now: float) -> float:
        """Return the prefill time of all queued and dispatched prompts whose first event has not arrived."""
        waiting = sum(ticket.tokens for ticket in self.waiting.values())
        return self.prefill.expected_wait_seconds(now, waiting)

    def _order_queue(self, now: float) -> list[Ticket]:
        """Return the queued tickets in the order in which they are decided on.

        Requests that can start in time precede those that cannot. Within both groups, the order is by age and
        priority, and a request is earlier the more requests are queued for the same adapter. While requests with a
        customer are queued, it is by urgency and fair shares instead.
        """

        def is_late(ticket: Ticket) -> bool:
            load_wait_seconds = 0.0 if self._is_adapter_available(ticket) else self.load_seconds
            return now + load_wait_seconds > ticket.start_by

        if any(ticket.customer for ticket in self.waiting.values()):
            return self.shares.order(self.waiting.values(), is_late)
        effective_age = _make_age_key(self.waiting.values())
        return sorted(self.waiting.values(), key=lambda ticket: (is_late(ticket), effective_age(ticket)))

    def _decline_code(self, ticket: Ticket, ahead: int, now: float) -> str:
        if not self.reachable:
            return 'target_away'
        if self.draining:
            return 'target_leaving'
        if _is_load_refused(ticket, self.load_refusals):
            return 'no_such_adapter'
        wait_until = ticket.enqueued_at + MAX_WAIT_FRACTION * (ticket.deadline - ticket.enqueued_at)
        load_wait_seconds = 0.0 if self._is_adapter_available(ticket) else self.load_seconds
        if _exceeds_limit(ticket, self.request_pacer.due_at(now, ahead), now + load_wait_seconds):
            return LIMIT_CODE
        if now >= wait_until or now + max(load_wait_seconds, self.expected_wait_seconds(ahead)) > ticket.deadline:
            return 'too_late'
        return 'full' if now + self.expected_wait_seconds(ahead) > wait_until else ''

    def _should_redirect(self, ticket: Ticket, ahead: Ahead, now: float) -> bool:
        """Return whether a request starts too late here while another target still has the time to load its adapter."""
        slack = ticket.start_by - now
        if not ticket.redirectable or slack < self.load_seconds:
            return False
        prefill_wait = self.prefill.expected_wait_seconds(now, ahead.tokens)
        return max(self.expected_wait_seconds(ahead.count), prefill_wait) > slack

    def _can_grant(self, ticket: Ticket, now: float) -> bool:
        has_slot = self._is_adapter_available(ticket) and self.used_batch_slots() < self.batch
        if self.request_pacer.due_at(now) > now:
            return False
        return has_slot and self.prefill.can_dispatch(ticket.tokens, now)

    def _is_adapter_available(self, ticket: Ticket) -> bool:
        if '/' not in ticket.adapter:
            return ticket.adapter in self.models
        unloading = any(getattr(order, 'adapter', '') == ticket.adapter for order in self.pending_orders)
        return not unloading and self.residency.is_resident(ticket.adapter, ticket.version)

    def _grant(self, plan: Plan, ticket: Ticket, now: float) -> None:
        self.waiting.pop(ticket.key)
        ticket.waits.count(None, now)
        ticket.granted_at = now
        self.granted[ticket.key] = ticket
        if ticket.customer:
            self.shares.charge(ticket.customer, ticket.tokens)
            self.shares.record_outcome(ticket.customer, ticket.priority, served=True, now=now)
            self.shares.forget_idle(other.customer for other in (*self.waiting.values(), *self.granted.values()))
        self.prefill.record_dispatch(ticket.key, ticket.tokens, now)
        self.request_pacer.record_sent(now)
        if '/' in ticket.adapter:
            self.residency.pin(ticket.adapter, now)
        plan.grants.append(ticket)

    def _keep_waiting(self, plan: Plan, ticket: Ticket, ahead: Ahead, waiting_adapters: frozenset[str]) -> None:
        now = plan.made_at
        is_available = self._is_adapter_available(ticket)
        ahead.add(ticket, startable=is_available and now <= ticket.start_by)
        if not ticket.customer:
            self._order_load(plan, ticket, waiting_adapters)
        batch_full = self.used_batch_slots() >= self.batch if is_available else None
        cause = find_wait_cause(ticket, self.residency, waiting_adapters, batch_full)
        ticket.waits.count(cause if self.request_pacer.due_at(now) <= now else WaitCause.LIMIT, now)

    def _decline(self, plan: Plan, ticket: Ticket, code: str, ahead: int) -> None:
        now = plan.made_at
        wait_seconds = self.expected_wait_seconds(ahead)
        if _is_load_refused(ticket, self.load_refusals):
            wait_seconds = max(wait_seconds, self.load_refusals[ticket.adapter].until - now)
        retry_seconds = max(MIN_RETRY_SECONDS, wait_seconds, self.request_pacer.due_at(now, ahead) - now)
        self.waiting.pop(ticket.key)
        ticket.waits.count(None, now)
        plan.declines.append(Decline(ticket, code, retry_seconds))
        if ticket.customer and code != REDIRECT_CODE:
            self.shares.record_outcome(ticket.customer, ticket.priority, served=False, now=now)

    def _order_load(self, plan: Plan, ticket: Ticket, waiting_adapters: frozenset[str]) -> None:
        if self._is_adapter_available(ticket) or self.pending_orders:
            return
        model = ticket.adapter.partition('/')[0]
        order: Order | ModelOrder | None = ModelOrder(model)
        if model in self.models:
            order = self.residency.next_order(ticket.adapter, ticket.version, waiting_adapters)
        if order is not None:
            self.pending_orders.append(order)
            plan.orders.append(order)


def _make_age_key(tickets: Collection[Ticket]) -> Callable[[Ticket], float]:
    """Return the sort key by age and priority; a request is earlier the more are queued for the same adapter."""
    demand = Counter(ticket.adapter for ticket in tickets)

    def effective_enqueued_at(ticket: Ticket) -> float:
        sharing_requests = min(demand[ticket.adapter] - 1, MAX_SHARED_REQUESTS)
        return (
            ticket.enqueued_at
            + ticket.priority * SECONDS_PER_PRIORITY_STEP
            - sharing_requests * SHARED_LOAD_BONUS_SECONDS
        )

    return effective_enqueued_at


def _order_for_loads(tickets: Collection[Ticket]) -> list[Ticket]:
    """Return requests of customers in the order in which their adapters are loaded.

    The most urgent come first, and among those the order is that without customers, as one load serves several of them.
    """
    effective_age = _make_age_key(tickets)
    return sorted(tickets, key=lambda ticket: (ticket.priority, effective_age(ticket)))


def _is_load_refused(ticket: Ticket, refusals: dict[str, LoadRefusal]) -> bool:
    refusal = refusals.get(ticket.adapter)
    return refusal is not None and refusal.version >= ticket.version


def _exceeds_limit(ticket: Ticket, due_at: float, startable_at: float) -> bool:
    """Return whether a request would wait for too long for its turn under the limit of the engine."""
    # A redirectable request has other targets to go to.
    wait_seconds = 0 if ticket.redirectable else MAX_PERMIT_WAIT_SECONDS
    return due_at > max(startable_at, ticket.enqueued_at + wait_seconds)
