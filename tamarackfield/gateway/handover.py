"""Delivery of one run's answer to the caller, and the search for a successor while the run is silent.

The run is read until its successor goes on. The successor waits for the end of the run before it answers, so that
the bytes of two runs are never mixed.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

from tamarackfield.core import BOOT_CLOCK, cancel_and_wait
from tamarackfield.policy.handover import Succession
from tamarackfield.web import HANDLER_ERRORS, Responder


class Delivery:
    """Right of one run to answer the caller, until its successor takes over.

    Parameters
    ----------
    responder : Responder
        Response channel to the caller.
    predecessor : Delivery or None
        Delivery of the silent run that this one may succeed; None for a run without one.
    search : callable
        Attempts the call at other targets as successors of this delivery; returns whether one answered it.

    Attributes
    ----------
    on_replaced : callable
        Called when the run is to end in favour of its successor.
    is_hedged : bool
        Whether the successor that is looked for is a hedge, sent although the run is not silent for long.
    has_sent_hedge : bool
        Whether a hedge was sent that has not ended.
    is_interrupted : bool
        Whether it was to end before its successor had begun to answer.
    """

    def __init__(
        self,
        responder: Responder,
        predecessor: 'Delivery | None',
        search: Callable[['Delivery'], Awaitable[bool]],
    ) -> None:
        """Create a delivery without a successor."""
        self.responder = responder
        self.predecessor = predecessor
        self.search = search
        self.succession = Succession()
        self.ended = asyncio.Event()
        self.task: asyncio.Task[bool] | None = None
        self.overlap_timer: asyncio.TimerHandle | None = None
        self.on_replaced: Callable[[], None] = _ignore
        self.is_interrupted = False
        self.is_hedged = False
        self.has_sent_hedge = False

    async def __aenter__(self) -> Self:
        """Begin the delivery."""
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End the search for a successor."""
        await self.stop_search()

    def is_searching(self) -> bool:
        """Return whether a successor is looked for, or waits for its turn."""
        return self.task is not None and not self.task.done()

    def is_replaced(self) -> bool:
        """Return whether the run is to end in favour of its successor."""
        return self.succession.must_end_first(BOOT_CLOCK.monotonic())

    def was_ended_in_vain(self) -> bool:
        """Return whether the run was ended in favour of a successor that did not go on."""
        return self.is_interrupted and not self.succession.went_on

    def has_running_predecessor(self) -> bool:
        """Return whether the run before goes on."""
        return self.predecessor is not None and not self.predecessor.succession.first_ended

    def is_outpaced(self) -> bool:
        """Return whether a hedge answers in place of the run."""
        return self.is_hedged and self.succession.went_on

    def is_hedge(self) -> bool:
        """Return whether the run is a hedge of the one before."""
        return self.predecessor is not None and self.predecessor.is_hedged

    def start_search(self, is_hedge: bool = False) -> None:
        """Look for a successor, or a hedge, unless one is looked for already."""
        if not self.is_searching():
            self.is_hedged = is_hedge
            self.task = asyncio.create_task(self._search())

    async def stop_search(self) -> None:
        """End the successor if there is one, because this run goes on or the caller is answered."""
        if self.task is None:
            return
        await cancel_and_wait((self.task,), HANDLER_ERRORS)
        self.task = None
        self.withdraw()
        self.succession = Succession(first_ended=self.succession.first_ended)
        self.is_interrupted = False

    async def hand_over(self) -> bool:
        """End this run; return whether its successor, if there is one, answered the caller.

        Raises
        ------
        RequestError, CallerDisconnectedError
            If the successor ends the call.
        """
        if self.predecessor is not None:
            self.predecessor.withdraw()
        self.succession.record_first_ended()
        self.ended.set()
        if self.task is None:
            return False
        await asyncio.wait((self.task,))
        return self.task.result()

    def withdraw(self) -> None:
        """Record that the successor does not go on."""
        self.succession.record_refused()
        if self.overlap_timer is not None:
            self.overlap_timer.cancel()
            self.overlap_timer = None

    def record_sent(self, resumes: bool) -> None:
        """Record that the successor is sent; end this run once both have run for as long as is allowed."""
        self.succession.record_sent(BOOT_CLOCK.monotonic(), resumes)
        self._watch_overlap()

    async def claim(self) -> None:
        """Wait until the runs before have ended; the caller may be answered then."""
        earlier = self.predecessor
        while earlier is not None:
            earlier.succession.record_went_on()
            if not earlier.succession.may_answer():
                earlier.on_replaced()
                await earlier.ended.wait()
            earlier = earlier.predecessor

    async def _search(self) -> bool:
        return await self.search(self)

    def _watch_overlap(self) -> None:
        """Interrupt this run once its overlap with the successor has lasted for as long as is allowed."""
        seconds = self.succession.overlap_ends_at - BOOT_CLOCK.monotonic()
        if seconds <= 0:
            self.is_interrupted = True
            self.on_replaced()
        elif seconds < math.inf:
            self.overlap_timer = asyncio.get_running_loop().call_later(seconds, self._watch_overlap)


def _ignore() -> None:
    """Do nothing."""
