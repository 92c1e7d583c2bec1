"""Dispatch of calls to targets, with retries, and delivery of the answers to callers.

Whether a call is retried depends on its route and on the known outcome of its attempts: a call that
provably did not run may be retried; one that may have run is retried only if its route is repeatable
or its stream is resumable. A run whose target is silent is kept until its successor goes on. A retry budget, shared by
all entries, bounds the number of retries.
"""

import asyncio
import math
import random
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, RequestError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.outcome import Outcome
from tamarackfield.core.time_limits import TimeLimit, deadline_at
from tamarackfield.gateway.attempts import MIN_REMAINING_SECONDS, AttemptRunner, record_target_result
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.exchange import Answered, AttemptResult, MaybeRan, NotRun, Streamed
from tamarackfield.gateway.fleet import Fleet, make_placement
from tamarackfield.gateway.handover import Delivery
from tamarackfield.gateway.hedging import Hedger
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget
from tamarackfield.web import AnswerCutError, CallerDisconnectedError, Responder

#: Retry-After, in seconds, if no sidecar gave an estimate: the time in which a target that crashed or
#: was removed is replaced in the instance list.
DEFAULT_RETRY_SECONDS = 0.5
#: Retry-After, in seconds, of a refusal because this entry stops: the load balancer sends retries to other entries.
STOP_RETRY_SECONDS = 0.1
#: Number of sidecars without room after which the call of a customer is refused. The least loaded targets are asked
#: first, and each may have held the call for half of the time that it had left.
MAX_ROOM_REFUSALS = 2
#: Largest factor on the retry time of a customer's call that found no room, so that those refused together do not come
#: back together.
RETRY_SPREAD = 1.5
#: Limit of attempts of one call, refused ones included.
MAX_ATTEMPTS = 6


class Dispatcher:
    """Sender of calls to targets, with retries, until each call is answered or fails.

    Parameters
    ----------
    fleet : Fleet
        Targets with the links to their sidecars.
    attempt_runner : AttemptRunner
        Runs single attempts at targets.
    budget_for : callable
        Returns the retry budget of a service.
    hedger : Hedger, optional
        Decides on second attempts beside first ones; a new one sends none.

    Attributes
    ----------
    require_key : callable
        Raises `RequestError` if a call that has not run may not be sent because of its API key.
    """

    def __init__(
        self,
        fleet: Fleet,
        attempt_runner: AttemptRunner,
        budget_for: Callable[[str], SharedRetryBudget],
        hedger: Hedger | None = None,
    ) -> None:
        """Store the collaborators."""
        self.fleet = fleet
        self.attempt_runner = attempt_runner
        self.budget_for = budget_for
        self.require_key: Callable[[CallState], None] = _accept_key
        self.hedger = hedger or Hedger(fleet, budget_for)
        # Calls in progress by the limit of their time.
        self.running: dict[TimeLimit, CallState] = {}
        # Limits of calls that were ended because this entry stops.
        self.stopped: set[TimeLimit] = set()

    async def serve(self, call_state: CallState, responder: Responder) -> None:
        """Serve one call until it is answered or fails.

        Raises
        ------
        RequestError
            If the call ends without an answer and nothing was sent to the caller.
        CallerDisconnectedError
            If the caller disconnected.
        AnswerCutError
            If its stream broke off.
        """
        now = BOOT_CLOCK.monotonic()
        self.budget_for(call_state.service).earn(now)
        self.hedger.record_request(call_state)
        limit = deadline_at(asyncio.get_running_loop().time() + call_state.call.deadline - now)
        try:
            async with limit:
                self.running[limit] = call_state
                call_state.limit = limit
                await self._attempt_until_answered(call_state, responder)
        except TimeoutError:
            if limit in self.stopped:
                raise self._make_error(call_state, 'this entry stops') from None
            if not limit.stalled_seconds() or _is_late(call_state, limit):
                _record_silence(call_state)
            raise self._make_error(call_state, 'deadline passed') from None
        except asyncio.CancelledError:
            # A caller that disconnects within the latency objective does not show that the target is too slow.
            if _is_late(call_state, limit):
                _record_silence(call_state)
            raise
        finally:
            self._forget_call(limit, call_state)

    def _forget_call(self, limit: TimeLimit, call_state: CallState) -> None:
        self.running.pop(limit)
        self.stopped.discard(limit)
        for held in call_state.held_answers:
            self.attempt_runner.pool.answers.release(held)

    def reschedule_deadlines(self) -> None:
        """Reschedule every time-out after a suspension of the machine, which event loop timers do not count."""
        loop = asyncio.get_running_loop()
        for timeout, call_state in self.running.items():
            if call_state.limit is None:
                continue
            timeout.reschedule(loop.time() + call_state.call.deadline - BOOT_CLOCK.monotonic())

    def refuse_late_starts(self, stops_at: float, expect_run: Callable[[CallState], float]) -> None:
        """Refuse the calls that wait and are not expected to be answered before this entry stops.

        Parameters
        ----------
        stops_at : float
            Monotonic seconds at which this entry cuts what is in progress.
        expect_run : callable
            Returns how long the run of a call is expected to take, in seconds.

        Notes
        -----
        A call that has waited for some time is expected to wait for as long again: places become free as runs end,
        and how long those that hold them will take is not known.
        """
        now = BOOT_CLOCK.monotonic()
        for limit, call_state in tuple(self.running.items()):
            waited_seconds = now - call_state.call.received_at
            if call_state.is_unsent() and now + waited_seconds + expect_run(call_state) > stops_at:
                self._end_call(limit, call_state)

    def end_unanswered(self) -> None:
        """Answer the calls to which nothing was sent yet with what is known of them, as this entry stops now."""
        for limit, call_state in tuple(self.running.items()):
            if not call_state.head_sent and call_state.limit is not None:
                self._end_call(limit, call_state)

    def _end_call(self, limit: TimeLimit, call_state: CallState) -> None:
        call_state.retry_seconds = STOP_RETRY_SECONDS
        self.stopped.add(limit)
        limit.expire()

    async def _attempt_until_answered(self, call_state: CallState, responder: Responder) -> None:
        if await self._try_targets(call_state, responder):
            return
        if call_state.failure is None or call_state.head_sent:
            raise self._make_error(
                call_state, call_state.notes[-1] if call_state.notes else 'no target can take the request'
            )
        await _send_answer(call_state, call_state.failure, responder)

    async def _try_targets(
        self, call_state: CallState, responder: Responder, predecessor: Delivery | None = None
    ) -> bool:
        """Attempt a call at one target after the other; return whether the caller was answered.

        Each run whose target is silent is succeeded by a further attempt only once that one goes on. A hedge is one
        attempt.
        """
        is_hedge = predecessor is not None and predecessor.is_hedged
        for _ in range(1 if is_hedge else MAX_ATTEMPTS):
            await self._require_release(call_state)
            target = self.hedger.choose_target(call_state) if is_hedge else self._choose_target(call_state)
            if target is None:
                self._record_pauses(call_state)
                break
            _log_choice(call_state, target)
            async with Delivery(responder, predecessor, partial(self._find_successor, call_state)) as delivery:
                if await self._try_target(call_state, target, delivery):
                    return True
        return False

    async def _try_target(self, call_state: CallState, target: Target, delivery: Delivery) -> bool:
        """Attempt a call at one target; return whether this attempt or a successor of it answered the caller."""
        try:
            result = await self.attempt_runner.run_attempt(call_state, target, delivery)
        except asyncio.CancelledError:
            if delivery.has_running_predecessor():
                self._add_note(call_state, target, 'ended before the run that it was to succeed')
                call_state.record_abandoned(target)
            raise
        answer = self._record_result(call_state, target, result)
        if isinstance(result, Streamed):
            return True
        if answer is not None and not call_state.head_sent:
            await delivery.stop_search()
            await delivery.claim()
            await _send_answer(call_state, answer, delivery.responder)
            return True
        if await delivery.hand_over():
            return True
        if delivery.was_ended_in_vain():
            call_state.excluded_targets.discard(target.record.name)
        return False

    async def _find_successor(self, call_state: CallState, delivery: Delivery) -> bool:
        """Attempt a call at other targets while a run of it is silent; return whether one answered the caller."""
        answered = False
        try:
            answered = await self._try_targets(call_state, delivery.responder, delivery)
        except (RequestError, CallerDisconnectedError) as exc:
            if delivery.succession.first_ended:
                raise
            call_state.notes.append(f'no successor: {exc}')
        finally:
            self.hedger.record_end(call_state, delivery, answered)
        return answered

    def _choose_target(self, call_state: CallState) -> Target | None:
        """Return the target of the next attempt, None if no attempt is allowed or no target is available."""
        route = call_state.route
        now = BOOT_CLOCK.monotonic()
        may_run = call_state.outcome() is Outcome.NOT_RUN or route.may_run_again
        if call_state.call.deadline - now < MIN_REMAINING_SECONDS or not may_run:
            return None
        if call_state.first_event_at and not call_state.last_event:
            call_state.notes.append('events without numbers cannot be resumed')
            return None
        if call_state.send_count and not self.budget_for(call_state.service).can_spend(now):
            call_state.notes.append('retry budget is spent')
            return None
        if call_state.customer is not None and call_state.room_refusals >= MAX_ROOM_REFUSALS:
            call_state.notes.append('engines have no room')
            return None
        placement = make_placement(call_state)
        target = self.fleet.choose_target(placement, call_state.allows)
        if target is None and call_state.redirected_from and call_state.may_be_redirected():
            call_state.stop_redirects()
            return self.fleet.choose_target(placement, call_state.allows)
        return target

    def _record_pauses(self, call_state: CallState) -> None:
        """Record when the caller may come back if no target wants a request now."""
        seconds = self.fleet.seconds_until_return(call_state.service)
        if seconds:
            call_state.notes.append('every target pauses or is at its limit')
            call_state.retry_seconds = seconds

    def _record_result(self, call_state: CallState, target: Target, result: AttemptResult) -> Answered | None:
        """Record the result of an attempt, also for later hedges; return the answer for the caller if there is one."""
        if isinstance(result, MaybeRan) and result.outpaced:
            self._add_note(call_state, target, result.reason)
            call_state.record_maybe_ran(target)
            return None
        answer = self._handle_result(call_state, target, result)
        if answer is None and not isinstance(result, Streamed):
            self.hedger.record_shortage(call_state)
        return answer

    def _handle_result(self, call_state: CallState, target: Target, result: AttemptResult) -> Answered | None:
        """Record the result of an attempt; return the answer for the caller if there is one."""
        match result:
            case NotRun(reason, redirected=True):
                self._add_note(call_state, target, f'not run: {reason}')
                call_state.record_redirect(target)
            case NotRun(reason, outdated=True):
                self._add_note(call_state, target, f'not run: {reason}')
                call_state.record_not_run(target, retry_allowed=True)
            case NotRun(reason, sent, retry_seconds):
                self._add_note(call_state, target, f'not run: {reason}')
                if result.full and call_state.customer is not None:
                    call_state.room_refusals += 1
                    retry_seconds *= random.uniform(1, RETRY_SPREAD)
                call_state.record_not_run(target, retry_allowed=sent and bool(call_state.adapter_key()))
                call_state.retry_seconds = max(call_state.retry_seconds, retry_seconds)
            case MaybeRan(reason):
                self._record_failed(call_state, target, f'may have run: {reason}')
            case Answered(head) if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                self._add_note(call_state, target, f'answered {head.status}')
                call_state.record_maybe_ran(target)
                call_state.failure = result
                if not head.pause_seconds:
                    record_target_result(target, succeeded=False)
            case Answered(head) if call_state.head_sent:
                self._record_failed(call_state, target, f'answered {head.status}, not with the rest of the stream')
            case _:
                call_state.record_answered(target)
                record_target_result(target, succeeded=True)
                return result if isinstance(result, Answered) else None
        return None

    def _record_failed(self, call_state: CallState, target: Target, note: str) -> None:
        self._add_note(call_state, target, note)
        call_state.record_maybe_ran(target)
        record_target_result(target, succeeded=False)

    def _add_note(self, call_state: CallState, target: Target, text: str) -> None:
        age = BOOT_CLOCK.monotonic() - target.listed_at
        call_state.notes.append(f'{target.record.name}: {text} (listed {age:.1f} s ago)')

    async def _require_release(self, call_state: CallState) -> None:
        """Raise the error that ends a call if it is in quarantine, or if its repeat may crash a further target."""
        quarantine = self.fleet.quarantine
        may_repeat_crash = call_state.broke_off_unproven and call_state.route.may_run_again
        if may_repeat_crash and await quarantine.wait_for_suspicion(call_state):
            raise self._make_error(call_state, 'target ended when it began to answer the prompt')
        if call_state.head_sent or call_state.outcome() is not Outcome.NOT_RUN:
            refusal = quarantine.explain_refusal(call_state) or self.attempt_runner.explain_key_refusal(call_state)
            if refusal:
                raise self._make_error(call_state, refusal)
        else:
            await quarantine.wait_for_report(call_state)
            quarantine.require_release(call_state)
            self.require_key(call_state)

    def _make_error(self, call_state: CallState, reason: str) -> RequestError | AnswerCutError:
        """Return the error that ends a call; its outcome is ``not_run`` only if no attempt may have run."""
        if call_state.head_sent:
            return AnswerCutError(f'stream was cut: {reason}')
        if call_state.outcome() is Outcome.NOT_RUN:
            return RequestError(
                reason,
                step='dispatch',
                peer=call_state.target_name,
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                code='no_target',
                retry_after=call_state.retry_seconds or DEFAULT_RETRY_SECONDS,
            )
        deadline_reached = call_state.call.deadline - BOOT_CLOCK.monotonic() < MIN_REMAINING_SECONDS
        return RequestError(
            reason,
            step='dispatch',
            peer=call_state.target_name,
            outcome=Outcome.UNKNOWN,
            status=HTTPStatus.GATEWAY_TIMEOUT if deadline_reached else HTTPStatus.BAD_GATEWAY,
            code='no_answer',
        )


def _accept_key(call_state: CallState) -> None:
    """Do nothing."""


async def _send_answer(call_state: CallState, answer: Answered, responder: Responder) -> None:
    """Send a whole answer in pieces, without a limit of its time."""
    if call_state.limit is not None:
        call_state.limit.reschedule(math.inf)
        call_state.limit = None
    answer.body.begin_sending(responder.describe_peer(), responder.cut)
    length = (b'Content-Length', str(len(answer.body)).encode())
    await responder.send_head(answer.head.status, [*answer.head.headers, length])
    for piece in answer.body.take_pieces():
        await responder.send_body(piece)
    await responder.finish()


def _log_choice(call_state: CallState, target: Target) -> None:
    """Log the choice of a target with the state that it was based on."""
    now = BOOT_CLOCK.monotonic()
    view = target.view
    logger.bind(
        request_id=call_state.call.request_id,
        target=target.record.name,
        attempt=call_state.send_count + 1,
        version=call_state.configuration_version,
        listed_age_ms=round((now - target.listed_at) * MS_PER_SECOND),
        report_age_ms=round((now - view.reported_at) * MS_PER_SECOND) if view.reported_at else '',
        running=view.running,
        outstanding=view.outstanding,
        holds=call_state.adapter_key() in view.residents,
        failing=round(target.health.failure_ratio, 2),
        limit='' if target.request_limit is None else target.request_limit,
        left_ms=round((call_state.call.deadline - now) * MS_PER_SECOND),
    ).info('chosen')


def _is_late(call_state: CallState, limit: TimeLimit) -> bool:
    """Return whether a call exceeded its latency objective, without the time in which this process stood still."""
    seconds = BOOT_CLOCK.monotonic() - call_state.call.received_at - limit.stalled_seconds()
    return seconds > call_state.route.objective_seconds


def _record_silence(call_state: CallState) -> None:
    """Record a failure of the target whose attempt had no response before the call was abandoned."""
    if call_state.in_flight is not None and not call_state.head_sent:
        record_target_result(call_state.in_flight, succeeded=False)
