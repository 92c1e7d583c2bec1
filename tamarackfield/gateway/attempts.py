"""One attempt of a call at one target: its place, its connection, and what it shows of the run."""

import asyncio
import contextlib
from collections.abc import Callable
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import BOOT_CLOCK
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.exchange import (
    FRESH_SECONDS,
    REUSE_SECONDS,
    CallTerms,
    Dialect,
    Exchange,
    MaybeRan,
    NotRun,
    Result,
    judge,
)
from tamarackfield.gateway.fleet import Fleet
from tamarackfield.gateway.journey import Journey
from tamarackfield.gateway.links import Place, Wish
from tamarackfield.gateway.relay import relay_stream
from tamarackfield.policy.service_routing import update_service_time
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget
from tamarackfield.web import Responder
from tamarackfield.web.client import ClientError
from tamarackfield.web.pool import ConnectionPool
from tamarackfield.wire.grants import Declined
from tamarackfield.wire.stream import PeerBusyError, StreamClosedError

#: Seconds left below which a call is not sent any more: no answer could come back in time.
LEAST_LEFT_SECONDS = 0.02
#: Share of the time left that one silent attempt of a repeatable call may take while another is allowed.
SILENT_SHARE = 0.4
#: Least number of seconds that a silent attempt of a repeatable call is given.
LEAST_SILENT_SECONDS = 0.15
#: Objectives that may pass before the first event of a stream that may start again elsewhere; it
#: waits for its place in the batch before it is sent, so its events come soon after.
SILENT_OBJECTIVES = 2.0


class Attempts:
    """Makes attempts.

    Parameters
    ----------
    fleet : Fleet
        Targets and the links to their sidecars.
    pool : ConnectionPool
        Connections to targets.
    dialect : Dialect
        How calls look there.
    budget_for : callable
        Returns the retry budget of a service.
    """

    def __init__(
        self,
        fleet: Fleet,
        pool: ConnectionPool,
        dialect: Dialect,
        budget_for: Callable[[str], SharedRetryBudget],
    ) -> None:
        """Keep the parts."""
        self.fleet = fleet
        self.pool = pool
        self.dialect = dialect
        self.budget_for = budget_for

    async def make(self, journey: Journey, target: Target, responder: Responder) -> Result:
        """Make one attempt; whatever ends it, its place and its connection are given back."""
        with contextlib.ExitStack() as clean_up:
            place = Place()
            if journey.adapter_key():
                refused = await self._reserve(journey, target, place)
                clean_up.callback(place.release)
                if refused is not None:
                    return refused
            target.health.record_request()
            target.view.outstanding += 1
            clean_up.callback(_count_ended, target)
            exchange = Exchange(self.pool, self.dialect, journey.call, target)
            clean_up.callback(exchange.close)
            return await self._run(journey, exchange, place, responder)

    async def _reserve(self, journey: Journey, target: Target, place: Place) -> NotRun | None:
        """Get a place in the batch; without a sidecar the call goes to what the target is known to hold."""
        link = self.fleet.link_of(target)
        if link is None:
            return None
        # Until the next report of the sidecar shows it.
        target.view.unreported += 1
        target.view.unreported_tokens += journey.call.prompt_tokens
        try:
            number, answer = await link.reserve(self._make_wish(journey))
        except (StreamClosedError, PeerBusyError) as exc:
            return NotRun(f'sidecar: {exc.message}', sent=False)
        if isinstance(answer, Declined):
            return NotRun(f'sidecar declined: {answer.code}', sent=False, retry_seconds=answer.retry_ms / MS_PER_SECOND)
        place.link = link
        place.number = number
        place.version = answer.version
        journey.waited_seconds += answer.waited_ms / MS_PER_SECOND
        return None

    def _make_wish(self, journey: Journey) -> Wish:
        call = journey.call
        route = journey.route
        now = BOOT_CLOCK.monotonic()
        adapter = journey.adapter_key()
        version = self.fleet.versions.newest.get(adapter, 0)
        aim = call.received_at + route.objective_seconds - now
        return Wish(call.request_id, adapter, version, route.priority, call.deadline - now, aim, call.prompt_tokens)

    async def _run(self, journey: Journey, exchange: Exchange, place: Place, responder: Responder) -> Result:
        target = exchange.target
        terms = CallTerms(journey.route.priority, place.version, journey.last_event)
        reuse = REUSE_SECONDS if journey.route.repeatable else FRESH_SECONDS

        def may_send() -> bool:
            now = BOOT_CLOCK.monotonic()
            if not target.takes_work(now) or now + LEAST_LEFT_SECONDS > journey.call.deadline:
                return False
            budget = self.budget_for(journey.service)
            if journey.arrivals and not budget.can_spend(now):
                return False
            if journey.arrivals:
                budget.spend(now)
            journey.note_sent(target)
            return True

        try:
            if not await exchange.send(terms, reuse, may_send):
                return NotRun('target left or the deadline passed before the call was sent', sent=False)
            return await self._receive(journey, exchange, place, responder)
        except ClientError as exc:
            if not exc.sent:
                judge_target(target, succeeded=False)
                return NotRun(exc.message, sent=False)
            return MaybeRan(exc.message)

    async def _receive(self, journey: Journey, exchange: Exchange, place: Place, responder: Responder) -> Result:
        try:
            async with asyncio.timeout(_silence_limit(journey)):
                head = await exchange.read_head()
        except TimeoutError:
            return MaybeRan('target is silent')
        place.start()
        target = exchange.target
        if head.answered_by not in {'', target.record.name}:
            target.leaving = True
            logger.bind(target=target.record.name, answered_by=head.answered_by).warning('address_has_another_target')
        if not journey.adapter_key():
            update_service_time(target.view, BOOT_CLOCK.monotonic() - exchange.sent_at)
        if head.event_stream and head.genuine and head.status == HTTPStatus.OK:
            return await relay_stream(journey, exchange, place, head, responder)
        return judge(head, await exchange.read_body())


def judge_target(target: Target, succeeded: bool) -> None:
    """Take the result of an attempt into the health of its target."""
    if target.health.record_result(succeeded, BOOT_CLOCK.monotonic()):
        bound = logger.bind(target=target.record.name, failing=round(target.health.failure_ratio, 2))
        bound.warning('target_left_out')


def _count_ended(target: Target) -> None:
    target.view.outstanding -= 1
    target.health.record_cancellation()


def _silence_limit(journey: Journey) -> float | None:
    """Return the seconds that an attempt may be silent, None for as long as the call has."""
    route = journey.route
    if not route.may_run_again or len(journey.sent_to) >= route.max_targets:
        return None
    if route.streaming:
        return SILENT_OBJECTIVES * route.objective_seconds
    left = journey.call.deadline - BOOT_CLOCK.monotonic()
    return max(left * SILENT_SHARE, LEAST_SILENT_SECONDS)
