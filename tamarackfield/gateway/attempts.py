"""One attempt of a call at one target: batch reservation, connection and outcome."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, cancel_and_wait
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.exchange import (
    MAX_IDLE_NON_REPEATABLE_SECONDS,
    MAX_IDLE_REPEATABLE_SECONDS,
    AttemptResult,
    CallOptions,
    Dialect,
    Exchange,
    MaybeRan,
    NotRun,
    classify_answer,
    explain_unframed_end,
)
from tamarackfield.gateway.fleet import Fleet, make_placement
from tamarackfield.gateway.handover import Delivery
from tamarackfield.gateway.hedging import Hedger, read_head
from tamarackfield.gateway.reservation import Reservation, ReservationRequest
from tamarackfield.gateway.model import AnswerHead
from tamarackfield.gateway.relay import Incoming, relay_stream
from tamarackfield.policy.service_routing import update_service_time
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget
from tamarackfield.web.answer_budget import HeldBody
from tamarackfield.web.client import ClientError
from tamarackfield.web.pool import ConnectionPool
from tamarackfield.wire.request_limits import LIMIT_CODE
from tamarackfield.wire.reservations import NO_ROOM_CODES, REDIRECT_CODE, Declined
from tamarackfield.wire.stream import PeerBusyError, StreamClosedError

#: Remaining time, in seconds, below which a call is not sent: no answer could arrive before the deadline.
MIN_REMAINING_SECONDS = 0.02
#: Share of the remaining time after which a successor is sought for an attempt of a repeatable call without any
#: response.
SILENCE_TIMEOUT_SHARE = 0.4
#: Lower bound, in seconds, of the silence time-out of an attempt of a repeatable call.
MIN_SILENCE_TIMEOUT_SECONDS = 0.15
#: Time-out for the first event of a stream that may be restarted at another target, as a multiple
#: of its latency objective. The call is sent only once its batch reservation is granted, so the time
#: excludes queueing.
FIRST_EVENT_TIMEOUT_OBJECTIVES = 2.0
#: Why a call is not sent whose adapter was replaced by a newer version while the call waited.
REPLACED_VERSION = 'version was replaced before the call was sent'


class AttemptRunner:
    """Runs attempts of calls at targets.

    Parameters
    ----------
    fleet : Fleet
        Targets with the links to their sidecars.
    pool : ConnectionPool
        Pool of connections to targets.
    dialect : Dialect
        Formats calls to targets and parses their answers.
    budget_for : callable
        Returns the retry budget of a service.

    Attributes
    ----------
    explain_key_refusal : callable
        Returns why a call may not be sent now because of its API key, empty if it may.
    """

    def __init__(
        self,
        fleet: Fleet,
        pool: ConnectionPool,
        dialect: Dialect,
        budget_for: Callable[[str], SharedRetryBudget],
    ) -> None:
        """Store the collaborators."""
        self.fleet = fleet
        self.pool = pool
        self.dialect = dialect
        self.budget_for = budget_for
        self.explain_key_refusal: Callable[[CallState], str] = _accept_key
        self.hedger = Hedger(fleet, budget_for)
        fleet.quarantine.ends.connect(pool, dialect, lambda: fleet.catalog)

    async def run_attempt(self, call_state: CallState, target: Target, delivery: Delivery) -> AttemptResult:
        """Run one attempt; its reservation and its connection are released however it ends."""
        with contextlib.ExitStack() as clean_up:
            reservation = Reservation(longest_pause_seconds=call_state.route.pause_seconds)
            if call_state.adapter_key():
                refused = await self._reserve(call_state, target, reservation)
                clean_up.callback(reservation.release)
                if refused is not None:
                    return refused
            if target.request_limit is not None and reservation.link is None:
                may_wait = not self.fleet.has_unlimited_target(call_state.service, call_state.allows)
                refused = await self.fleet.limits.require_permit(call_state, target, may_wait)
                if refused is not None:
                    return refused
                reservation.permitted = True
            target.health.record_request()
            target.view.outstanding += 1
            clean_up.callback(_count_attempt_end, target)
            exchange = Exchange(self.pool, self.dialect, call_state.call, target)
            exchange.on_limit_change = self.fleet.limits.announce
            clean_up.callback(exchange.close)
            result = await self._send_and_receive(call_state, exchange, reservation, delivery)
            if isinstance(result, MaybeRan) and exchange.has_connection_ended():
                _log_broken_run(exchange, result)
            self.fleet.quarantine.record_attempt(call_state, exchange, result, self.fleet.find_link(target))
            return result

    async def _reserve(self, call_state: CallState, target: Target, reservation: Reservation) -> NotRun | None:
        """Reserve a slot in the batch of a target; return `NotRun` if the sidecar does not grant it.

        If no sidecar can grant a slot, the call is sent without a reservation: `Fleet.choose_target` then
        offers only targets on which the adapter is known to be resident.
        """
        link = self.fleet.granting_link(target)
        if link is None:
            return None
        # Counted locally until the next report of the sidecar includes the request.
        target.view.unreported += 1
        target.view.unreported_tokens += call_state.call.prompt_tokens
        try:
            number, answer = await link.reserve(self._make_reservation_request(call_state, target))
        except (StreamClosedError, PeerBusyError) as exc:
            return NotRun(f'sidecar: {exc.message}', sent=False)
        if isinstance(answer, Declined):
            if answer.code == LIMIT_CODE:
                self.fleet.limits.record_refusal(target, answer.retry_ms / MS_PER_SECOND)
            return NotRun(
                f'sidecar declined: {answer.code}',
                sent=False,
                retry_seconds=answer.retry_ms / MS_PER_SECOND,
                redirected=answer.code == REDIRECT_CODE,
                full=answer.code in NO_ROOM_CODES,
            )
        reservation.link = link
        reservation.number = number
        reservation.version = answer.version
        reservation.permitted = True
        call_state.waited_seconds += answer.waited_ms / MS_PER_SECOND
        return None

    def _make_reservation_request(self, call_state: CallState, target: Target) -> ReservationRequest:
        call = call_state.call
        route = call_state.route
        now = BOOT_CLOCK.monotonic()
        adapter = call_state.adapter_key()
        version = self.fleet.versions.newest.get(adapter, 0)
        start_within = call.received_at + route.objective_seconds - now
        redirectable = call_state.may_be_redirected() and (
            target.request_limit is None or self.fleet.has_unlimited_target(call_state.service, call_state.allows)
        )
        return ReservationRequest(
            label=call.request_id,
            adapter=adapter,
            version=version,
            priority=call_state.priority(),
            remaining_seconds=call.deadline - now,
            start_within_seconds=start_within,
            prompt_tokens=call.prompt_tokens,
            redirectable=redirectable,
            customer=call.customer or '',
        )

    async def _send_and_receive(
        self, call_state: CallState, exchange: Exchange, reservation: Reservation, delivery: Delivery
    ) -> AttemptResult:
        target = exchange.target
        options = CallOptions(call_state.priority(), reservation.version, call_state.last_event)
        max_idle_seconds = (
            MAX_IDLE_REPEATABLE_SECONDS if call_state.route.repeatable else MAX_IDLE_NON_REPEATABLE_SECONDS
        )

        def authorize_send() -> str:
            """Return why the call may not be sent; if it may, spend the retry budget and record the call as sent."""
            refusal = self._explain_refusal(call_state, target, reservation)
            if not refusal and delivery.is_hedge() and not self.hedger.may_spend(call_state):
                refusal = 'hedges were used up before the call was sent'
            if not refusal:
                self._record_sent(call_state, exchange, delivery)
            return refusal

        try:
            refusal = await exchange.send(options, max_idle_seconds, authorize_send, call_state.used_connections)
            if refusal:
                return NotRun(refusal, sent=False, outdated=refusal is REPLACED_VERSION)
            return await self._receive(call_state, exchange, reservation, delivery)
        except ClientError as exc:
            if not exc.sent:
                record_target_result(target, succeeded=False)
                return NotRun(exc.message, sent=False)
            return MaybeRan(exc.message)
        finally:
            call_state.record_answer_end(exchange.framing or '', exchange.describe_end())

    def _is_answered_by_another(self, call_state: CallState, target: Target, head: AnswerHead) -> bool:
        """Return whether an answer shows that another instance is at the address of a target.

        A target without models refuses a call as misdirected for no other reason. One with models also refuses a call
        for an adapter that it does not hold.
        """
        if head.answered_by:
            return head.answered_by != target.record.name
        if head.status != HTTPStatus.MISDIRECTED_REQUEST:
            return False
        return target.may_be_misdirected() if call_state.adapter_key() else bool(target.list_rivals())

    def _can_repeat(self, call_state: CallState) -> bool:
        """Return whether a further attempt of a call is allowed and a target that does not run it could take it."""
        if not self.budget_for(call_state.service).can_spend(BOOT_CLOCK.monotonic()):
            return False
        # One probe is one run.
        if call_state.is_probe:
            return False
        if self.explain_key_refusal(call_state) or self.fleet.quarantine.explain_refusal(call_state):
            return False
        return self.fleet.choose_target(make_placement(call_state), call_state.allows) is not None

    def _explain_refusal(self, call_state: CallState, target: Target, reservation: Reservation) -> str:
        """Return why a call may not be sent to a target now, empty if it may."""
        now = BOOT_CLOCK.monotonic()
        refusal = target.explain_refusal(now)
        if refusal:
            return f'{refusal} before the call was sent'
        if target.request_limit is not None and not reservation.permitted:
            return 'target stated a limit before the call was sent'
        if self._is_version_replaced(call_state, target, reservation):
            return REPLACED_VERSION
        if now + MIN_REMAINING_SECONDS > call_state.call.deadline:
            return 'deadline passed before the call was sent'
        if call_state.send_count and not self.budget_for(call_state.service).can_spend(now):
            return 'retry budget was spent before the call was sent'
        return self.explain_key_refusal(call_state) or self.fleet.quarantine.explain_refusal(call_state)

    def _is_version_replaced(self, call_state: CallState, target: Target, reservation: Reservation) -> bool:
        """Return whether a newer version of the adapter was announced than the one that would serve the call."""
        adapter = call_state.adapter_key()
        newest = self.fleet.versions.newest.get(adapter, 0)
        if not newest:
            return False
        if reservation.link is not None:
            return reservation.version < newest
        return adapter not in target.view.residents

    def _record_sent(self, call_state: CallState, exchange: Exchange, delivery: Delivery) -> None:
        if call_state.send_count and not delivery.is_hedge():
            self.budget_for(call_state.service).spend(BOOT_CLOCK.monotonic())
        exchange.suspected_parts = self.fleet.quarantine.find_suspected(call_state.call)
        exchange.is_probe = call_state.is_probe
        call_state.record_sent(exchange.target)
        if delivery.predecessor is not None:
            delivery.predecessor.record_sent(resumes=call_state.has_events())
        if delivery.is_hedge():
            self.hedger.record_sent(call_state, delivery.predecessor)

    async def _receive(
        self, call_state: CallState, exchange: Exchange, reservation: Reservation, delivery: Delivery
    ) -> AttemptResult:
        target = exchange.target

        def seek_successor() -> None:
            """Start to look for a successor if another target could take the call now."""
            if delivery.is_searching():
                return
            call_state.forget_refusals()
            if self._can_repeat(call_state):
                logger.bind(request_id=call_state.call.request_id, target=target.record.name).info('successor_sought')
                delivery.start_search()

        async def explain_unproven_end() -> str:
            """Return why it is not proven that the target finished its answer, empty if it is."""
            return await self.fleet.quarantine.explain_unproven_end(exchange, self.fleet.find_link(target))

        waits = self.hedger.list_waits(call_state, delivery, _silence_timeout(call_state, target), seek_successor)
        head = await read_head(exchange, waits, delivery)
        self.hedger.record_time(call_state, BOOT_CLOCK.monotonic() - exchange.sent_at)
        if head is None:
            return _make_silent_result(delivery)
        is_stream = head.event_stream and head.genuine and head.status == HTTPStatus.OK
        if not is_stream:
            reservation.report_started()
        if self._is_answered_by_another(call_state, target, head):
            self.fleet.directory.record_misdirected(target)
        elif head.genuine:
            self.fleet.directory.record_answer(target, exchange.connection)
        if not call_state.adapter_key():
            update_service_time(target.view, BOOT_CLOCK.monotonic() - exchange.sent_at)
        if is_stream:
            incoming = Incoming(exchange, head, reservation, seek_successor, explain_unproven_end)
            return await relay_stream(call_state, incoming, delivery)
        body = await _read_unless_replaced(exchange.read_body(call_state.hold_answer()), delivery)
        if body is None:
            return _make_silent_result(delivery)
        fault = await explain_unframed_end(exchange, head, body, explain_unproven_end)
        return MaybeRan(fault) if fault else classify_answer(head, body)


def _make_silent_result(delivery: Delivery) -> MaybeRan:
    """Return the result of a run that was ended in favour of the run of another target."""
    if delivery.is_outpaced():
        return MaybeRan('a hedge answered first', outpaced=True)
    return MaybeRan('target is silent')


async def _read_unless_replaced(reading: Awaitable[HeldBody], delivery: Delivery) -> HeldBody | None:
    """Return the body of an answer, None if a successor is to answer first."""
    task = asyncio.ensure_future(reading)
    delivery.on_replaced = task.cancel
    if delivery.is_replaced():
        task.cancel()
    try:
        await asyncio.wait((task,))
        return None if task.cancelled() else task.result()
    finally:
        await cancel_and_wait((task,))


def record_target_result(target: Target, succeeded: bool) -> None:
    """Record the result of an attempt in the health of its target."""
    if target.health.record_result(succeeded, BOOT_CLOCK.monotonic()):
        bound = logger.bind(target=target.record.name, failing=round(target.health.failure_ratio, 2))
        bound.warning('target_left_out')


def _log_broken_run(exchange: Exchange, result: MaybeRan) -> None:
    """Log a run whose connection ended before its answer, with what tells whether others like it broke off."""
    record = exchange.target.record
    logger.bind(
        request_id=exchange.call.request_id,
        fingerprint=exchange.call.identify(),
        target=record.name,
        started_ms=record.started_ms,
        ran_ms=round((BOOT_CLOCK.monotonic() - exchange.sent_at) * MS_PER_SECOND),
        reason=result.reason,
    ).info('run_broke_off')


def _accept_key(call_state: CallState) -> str:
    """Return that nothing is against a call."""
    return ''


def _count_attempt_end(target: Target) -> None:
    target.view.outstanding -= 1
    target.health.record_cancellation()


def _silence_timeout(call_state: CallState, target: Target) -> float | None:
    """Return the seconds without a response after which a successor is sought, None if there can be none."""
    route = call_state.route
    if not route.may_run_again or not call_state.may_reach_another(target):
        return None
    if route.streaming:
        return FIRST_EVENT_TIMEOUT_OBJECTIVES * route.objective_seconds
    remaining = call_state.call.deadline - BOOT_CLOCK.monotonic()
    return max(remaining * SILENCE_TIMEOUT_SHARE, MIN_SILENCE_TIMEOUT_SECONDS)
