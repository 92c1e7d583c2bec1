"""Streams from this entry to the sidecars that manage the adapters of its targets."""

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK, Address, TamarackfieldError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.replica import LEAST_SPREAD
from tamarackfield.policy.prefill import NOTICEABLE_PAUSE_SECONDS
from tamarackfield.wire.grants import Declined, EngineReport, Facts, Granted, Paused, Release, Reserve, Started
from tamarackfield.wire.messages import Draining, Hello, Holdings, Message
from tamarackfield.wire.stream import PeerBusyError, PeerStream, StreamClosedError, connect

#: Shortest and longest pause between two attempts to connect, in seconds.
MIN_RECONNECT = 0.1
MAX_RECONNECT = 1.0
#: Seconds beyond the time that a sidecar was given in which its answer is still awaited.
ANSWER_MARGIN = 0.1

#: Seconds without a byte after which a sidecar counts as silent: its heartbeats come every half second.
SILENT_SECONDS = 0.8
#: Seconds between two looks at whether a sidecar that was asked has gone silent.
SILENCE_CHECK_SECONDS = 0.1

Answer = Granted | Declined


@dataclass(frozen=True, slots=True)
class Wish:
    """A place that a request needs.

    Parameters
    ----------
    label : str
        The caller's id of the request, for logs.
    adapter : str
        ``model/adapter`` or ``model``.
    version : int
        Least version that will do, 0 for any.
    priority : int
        0 is the most urgent.
    left_seconds : float
        Time in which the place is of use.
    aim_seconds : float
        Time in which the run should begin to be in time; not above zero if that has passed.
    tokens : int
        Length of the prompt.
    """

    label: str
    adapter: str
    version: int
    priority: int
    left_seconds: float
    aim_seconds: float
    tokens: int


class ManagerLink:
    """The stream to one sidecar; owned by one task.

    Parameters
    ----------
    address : tuple of str and int
        Where the sidecar listens.
    hello : callable
        Returns what this process says of itself.
    facts : callable
        Returns what the sidecar is told of its target, None if that is not known.
    on_change : callable
        Called when a report or the holdings changed.
    """

    def __init__(
        self,
        address: Address,
        hello: Callable[[], Hello],
        facts: Callable[[], Facts | None],
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
        self.pending: dict[int, asyncio.Future[Answer]] = {}
        self.numbers = itertools.count(1)
        self.told: Facts | None = None
        self.draining = False
        self.unreachable = False

    def is_up(self) -> bool:
        """Tell whether the sidecar answers and can grant requests."""
        return self.report is not None and self.report.ready and not self.draining and not self.is_silent()

    def is_silent(self) -> bool:
        """Tell whether nothing was heard from the sidecar for longer than between two heartbeats."""
        return self.stream is None or SYSTEM_CLOCK.monotonic() - self.stream.last_heard > SILENT_SECONDS

    def is_machine_suspect(self) -> bool:
        """Tell whether the machine of the target does not answer, and not only the process on it."""
        return self.unreachable or (self.stream is not None and self.is_silent())

    async def run(self) -> None:
        """Stay connected for ever."""
        pause = MIN_RECONNECT
        while True:
            try:
                await self._serve()
            except TamarackfieldError as exc:
                self._note_loss(exc)
                pause = pause if self.stream is None else MIN_RECONNECT
            finally:
                self._drop()
            await asyncio.sleep(pause * random.uniform(LEAST_SPREAD, 1))
            pause = min(MAX_RECONNECT, 2 * pause)

    def tell_facts(self) -> None:
        """Send what is known of the target if that changed."""
        facts = self.facts()
        if facts is not None and facts != self.told and self._tell(facts):
            self.told = facts

    async def reserve(self, wish: Wish) -> tuple[int, Answer]:
        """Ask for a place.

        Parameters
        ----------
        wish : Wish
            What is asked for.

        Returns
        -------
        tuple
            Number of the reservation, for `release`, and the answer.

        Raises
        ------
        StreamClosedError
            If the sidecar is lost or does not answer in time; nothing is reserved then.
        """
        number = next(self.numbers)
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.pending[number] = answer
        reply: Answer | None = None
        try:
            async with asyncio.timeout(wish.left_seconds + ANSWER_MARGIN):
                self._send(_make_reserve(number, wish))
                reply = await self._await_answer(answer)
        except TimeoutError:
            raise StreamClosedError('sidecar did not answer', step='reserve', peer=self._name()) from None
        finally:
            self.pending.pop(number, None)
            if reply is None:
                self.release(number)
        return number, reply

    def start(self, number: int) -> None:
        """Tell that the first event arrived."""
        self._tell(Started(number))

    def tell_pause(self, number: int, seconds: float) -> None:
        """Tell that the stream of a request paused."""
        self._tell(Paused(number, round(seconds * MS_PER_SECOND)))

    def release(self, number: int) -> None:
        """Give a place back, or stop waiting for it."""
        self._tell(Release(number))

    def take(self, message: Message) -> None:
        """Take in a message of the sidecar."""
        match message:
            case Granted() | Declined():
                self._answer(message)
            case EngineReport():
                self._take_report(message)
            case Holdings():
                self.holdings = message
                self.on_change()
            case Draining(reason):
                self.draining = True
                logger.bind(sidecar=self._name(), reason=reason).info('sidecar_stopping')
            case _:
                logger.bind(sidecar=self._name(), kind=message.kind).debug('message_passed_over')

    def _note_loss(self, exc: TamarackfieldError) -> None:
        """Tell a process that ended, whose machine refuses connections, from a machine that is gone."""
        refused = isinstance(exc.__cause__, ConnectionError)
        suspect = not refused and (self.stream is None or self.stream.silent)
        if self.stream is not None or suspect != self.unreachable:
            bound = logger.bind(sidecar=self._name(), step=exc.step, error=exc.message, machine_suspect=suspect)
            bound.warning('sidecar_lost')
        self.unreachable = suspect

    async def _serve(self) -> None:
        stream = await connect(*self.address, None)
        beat = None
        try:
            await stream.greet(self.hello())
            self._begin(stream)
            beat = asyncio.create_task(stream.beat())
            while True:
                self.take(await stream.receive())
        finally:
            stream.abort()
            if beat is not None:
                beat.cancel()

    def _begin(self, stream: PeerStream) -> None:
        self.stream = stream
        self.unreachable = False
        logger.bind(sidecar=self._name()).info('sidecar_connected')
        self.tell_facts()

    def _take_report(self, report: EngineReport) -> None:
        before = self.report
        self.report = report
        self.reported_at = BOOT_CLOCK.monotonic()
        if before is None or before.ready != report.ready or before.incarnation != report.incarnation:
            logger.bind(
                sidecar=self._name(), ready=report.ready, started_ms=report.incarnation, running=report.running
            ).info('sidecar_reports')
        self.on_change()

    async def _await_answer(self, answer: asyncio.Future[Answer]) -> Answer:
        """Wait for as long as the sidecar is heard."""
        while not answer.done():
            await asyncio.wait((answer,), timeout=SILENCE_CHECK_SECONDS)
            if not answer.done() and self.is_silent():
                raise StreamClosedError('sidecar is silent', step='reserve', peer=self._name())
        return answer.result()

    def _answer(self, message: Answer) -> None:
        future = self.pending.get(message.request_id)
        if future is not None and not future.done():
            future.set_result(message)
        elif isinstance(message, Granted):
            self.release(message.request_id)

    def _tell(self, message: Message) -> bool:
        """Send what is of no use to a sidecar that is lost; return whether it was sent."""
        if self.stream is None:
            return False
        try:
            self._send(message)
        except (StreamClosedError, PeerBusyError) as exc:
            logger.bind(sidecar=self._name(), step=exc.step, error=exc.message).debug('message_not_sent')
            return False
        return True

    def _send(self, message: Message) -> None:
        if self.stream is None:
            raise StreamClosedError('sidecar is not connected', step='send', peer=self._name())
        self.stream.send(message)

    def _drop(self) -> None:
        self.stream = None
        self.report = None
        self.told = None
        self.draining = False
        for future in self.pending.values():
            if not future.done():
                error = StreamClosedError('sidecar is lost', step='reserve', peer=self._name())
                future.set_exception(error)
        self.on_change()

    def _name(self) -> str:
        return f'{self.address[0]}:{self.address[1]}'


@dataclass(slots=True)
class Place:
    """A place in a target's batch, given back at the end; without a link, none was needed."""

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

    def note_wait(self, seconds: float) -> None:
        """Note for how long the target was silent before a part of the answer."""
        if self.link is not None and seconds > NOTICEABLE_PAUSE_SECONDS:
            self.link.tell_pause(self.number, seconds)


def _make_reserve(number: int, wish: Wish) -> Reserve:
    return Reserve(
        request_id=number,
        label=wish.label,
        adapter=wish.adapter,
        version=wish.version,
        priority=wish.priority,
        left_ms=max(1, round(wish.left_seconds * MS_PER_SECOND)),
        aim_ms=max(0, round(wish.aim_seconds * MS_PER_SECOND)),
        tokens=wish.tokens,
    )
