"""Hedged requests of one entry: when a second attempt is sent beside a first one, and to which targets."""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator
from functools import partial

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, cancel_and_wait
from tamarackfield.core.time_limits import wait_within
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.exchange import Exchange
from tamarackfield.gateway.fleet import Fleet, make_placement
from tamarackfield.gateway.handover import Delivery
from tamarackfield.gateway.model import AnswerHead
from tamarackfield.policy.hedging import RouteTimes, ServiceHedges, has_room, is_healthy, is_sooner
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget


class Hedger:
    """Learnt times of routes, and hedges that services may have.

    Parameters
    ----------
    fleet : Fleet
        Targets with what is known of their load.
    budget_for : callable
        Returns the retry budget of a service, which binds hedges too.

    Attributes
    ----------
    share : float
        Hedges that each request earns for its service; 0 turns them off.
    attempts, won, lost : int
        Number of hedges that were sent, that answered their caller, and that did not.
    """

    def __init__(self, fleet: Fleet, budget_for: Callable[[str], SharedRetryBudget]) -> None:
        """Know of no times."""
        self.fleet = fleet
        self.budget_for = budget_for
        self.share = 0.0
        self.times: defaultdict[str, RouteTimes] = defaultdict(RouteTimes)
        self.services: defaultdict[str, ServiceHedges] = defaultdict(ServiceHedges)
        self.attempts = 0
        self.won = 0
        self.lost = 0

    def record_request(self, call_state: CallState) -> None:
        """Record a request of a caller."""
        if self.share:
            self.services[call_state.service].earn(self.share)

    def record_time(self, call_state: CallState, seconds: float) -> None:
        """Record the time that an attempt took to its head, or had taken when its hedge answered."""
        if self.share and call_state.route.may_run_again:
            self.times[call_state.route.name].record(seconds)

    def record_shortage(self, call_state: CallState) -> None:
        """Record that a target refused a request, or that an attempt failed."""
        if self.share:
            self.services[call_state.service].record_shortage(BOOT_CLOCK.monotonic())

    def find_wait(self, call_state: CallState) -> float | None:
        """Return the seconds from its sending after which an attempt is hedged, None if it is not."""
        may_hedge = self.share and call_state.route.may_run_again and call_state.send_count == 1
        # A stream that goes on at an event of an earlier run is left to the handover.
        if not may_hedge or call_state.has_events() or call_state.is_probe:
            return None
        return self.times[call_state.route.name].hedge_seconds

    def list_waits(
        self,
        call_state: CallState,
        delivery: Delivery,
        silence_seconds: float | None,
        seek_successor: Callable[[], None],
    ) -> Iterator[tuple[float | None, Callable[[], None]]]:
        """Yield the seconds to wait for the head of an answer, and what is done if it has not come."""
        hedge_seconds = self.find_wait(call_state)
        if silence_seconds is not None and hedge_seconds is not None and hedge_seconds < silence_seconds:
            yield hedge_seconds, partial(self.seek_hedge, call_state, delivery)
            yield silence_seconds - hedge_seconds, seek_successor
        yield from itertools.repeat((silence_seconds, seek_successor))

    def seek_hedge(self, call_state: CallState, delivery: Delivery) -> None:
        """Look for a target of a hedge if one is allowed."""
        if self.may_spend(call_state) and self.choose_target(call_state) is not None:
            logger.bind(request_id=call_state.call.request_id, first=call_state.target_name).info('hedge_sought')
            delivery.start_search(is_hedge=True)

    def may_spend(self, call_state: CallState) -> bool:
        """Return whether the service of a call may have one more hedge now."""
        service = call_state.service
        if not self.share or not self.services[service].may_spend(self.budget_for(service), BOOT_CLOCK.monotonic()):
            return False
        return has_room([target.view for target in self.fleet.directory.usable_targets(service)])

    def choose_target(self, call_state: CallState) -> Target | None:
        """Return a target that is expected to answer a call sooner than that of its first attempt, None without one."""
        first = call_state.in_flight
        if first is None:
            return None

        elapsed_seconds = self.times[call_state.route.name].hedge_seconds

        def allows(target: Target) -> bool:
            """Return whether a hedge may go to a target."""
            is_fit = is_healthy(target.health) and is_sooner(target.view, first.view, elapsed_seconds, self.fleet.zone)
            return is_fit and call_state.allows(target)

        return self.fleet.choose_target(make_placement(call_state), allows)

    def record_sent(self, call_state: CallState, delivery: Delivery) -> None:
        """Record that a hedge is sent beside the run of a delivery."""
        delivery.has_sent_hedge = True
        self.attempts += 1
        self.services[call_state.service].spend()
        self.budget_for(call_state.service).lend()

    def record_end(self, call_state: CallState, delivery: Delivery, answered: bool) -> None:
        """Record whether the hedge beside the run of a delivery answered the caller, if it was sent."""
        if not delivery.has_sent_hedge:
            return
        delivery.has_sent_hedge = False
        self.won += answered
        self.lost += not answered
        bound = logger.bind(request_id=call_state.call.request_id, target=call_state.target_name, won=answered)
        bound.info('hedge_ended')


async def read_head(
    exchange: Exchange,
    waits: Iterator[tuple[float | None, Callable[[], None]]],
    delivery: Delivery,
) -> AnswerHead | None:
    """Return the head of an answer, None if a successor goes on first; each wait without it ends with an act."""
    reading = asyncio.ensure_future(exchange.read_head())
    delivery.on_replaced = reading.cancel
    try:
        while not reading.done():
            seconds, act = next(waits)
            if not await wait_within(reading, seconds):
                act()
        return None if reading.cancelled() else reading.result()
    finally:
        await cancel_and_wait((reading,))
