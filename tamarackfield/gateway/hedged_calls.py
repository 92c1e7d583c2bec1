"""Calls that are repeated while they are unanswered; the first answer wins.

A connection may fall silent for good while new ones work, so a call without an answer is not waited for: another one
goes out on a new connection. It is not given up either, since a slow server may answer it yet.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, Clock, TamarackfieldError, cancel_and_wait
from tamarackfield.core.time_limits import listening_seconds, time_limit
from tamarackfield.policy.store_reads import SHORT_SILENCE_SECONDS

#: Limit of the calls that are unanswered at the same time. The first, which a slow server answers first, is kept, and
#: the oldest of the others is given up.
MAX_CALLS = 8

Answer = TypeVar('Answer')
#: Called each time a part of an answer arrives.
OnProgress = Callable[[], None]


@dataclass(frozen=True, slots=True)
class HedgedCall(Generic[Answer]):
    """Call that can be started several times.

    Parameters
    ----------
    start : callable
        Starts the call; its argument is to be called with each part of the answer that arrives.
    silence_seconds : float
        Time without any part of an answer after which the call is repeated.
    held_seconds : float
        Time for which the server may hold the answer back.
    """

    start: Callable[[OnProgress], Awaitable[Answer]]
    silence_seconds: float
    held_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class DatedAnswer(Generic[Answer]):
    """Answer to one of several calls.

    Parameters
    ----------
    content : object
        What the call returned.
    sent_at : float
        Time before that very call was sent, in monotonic seconds.
    round_trip_seconds : float
        Time that it took, without that for which the server may have held the answer back.
    """

    content: Answer
    sent_at: float
    round_trip_seconds: float


class RunningCall:
    """One call under way.

    Parameters
    ----------
    call : HedgedCall
        Call to start.
    clock : Clock
        Clock that includes the time for which the machine was suspended.

    Attributes
    ----------
    sent_at : float
        Monotonic seconds before it was sent.
    silent_at : float
        Time of `listening_seconds` from which the call counts as silent.
    """

    def __init__(self, call: HedgedCall[Any], clock: Clock) -> None:
        """Start the call."""
        self.call = call
        self.clock = clock
        self.sent_at = clock.monotonic()
        self.silent_at = listening_seconds() + call.silence_seconds
        self.task = asyncio.ensure_future(call.start(self.record_progress))

    def record_progress(self) -> None:
        """Record that a part of the answer has arrived."""
        self.silent_at = max(self.silent_at, listening_seconds() + SHORT_SILENCE_SECONDS)

    def date_answer(self) -> DatedAnswer[Any]:
        """Return the answer, dated by this call."""
        seconds = self.clock.monotonic() - self.sent_at
        return DatedAnswer(self.task.result(), self.sent_at, max(0.0, seconds - self.call.held_seconds))


async def first_answer(
    call: HedgedCall[Answer],
    repeated_call: HedgedCall[Answer],
    on_silence: Callable[[], None],
    clock: Clock = BOOT_CLOCK,
) -> DatedAnswer[Answer]:
    """Return the first answer to a call, dated by the call that was answered.

    Parameters
    ----------
    call : HedgedCall
        Call to start with.
    repeated_call : HedgedCall
        Call that is started, again and again, while the latest one is silent.
    on_silence : callable
        Called before each repetition.
    clock : Clock
        Clock of the dates.

    Raises
    ------
    TamarackfieldError
        If the latest call fails.
    """
    running = [RunningCall(call, clock)]
    try:
        while True:
            answered = await _wait_for_answer(running)
            if answered is not None:
                return answered.date_answer()
            latest = running[-1]
            if latest.silent_at <= listening_seconds():
                on_silence()
                running.append(RunningCall(repeated_call, clock))
                if len(running) > MAX_CALLS:
                    await cancel_and_wait((running.pop(1).task,))
    finally:
        await cancel_and_wait([unanswered.task for unanswered in running])


async def _wait_for_answer(running: list[RunningCall]) -> RunningCall | None:
    """Wait until a call is answered, the latest one fails or is silent; return the one that decides, if any."""
    latest = running[-1]
    with contextlib.suppress(TimeoutError):
        async with time_limit(latest.silent_at - listening_seconds()):
            await asyncio.wait([unanswered.task for unanswered in running], return_when=asyncio.FIRST_COMPLETED)
    ended_calls = [unanswered for unanswered in running if unanswered.task.done()]
    for ended in ended_calls:
        error = ended.task.exception()
        if error is None or ended is latest or not isinstance(error, TamarackfieldError):
            return ended
        logger.bind(step=error.step, error=error.message).debug('earlier_call_failed')
        running.remove(ended)
    return None
