"""Takes a call to a target, again where that is allowed, and its answer to the caller.

Whether a call may be sent once more follows from its route and from what is known of its run: one
that provably did not run may go on; one that may have run goes on only if it may be repeated, or if
its stream may be resumed. A shared share of the traffic bounds how often that happens.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, RequestError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.outcome import Outcome
from tamarackfield.gateway.attempts import LEAST_LEFT_SECONDS, Attempts, judge_target
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.exchange import Answered, MaybeRan, NotRun, Result, Streamed
from tamarackfield.gateway.fleet import Fleet, Placement
from tamarackfield.gateway.journey import Journey
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget
from tamarackfield.web import CallerGoneError, Responder

#: Seconds after which a caller may come back if no forecast is known: the time in which a target
#: that crashed or was taken out is replaced in the list.
DEFAULT_RETRY_SECONDS = 0.5
#: Most attempts of one call, those that were refused included.
MAX_ATTEMPTS = 6


class Dispatcher:
    """Serves calls.

    Parameters
    ----------
    fleet : Fleet
        Targets.
    attempts : Attempts
        Makes one attempt at a target.
    budget_for : callable
        Returns the retry budget of a service.
    """

    def __init__(self, fleet: Fleet, attempts: Attempts, budget_for: Callable[[str], SharedRetryBudget]) -> None:
        """Keep the parts."""
        self.fleet = fleet
        self.attempts = attempts
        self.budget_for = budget_for
        self.timeouts: dict[asyncio.Timeout, float] = {}

    async def serve(self, journey: Journey, responder: Responder) -> None:
        """Serve one call to its end.

        Raises
        ------
        RequestError
            If the call ends without an answer and the caller has no part of one.
        CallerGoneError
            If the caller left, or its stream was cut.
        """
        now = BOOT_CLOCK.monotonic()
        self.budget_for(journey.service).earn(now)
        left = journey.call.deadline - now
        try:
            async with asyncio.timeout(left) as timeout:
                self.timeouts[timeout] = journey.call.deadline
                await self._serve(journey, responder)
        except TimeoutError:
            _blame_silence(journey)
            raise self._end(journey, 'deadline passed') from None
        except asyncio.CancelledError:
            if BOOT_CLOCK.monotonic() - journey.call.received_at > journey.route.objective_seconds:
                _blame_silence(journey)
            raise
        finally:
            self.timeouts.pop(timeout)

    def recheck_deadlines(self) -> None:
        """Set every timer anew after a suspension, which timers do not count."""
        loop = asyncio.get_running_loop()
        for timeout, deadline in self.timeouts.items():
            timeout.reschedule(loop.time() + deadline - BOOT_CLOCK.monotonic())

    async def _serve(self, journey: Journey, responder: Responder) -> None:
        for _ in range(MAX_ATTEMPTS):
            target = self._choose(journey)
            if target is None:
                break
            _tell_choice(journey, target)
            result = await self.attempts.make(journey, target, responder)
            answer = self._conclude(journey, target, result)
            if isinstance(result, Streamed):
                return
            if answer is not None and not journey.started:
                await _deliver(answer, responder)
                return
        if journey.failure is None or journey.started:
            raise self._end(journey, journey.notes[-1] if journey.notes else 'no target can take the request')
        await _deliver(journey.failure, responder)

    def _choose(self, journey: Journey) -> Target | None:
        """Return the target of the next attempt, None if there is to be none."""
        route = journey.route
        now = BOOT_CLOCK.monotonic()
        if journey.call.deadline - now < LEAST_LEFT_SECONDS:
            return None
        if journey.in_doubt and not route.may_run_again:
            return None
        if journey.arrivals and not self.budget_for(journey.service).can_spend(now):
            journey.notes.append('retry budget is spent')
            return None
        call = journey.call
        wish = Placement(journey.service, journey.adapter_key(), call.deadline, call.prompt_tokens)
        return self.fleet.choose(wish, journey.allows)

    def _conclude(self, journey: Journey, target: Target, result: Result) -> Answered | None:
        """Take in the result of an attempt; return the answer for the caller if there is one."""
        match result:
            case NotRun(reason, sent, retry_seconds):
                self._note(journey, target, f'not run: {reason}')
                journey.note_not_run(target, again=sent and bool(journey.adapter_key()))
                journey.retry_seconds = max(journey.retry_seconds, retry_seconds)
            case MaybeRan(reason):
                self._note(journey, target, f'may have run: {reason}')
                journey.note_in_doubt(target)
                judge_target(target, succeeded=False)
            case Answered(head) if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                self._note(journey, target, f'answered {head.status}')
                journey.note_in_doubt(target)
                journey.failure = result
                judge_target(target, succeeded=False)
            case _:
                journey.in_flight = None
                judge_target(target, succeeded=True)
                return result if isinstance(result, Answered) else None
        return None

    def _note(self, journey: Journey, target: Target, text: str) -> None:
        age = BOOT_CLOCK.monotonic() - target.listed_at
        journey.notes.append(f'{target.record.name}: {text} (listed {age:.1f} s ago)')

    def _end(self, journey: Journey, reason: str) -> RequestError | CallerGoneError:
        """Return the error that ends a call; it says no more of the run than what is known."""
        if journey.started:
            return CallerGoneError(f'stream was cut: {reason}')
        if journey.outcome() is Outcome.NOT_RUN:
            return RequestError(
                reason,
                step='dispatch',
                peer=journey.target_name,
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                code='no_target',
                retry_after=journey.retry_seconds or DEFAULT_RETRY_SECONDS,
            )
        late = journey.call.deadline - BOOT_CLOCK.monotonic() < LEAST_LEFT_SECONDS
        return RequestError(
            reason,
            step='dispatch',
            peer=journey.target_name,
            outcome=Outcome.UNKNOWN,
            status=HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY,
            code='no_answer',
        )


async def _deliver(answer: Answered, responder: Responder) -> None:
    length = (b'Content-Length', str(len(answer.body)).encode())
    await responder.send_head(answer.head.status, [*answer.head.headers, length])
    await responder.send_body(answer.body)
    await responder.finish()


def _tell_choice(journey: Journey, target: Target) -> None:
    """Log the choice of a target with what it was made from."""
    now = BOOT_CLOCK.monotonic()
    view = target.view
    logger.bind(
        request_id=journey.call.request_id,
        target=target.record.name,
        attempt=journey.arrivals + 1,
        version=journey.version,
        listed_age_ms=round((now - target.listed_at) * MS_PER_SECOND),
        report_age_ms=round((now - view.reported_at) * MS_PER_SECOND) if view.reported_at else '',
        running=view.running,
        outstanding=view.outstanding,
        holds=journey.adapter_key() in view.residents,
        failing=round(target.health.failure_ratio, 2),
        left_ms=round((journey.call.deadline - now) * MS_PER_SECOND),
    ).info('chosen')


def _blame_silence(journey: Journey) -> None:
    """Count an attempt that got no answer until its caller gave up against its target."""
    if journey.in_flight is not None and not journey.started:
        judge_target(journey.in_flight, succeeded=False)
