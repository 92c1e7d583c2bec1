"""Takes a call to a target, again where that is allowed, and its answer to the caller.

Whether a call may be sent once more follows from its route and from what is known of its run: one
that provably did not run may go on; one that may have run goes on only if it may be repeated, or if
its stream may be resumed. A shared share of the traffic bounds how often that happens.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, RequestError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.outcome import Outcome
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.events import EventSplitter
from tamarackfield.gateway.exchange import (
    FRESH_SECONDS,
    REUSE_SECONDS,
    Answered,
    CallTerms,
    Dialect,
    Exchange,
    MaybeRan,
    NotRun,
    Result,
    Streamed,
    judge,
)
from tamarackfield.gateway.fleet import Fleet
from tamarackfield.gateway.journey import Journey
from tamarackfield.gateway.links import ManagerLink, Wish
from tamarackfield.gateway.model import AnswerHead
from tamarackfield.policy.plain import smooth_time
from tamarackfield.policy.shared_retries import SharedRetries
from tamarackfield.web import CallerGoneError, Responder
from tamarackfield.web.client import ClientError
from tamarackfield.web.pool import ConnectionPool
from tamarackfield.wire.grants import Declined
from tamarackfield.wire.stream import PeerBusyError, StreamClosedError

#: Seconds left below which a call is not sent any more: no answer could come back in time.
LEAST_LEFT_SECONDS = 0.02
#: Seconds after which a caller may come back if no forecast is known: the time in which a target
#: that crashed or was taken out is replaced in the list.
DEFAULT_RETRY_SECONDS = 0.5
#: Share of the time left that one silent attempt of a repeatable call may take while another is allowed.
SILENT_SHARE = 0.4
#: Least number of seconds that a silent attempt of a repeatable call is given.
LEAST_SILENT_SECONDS = 0.15
#: Objectives that may pass before the first event of a stream that may start again elsewhere; it
#: waits for its place in the batch before it is sent, so its events come soon after.
SILENT_OBJECTIVES = 2.0
#: Seconds of silence inside a stream after which it is resumed elsewhere, if it may be.
SILENT_STREAM_SECONDS = 1.2
#: Most attempts of one call, those that were refused included.
MAX_ATTEMPTS = 6


@dataclass(slots=True)
class Place:
    """A place in a target's batch, given back at the end."""

    link: ManagerLink | None = None
    number: int = 0
    version: int = 0

    def release(self) -> None:
        """Give the place back."""
        if self.link is not None:
            self.link.release(self.number)

    def start(self) -> None:
        """Note that the answer began."""
        if self.link is not None:
            self.link.start(self.number)


class Dispatcher:
    """Serves calls.

    Parameters
    ----------
    fleet : Fleet
        Targets.
    pool : ConnectionPool
        Connections to them.
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
        budget_for: Callable[[str], SharedRetries],
    ) -> None:
        """Keep the parts."""
        self.fleet = fleet
        self.pool = pool
        self.dialect = dialect
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
            result = await self._attempt(journey, target, responder)
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
        if journey.arrivals and not self.budget_for(journey.service).may_spend(now):
            journey.notes.append('retry budget is spent')
            return None
        return self.fleet.choose(journey.service, journey.adapter_key(), journey.allows, journey.call.deadline)

    def _conclude(self, journey: Journey, target: Target, result: Result) -> Answered | None:
        """Take in the result of an attempt; return the answer for the caller if there is one."""
        health, now = target.health, BOOT_CLOCK.monotonic()
        match result:
            case NotRun(reason, sent, retry_seconds):
                self._note(journey, target, f'not run: {reason}')
                journey.note_not_run(target, again=sent and bool(journey.adapter_key()))
                journey.retry_seconds = max(journey.retry_seconds, retry_seconds)
            case MaybeRan(reason):
                self._note(journey, target, f'may have run: {reason}')
                journey.note_in_doubt(target)
                _judge_target(target, succeeded=False)
            case Answered(head) if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                self._note(journey, target, f'answered {head.status}')
                journey.note_in_doubt(target)
                journey.failure = result
                _judge_target(target, succeeded=False)
            case _:
                journey.in_flight = None
                health.record(succeeded=True, now=now)
                return result if isinstance(result, Answered) else None
        return None

    async def _attempt(self, journey: Journey, target: Target, responder: Responder) -> Result:
        """Make one attempt; whatever ends it, its place and its connection are given back."""
        with contextlib.ExitStack() as clean_up:
            place = Place()
            if journey.adapter_key():
                refused = await self._reserve(journey, target, place)
                clean_up.callback(place.release)
                if refused is not None:
                    return refused
            target.health.start()
            target.view.outstanding += 1
            target.view.unreported += 1
            clean_up.callback(_count_ended, target)
            exchange = Exchange(self.pool, self.dialect, journey.call, target)
            clean_up.callback(exchange.close)
            return await self._run(journey, exchange, place, responder)

    async def _reserve(self, journey: Journey, target: Target, place: Place) -> NotRun | None:
        """Get a place in the batch; without a sidecar the call goes to what the target is known to hold."""
        link = self.fleet.link_of(target)
        if link is None:
            return None
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
            if journey.arrivals and not budget.may_spend(now):
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
                _judge_target(target, succeeded=False)
                return NotRun(exc.message, sent=False)
            return MaybeRan(exc.message)

    async def _receive(self, journey: Journey, exchange: Exchange, place: Place, responder: Responder) -> Result:
        try:
            async with asyncio.timeout(self._silence_limit(journey, exchange.target)):
                head = await exchange.read_head()
        except TimeoutError:
            return MaybeRan('target is silent')
        place.start()
        target = exchange.target
        if head.answered_by not in {'', target.record.name}:
            target.leaving = True
            logger.bind(target=target.record.name, answered_by=head.answered_by).warning('address_has_another_target')
        if not journey.adapter_key():
            smooth_time(target.view, BOOT_CLOCK.monotonic() - exchange.sent_at)
        if head.event_stream and head.genuine and head.status == HTTPStatus.OK:
            return await self._relay(journey, exchange, head, responder)
        return judge(head, await exchange.read_body())

    def _silence_limit(self, journey: Journey, target: Target) -> float | None:
        """Return the seconds that an attempt may be silent, None for as long as the call has."""
        route = journey.route
        if not route.may_run_again or len(journey.sent_to) >= route.max_targets:
            return None
        left = journey.call.deadline - BOOT_CLOCK.monotonic()
        if route.streaming:
            return SILENT_OBJECTIVES * route.objective_seconds
        return max(left * SILENT_SHARE, LEAST_SILENT_SECONDS)

    async def _relay(self, journey: Journey, exchange: Exchange, head: AnswerHead, responder: Responder) -> Result:
        if not journey.started:
            journey.started = True
            journey.first_event_at = BOOT_CLOCK.monotonic()
            await responder.send_head(head.status, head.headers)
        if journey.route.resumable:
            return await self._relay_events(journey, exchange, responder)
        chunks = 0
        chunk = await exchange.next_chunk()
        while chunk:
            await responder.send_body(chunk)
            chunks += 1
            chunk = await exchange.next_chunk()
        await responder.finish()
        return Streamed(chunks)

    async def _relay_events(self, journey: Journey, exchange: Exchange, responder: Responder) -> Result:
        """Pass whole events on, each once, so that the stream can go on from any of them."""
        splitter = EventSplitter()
        silent = None if len(journey.sent_to) >= journey.route.max_targets else SILENT_STREAM_SECONDS
        while True:
            try:
                async with asyncio.timeout(silent):
                    chunk = await exchange.next_chunk()
            except TimeoutError:
                return MaybeRan('stream is silent')
            if not chunk:
                break
            for number, event in splitter.feed(chunk):
                if number > journey.last_event or not number:
                    journey.last_event = max(number, journey.last_event)
                    await responder.send_body(event)
        if splitter.buffered:
            return MaybeRan('stream ended inside an event')
        await responder.finish()
        return Streamed(journey.last_event)

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
        failing=round(target.health.failing, 2),
        left_ms=round((journey.call.deadline - now) * MS_PER_SECOND),
    ).info('chosen')


def _count_ended(target: Target) -> None:
    target.view.outstanding -= 1
    target.health.cancel()


def _judge_target(target: Target, succeeded: bool) -> None:
    if target.health.record(succeeded, BOOT_CLOCK.monotonic()):
        bound = logger.bind(target=target.record.name, failing=round(target.health.failing, 2))
        bound.warning('target_left_out')


def _blame_silence(journey: Journey) -> None:
    """Count an attempt that got no answer until its caller gave up against its target."""
    if journey.in_flight is not None and not journey.started:
        _judge_target(journey.in_flight, succeeded=False)
