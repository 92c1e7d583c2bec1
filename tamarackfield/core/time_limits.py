"""Limits on waiting for another side, which count only time in which this process was able to read.

A process can stand still: frozen, without a processor, or at work on one thing. Its timers are then due in the same
pass of the event loop as the sockets on which bytes have arrived meanwhile, or in a pass that has not polled them at
all, and `asyncio.timeout` cancels a wait whose result is there. The limits of this module differ in two ways:

- They are instants on a `ListeningClock`, which does not count the time in which the event loop stood still. The other
  side is given the whole time, also if it could not be heard for a part of it.
- A limit that is reached ends the wait only after `POLL_PASSES` further passes of the event loop. The first of them
  polls the sockets, and the waiting task runs as soon as what it waits for has been read.

Ruled out: one more read after a pause at each place that waits, because no pause is long enough for a process that is
slow; a look into the buffer of the reader, which is empty until the sockets have been polled; the clock alone, because
it does not notice a short stall; the further passes alone, because a request may still have been in the buffers of
this process while it stood still; a selector that records each poll, because each program would have to choose its
event loop.

Deadlines that were promised, such as that of a request, keep to the time of the event loop: `deadline_at`.
"""

import asyncio
import contextlib
import math
from types import TracebackType
from typing import Any

#: Interval in seconds at which the event loop is checked for having stood still; up to this time of each stall is not
#: noticed.
CHECK_INTERVAL_SECONDS = 0.25
#: Delay of a check in seconds from which the event loop stood still, rather than having been busy for a moment.
MIN_STALL_SECONDS = 0.05
#: Passes of the event loop after a limit: one polls the sockets and runs their callbacks, the others run the tasks that
#: pass on what was read, one after another.
POLL_PASSES = 8
#: Least number of such passes, in which the bytes that are there reach the task that waits for a whole answer.
MIN_POLL_PASSES = 5
#: Seconds after a promised limit from which no more passes than the least number are waited for.
MAX_PROMISED_POLL_SECONDS = 0.1


class ListeningClock:
    """Clock of one event loop that stops while the loop stands still.

    A timer of the loop checks for delays; a read of the clock checks as well, so that a delay counts before its timer
    has run.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop that runs.

    Attributes
    ----------
    stalled_seconds : float
        Total time in which the loop stood still, as far as it was noticed.
    check_due_at : float
        Time of the event loop at which the next check is due.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Check for delays from now on."""
        self.loop = loop
        self.stalled_seconds = 0.0
        self._schedule_check()

    def now(self) -> float:
        """Return seconds of the event loop without those in which it stood still."""
        now = self.loop.time()
        delay = now - self.check_due_at
        if delay >= MIN_STALL_SECONDS:
            self.stalled_seconds += delay
            self.check_due_at = now
        return now - self.stalled_seconds

    def _check(self) -> None:
        self.now()
        self._schedule_check()

    def _schedule_check(self) -> None:
        self.check_due_at = self.loop.time() + CHECK_INTERVAL_SECONDS
        self.loop.call_at(self.check_due_at, self._check)


class _RunningClock:
    """Clock of the event loop that ran last; a process runs one event loop at a time."""

    clock: ListeningClock | None = None


def find_clock() -> ListeningClock:
    """Return the clock of the running event loop, started at the first call."""
    loop = asyncio.get_running_loop()
    clock = _RunningClock.clock
    if clock is None or clock.loop is not loop:
        clock = ListeningClock(loop)
        _RunningClock.clock = clock
    return clock


def listening_seconds() -> float:
    """Return the time of the `ListeningClock` of the running event loop, in seconds."""
    return find_clock().now()


class TimeLimit:
    """Context manager like `asyncio.timeout` with the limits of this module.

    Parameters
    ----------
    ends_at : float or None
        Time at which the limit is reached, None for no limit.
    is_promised : bool
        Whether that is a time of the event loop, rather than of its `ListeningClock`.
    """

    __slots__ = (
        'clock',
        'ends_at',
        'expired',
        'handle',
        'is_promised',
        'passes_left',
        'polls_end_at',
        'requests',
        'stalled',
        'task',
    )

    def __init__(self, ends_at: float | None, *, is_promised: bool = False) -> None:
        """Create a limit that has not started."""
        self.ends_at = ends_at
        self.is_promised = is_promised
        self.clock = find_clock()
        self.stalled = self.clock.stalled_seconds
        self.handle: asyncio.Handle | None = None
        self.passes_left = POLL_PASSES
        self.polls_end_at = math.inf
        self.expired = False

    async def __aenter__(self) -> 'TimeLimit':
        """Start the limit."""
        self.task = asyncio.current_task()
        self.requests = self.task.cancelling()
        if self.ends_at is not None:
            self.reschedule(self.ends_at)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Stop the limit; raise `TimeoutError` if it has ended the block."""
        if self.handle is not None:
            self.handle.cancel()
        # The task may have been cancelled by others as well.
        if self.expired and self.task.uncancel() <= self.requests and kind is asyncio.CancelledError:
            raise TimeoutError from error

    def reschedule(self, ends_at: float) -> None:
        """Change the time at which the limit is reached, unless it has ended the block."""
        if self.expired:
            return
        if self.handle is not None:
            self.handle.cancel()
        self.ends_at = ends_at
        self.passes_left = POLL_PASSES
        self.handle = self.clock.loop.call_at(self._due_at(), self._check)

    def expire(self) -> None:
        """End the block now; for a decision of this process, which no result that arrives can change."""
        if not self.expired:
            if self.handle is not None:
                self.handle.cancel()
            self._end_block()

    def stalled_seconds(self) -> float:
        """Return for how long the event loop has stood still since the limit was created."""
        self.clock.now()
        return self.clock.stalled_seconds - self.stalled

    def _due_at(self) -> float:
        """Return the time of the event loop at which the limit is reached unless the loop stands still."""
        return self.ends_at if self.is_promised else self.ends_at + self.clock.stalled_seconds

    def _check(self) -> None:
        """Wait on if the event loop stood still; end the block once the sockets were polled after the limit."""
        loop = self.clock.loop
        self.clock.now()
        if self.passes_left == POLL_PASSES and self._due_at() > loop.time():
            self.handle = loop.call_at(self._due_at(), self._check)
        elif self._may_poll():
            self.passes_left -= 1
            self.handle = loop.call_soon(self._check)
        else:
            self._end_block()

    def _may_poll(self) -> bool:
        """Return whether a further pass is waited for; passes may be slow, and a promised limit is not to be late."""
        now = self.clock.loop.time()
        if self.passes_left == POLL_PASSES:
            self.polls_end_at = now + MAX_PROMISED_POLL_SECONDS if self.is_promised else math.inf
        if self.passes_left > POLL_PASSES - MIN_POLL_PASSES:
            return True
        return self.passes_left > 0 and now < self.polls_end_at

    def _end_block(self) -> None:
        self.handle = None
        self.expired = True
        self.task.cancel()


def time_limit(seconds: float | None) -> TimeLimit:
    """Return a context manager that limits the time of a block; None for no limit."""
    return TimeLimit(None if seconds is None else listening_seconds() + seconds)


def time_limit_at(ends_at: float | None) -> TimeLimit:
    """Return a context manager that limits a block to a time of `listening_seconds`; None for no limit."""
    return TimeLimit(ends_at)


def deadline_at(ends_at: float) -> TimeLimit:
    """Return a context manager that ends a block at a time of the event loop, unless it can complete without waiting.

    For a deadline that was promised: a result that is there when the deadline is reached is still delivered.
    """
    return TimeLimit(ends_at, is_promised=True)


async def wait_within(future: asyncio.Future[Any], seconds: float | None) -> bool:
    """Wait for a future, which is not cancelled; return whether it was done within the time limit."""
    try:
        async with time_limit(seconds):
            await asyncio.wait((future,))
    except TimeoutError:
        return future.done()
    return True


async def listen_for(seconds: float) -> None:
    """Pause for a time in which this process can read what arrives."""
    with contextlib.suppress(TimeoutError):
        async with time_limit(seconds):
            await asyncio.get_running_loop().create_future()


async def poll_sockets() -> None:
    """Let what has arrived be read, and the tasks run that wait for it."""
    for _ in range(POLL_PASSES):
        await asyncio.sleep(0)
