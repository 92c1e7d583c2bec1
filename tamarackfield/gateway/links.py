"""Links from this entry to the sidecars that manage the adapters of its targets (`tamarackfield.manager`)."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from functools import partial

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, Address, TamarackfieldError, cancel_and_wait
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.time_limits import listening_seconds, time_limit, wait_within
from tamarackfield.gateway.follower import MIN_JITTER_SHARE
from tamarackfield.gateway.reservation import ReservationRequest
from tamarackfield.policy.crashes import Crash, CrashKey
from tamarackfield.policy.pause_planning import WaitSampler
from tamarackfield.wire.crash_reports import CrashReport, decode_crash, encode_crash
from tamarackfield.wire.messages import Draining, Hello, Holdings, Message
from tamarackfield.wire.quotas import TokensGranted
from tamarackfield.wire.request_limits import RequestLimit
from tamarackfield.wire.reservations import (
    CustomerReserve,
    Declined,
    EngineReport,
    Facts,
    Granted,
    Paused,
    Release,
    Reserve,
)
from tamarackfield.wire.stream import PeerBusyError, PeerStream, StreamClosedError, connect

#: Shortest and longest pause between two attempts to connect, in seconds.
MIN_RECONNECT_SECONDS = 0.1
MAX_RECONNECT_SECONDS = 1.0
#: Seconds beyond the time limit of a reservation for which the answer of the sidecar is still awaited.
ANSWER_MARGIN_SECONDS = 0.1

#: Seconds without a byte after which a sidecar counts as silent; its heartbeats arrive every half second.
SILENCE_TIMEOUT_SECONDS = 0.8
#: Seconds between two checks of whether the sidecar is silent while a reservation request is pending.
SILENCE_CHECK_SECONDS = 0.1

Answer = Granted | Declined | TokensGranted


@dataclass(slots=True)
class PendingRequest:
    """Request of this entry that a sidecar has not answered yet."""

    message: Message
    answer: asyncio.Future[Answer]


class ManagerLink:
    """Link to one sidecar; owned by one task.

    Parameters
    ----------
    address : tuple of str and int
        Address on which the sidecar listens.
    hello : callable
        Returns the greeting that identifies this process.
    facts : callable
        Returns the `Facts` messages that describe the targets that are listed on the machine of the sidecar.
    on_change : callable
        Called when a report or the holdings of the sidecar change, and when the connection is lost.
    """

    def __init__(
        self,
        address: Address,
        hello: Callable[[], Hello],
        facts: Callable[[], Iterable[Facts]],
        on_change: Callable[[], None],
    ) -> None:
        """Prepare a link that is not connected."""
        self.address = address
        self.hello = hello
        self.facts = facts
        self.on_change = on_change
        self.stream: PeerStream | None = None
        self.report: EngineReport | None = None
        self.reported_at = 0.0
        self.holdings: Holdings | None = None
        self.pending: dict[int, PendingRequest] = {}
        self.reservation_numbers = itertools.count(1)
        # What the sidecar was sent of each target, by its name.
        self.sent_facts: dict[str, Facts] = {}
        # Waits between the events of the streams with reservations.
        self.waits = WaitSampler()
        self.draining = False
        self.unreachable = False
        # Crashes as the sidecar knows them.
        self.known_crashes: dict[CrashKey, Crash] = {}
        self.on_crash: Callable[[Crash], None] = _ignore_crash
        self.list_crashes: Callable[[], Iterable[Crash]] = tuple
        self.on_limit: Callable[[RequestLimit], None] = _ignore_limit
        self.list_limits: Callable[[], Iterable[RequestLimit]] = tuple
        # Called when the sidecar has closed the stream.
        self.on_end: Callable[[], None] = _ignore_end

    def is_up(self) -> bool:
        """Return whether the sidecar responds and can grant requests."""
        return self.report is not None and self.report.ready and not self.draining and not self.is_silent()

    def is_silent(self) -> bool:
        """Return whether the sidecar is disconnected or its heartbeats are overdue."""
        return self.stream is None or listening_seconds() - self.stream.last_received_at > SILENCE_TIMEOUT_SECONDS

    def is_machine_suspect(self) -> bool:
        """Return whether the machine of the target does not respond, rather than only the sidecar process on it."""
        return self.unreachable or (self.stream is not None and self.is_silent())

    async def run(self) -> None:
        """Keep the link connected, reconnecting with exponential backoff and jitter; never return."""
        pause = MIN_RECONNECT_SECONDS
        while True:
            try:
                await self._serve_connection()
            except TamarackfieldError as exc:
                self._record_loss(exc)
                pause = pause if self.stream is None else MIN_RECONNECT_SECONDS
            finally:
                self._reset()
            await asyncio.sleep(pause * random.uniform(MIN_JITTER_SHARE, 1))
            pause = min(MAX_RECONNECT_SECONDS, 2 * pause)

    def send_facts(self) -> None:
        """Send the facts that changed."""
        self.sent_facts = {
            facts.target: facts
            for facts in self.facts()
            if self.sent_facts.get(facts.target) == facts or self.send_best_effort(facts)
        }

    async def reserve(self, request: ReservationRequest) -> tuple[int, Answer]:
        """Reserve a slot in the batch of the target.

        Parameters
        ----------
        request : ReservationRequest
            Adapter, priority and time limits of the call.

        Returns
        -------
        tuple
            Number of the reservation, for `release`, and the answer.

        Raises
        ------
        StreamClosedError
            If the sidecar is disconnected, silent, or does not answer in time; the reservation is cancelled.
        PeerBusyError
            If too many messages wait to be sent to the sidecar.
        """
        return await self.ask(partial(_make_reserve, request=request), request.remaining_seconds)

    async def ask(self, make_message: Callable[[int], Message], seconds: float) -> tuple[int, Answer]:
        """Send a request that the sidecar grants or declines, made from its number, and wait for the answer.

        Raises
        ------
        StreamClosedError, PeerBusyError
            As in `reserve`; ``seconds`` is the time limit.
        """
        number = next(self.reservation_numbers)
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        message = make_message(number)
        self.pending[number] = PendingRequest(message, answer)
        reply: Answer | None = None
        try:
            async with time_limit(seconds + ANSWER_MARGIN_SECONDS):
                self._send(message)
                reply = await self._await_answer(answer)
        except TimeoutError:
            raise StreamClosedError('sidecar did not answer', step='reserve', peer=self._peer_name()) from None
        finally:
            self.pending.pop(number, None)
            if reply is None:
                self.release(number)
        return number, reply

    def report_pause(self, number: int, seconds: float) -> None:
        """Report to the sidecar for how long the stream of a request paused."""
        self.send_best_effort(Paused(number, round(seconds * MS_PER_SECOND)))

    def report_crash(self, crash: Crash) -> None:
        """Report a crash to the sidecar, unless it knows as much."""
        known = self.known_crashes.get(crash.key())
        if (known is None or known.merge(crash) != known) and self.send_best_effort(encode_crash(crash)):
            self.known_crashes[crash.key()] = crash if known is None else known.merge(crash)

    def release(self, number: int) -> None:
        """Release a reservation, or cancel it if it is not granted yet."""
        self.send_best_effort(Release(number))

    def handle_message(self, message: Message) -> None:
        """Handle a message of the sidecar."""
        match message:
            case Granted() | Declined() | TokensGranted():
                self._resolve_answer(message)
            case EngineReport():
                self._store_report(message)
            case Holdings():
                self.holdings = message
                self.on_change()
            case CrashReport():
                crash = decode_crash(message)
                self.known_crashes[crash.key()] = crash
                self.on_crash(crash)
            case RequestLimit():
                self.on_limit(message)
            case Draining(reason):
                self.draining = True
                logger.bind(sidecar=self._peer_name(), reason=reason).info('sidecar_stopping')
            case _:
                logger.bind(sidecar=self._peer_name(), kind=message.kind).debug('message_ignored')

    def _record_loss(self, exc: TamarackfieldError) -> None:
        """Distinguish a process that ended, whose machine refuses connections, from an unreachable machine."""
        refused = isinstance(exc.__cause__, ConnectionError)
        suspect = not refused and (self.stream is None or self.stream.timed_out)
        if self.stream is not None or suspect != self.unreachable:
            bound = logger.bind(sidecar=self._peer_name(), step=exc.step, error=exc.message, machine_suspect=suspect)
            bound.warning('sidecar_lost')
        self.unreachable = suspect
        if self.stream is not None and not self.stream.timed_out and exc.step == 'receive':
            self.on_end()

    async def _serve_connection(self) -> None:
        stream = await connect(*self.address, None)
        heartbeat_tasks = []
        try:
            await stream.exchange_hellos(self.hello())
            self._start_stream(stream)
            heartbeat_tasks.append(asyncio.create_task(stream.send_heartbeats()))
            while True:
                self.handle_message(await stream.receive())
        finally:
            stream.abort()
            await cancel_and_wait(heartbeat_tasks)

    def _start_stream(self, stream: PeerStream) -> None:
        self.stream = stream
        self.unreachable = False
        logger.bind(sidecar=self._peer_name()).info('sidecar_connected')
        self.send_facts()
        for crash in self.list_crashes():
            self.report_crash(crash)
        for limit in self.list_limits():
            self.send_best_effort(limit)

    def _store_report(self, report: EngineReport) -> None:
        previous = self.report
        self.report = report
        self.reported_at = BOOT_CLOCK.monotonic()
        if previous is None or previous.ready != report.ready or previous.incarnation != report.incarnation:
            logger.bind(
                sidecar=self._peer_name(), ready=report.ready, started_ms=report.incarnation, running=report.running
            ).info('sidecar_reports')
        self.on_change()

    async def _await_answer(self, answer: asyncio.Future[Answer]) -> Answer:
        """Wait for an answer until the sidecar falls silent."""
        while not answer.done():
            if not await wait_within(answer, SILENCE_CHECK_SECONDS) and self.is_silent():
                raise StreamClosedError('sidecar is silent', step='reserve', peer=self._peer_name())
        return answer.result()

    def _resolve_answer(self, message: Answer) -> None:
        pending = self.pending.get(message.request_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(message)
        elif isinstance(message, Granted):
            # The attempt stopped waiting before the slot was granted.
            self.release(message.request_id)

    def send_best_effort(self, message: Message) -> bool:
        """Send a message that may be lost with the connection; return whether it was sent."""
        if self.stream is None:
            return False
        try:
            self._send(message)
        except (StreamClosedError, PeerBusyError) as exc:
            logger.bind(sidecar=self._peer_name(), step=exc.step, error=exc.message).debug('message_not_sent')
            return False
        return True

    def _send(self, message: Message) -> None:
        if self.stream is None:
            raise StreamClosedError('sidecar is not connected', step='send', peer=self._peer_name())
        self.stream.send(message)

    def _reset(self) -> None:
        self.stream = None
        self.report = None
        self.sent_facts.clear()
        self.draining = False
        self.known_crashes.clear()
        for pending in self.pending.values():
            if not pending.answer.done():
                error = StreamClosedError('sidecar is lost', step='reserve', peer=self._peer_name())
                pending.answer.set_exception(error)
        self.on_change()

    def _peer_name(self) -> str:
        return f'{self.address[0]}:{self.address[1]}'


def raise_versions(link: ManagerLink, newest: Mapping[str, int]) -> None:
    """Raise the lowest acceptable versions of the reservations that wait to the newest ones of their adapters.

    The sidecar keeps the place of a request that it is sent again.
    """
    for pending in link.pending.values():
        message = pending.message
        if isinstance(message, Reserve) and newest.get(message.adapter, 0) > message.version:
            raised = replace(message, version=newest[message.adapter])
            if not pending.answer.done() and link.send_best_effort(raised):
                pending.message = raised


def _ignore_crash(crash: Crash) -> None:
    logger.bind(target=crash.target, started_ms=crash.started_ms).debug('crash_not_recorded')


def _ignore_end() -> None:
    """Do nothing: nobody waits for the end of the stream."""


def _ignore_limit(message: RequestLimit) -> None:
    logger.bind(target=message.target).debug('limit_not_recorded')


def _make_reserve(number: int, request: ReservationRequest) -> Reserve:
    fields = {
        'request_id': number,
        'label': request.label,
        'adapter': request.adapter,
        'version': request.version,
        'priority': request.priority,
        'left_ms': max(1, round(request.remaining_seconds * MS_PER_SECOND)),
        'aim_ms': max(0, round(request.start_within_seconds * MS_PER_SECOND)),
        'tokens': request.prompt_tokens,
        'redirectable': request.redirectable,
    }
    return CustomerReserve(**fields, customer=request.customer) if request.customer else Reserve(**fields)
