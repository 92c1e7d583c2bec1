"""Room for the bytes of answers: who holds how much of it, and who waits for it in turn."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from tamarackfield.core.time_limits import listening_seconds


@dataclass(slots=True, eq=False)
class HeldAnswer:
    """Answer of which bytes are held.

    Parameters
    ----------
    request_id : str
        Id of its request, for logs.
    peer : str
        Address of the caller, empty before the answer is sent.
    progress_at : float
        Time of `listening_seconds` at which the caller was last seen to read.
    cut : callable or None
        Closes the connection of the caller for a reason; None while the answer is not being sent.
    """

    request_id: str
    peer: str = ''
    progress_at: float = 0.0
    cut: Callable[[str], None] | None = None


@dataclass(slots=True, eq=False)
class Waiter:
    """Answer that waits for room since a time of `listening_seconds`."""

    answer: HeldAnswer
    size: int
    since: float
    admitted: asyncio.Future[None]


class Timer:
    """Timer that runs once at a time.

    Parameters
    ----------
    callback : callable
        Called when the time is over.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        """Create a timer that does not run."""
        self.callback = callback
        self.handle: asyncio.TimerHandle | None = None

    def start(self, seconds: float) -> None:
        """Start the timer unless it runs."""
        if self.handle is None:
            self.handle = asyncio.get_running_loop().call_later(seconds, self._run)

    def _run(self) -> None:
        self.handle = None
        self.callback()


class Room:
    """Room of a fixed size, given to answers in the order in which they ask.

    Answers ask for room as they arrive, so several could each hold a part and wait for the others. One of those that
    wait is therefore favoured until it is whole: it alone may use the spare room.

    Parameters
    ----------
    spare_bytes : int
        Part of the room that only the favoured answer may use; the size of the largest answer.
    on_wait : callable
        Called when an answer has to wait, or more than the limit is held.

    Attributes
    ----------
    limit_bytes : int
        Size of the room.
    sizes : dict
        Bytes that are held, by answer.
    reserved_bytes : int
        Sum of these.
    waiting : deque of Waiter
        Answers that wait, the first one at the front.
    favoured : HeldAnswer or None
        Answer that may use the spare room.
    """

    def __init__(self, spare_bytes: int, on_wait: Callable[[], None]) -> None:
        """Create a room without a size, in which nothing is held."""
        self.limit_bytes = 0
        self.spare_bytes = spare_bytes
        self.on_wait = on_wait
        self.sizes: dict[HeldAnswer, int] = {}
        self.reserved_bytes = 0
        self.waiting: deque[Waiter] = deque()
        self.favoured: HeldAnswer | None = None

    def take(self, answer: HeldAnswer, size: int) -> bool:
        """Reserve bytes if there is room and no other answer waits; return whether they were."""
        if not self._has_room(answer, size) or (self.waiting and answer is not self.favoured):
            return False
        self._add(answer, size)
        return True

    def hold(self, answer: HeldAnswer, size: int) -> None:
        """Count bytes that are held whether there is room or not."""
        self._add(answer, size)
        if self.reserved_bytes > self.limit_bytes:
            self.on_wait()

    async def wait(self, answer: HeldAnswer, size: int) -> None:
        """Reserve bytes once there is room."""
        waiter = Waiter(answer, size, listening_seconds(), asyncio.get_running_loop().create_future())
        if answer is self.favoured:
            self.waiting.appendleft(waiter)
        else:
            self.waiting.append(waiter)
        self._admit()
        self.on_wait()
        try:
            await waiter.admitted
        except asyncio.CancelledError:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
                self._admit()
            raise

    def release(self, answer: HeldAnswer, size: int) -> int:
        """Release bytes as far as they are held; return how many were released."""
        held_bytes = self.sizes.pop(answer, 0)
        released_bytes = min(size, held_bytes)
        if held_bytes > released_bytes:
            self.sizes[answer] = held_bytes - released_bytes
        self.reserved_bytes -= released_bytes
        self._admit()
        return released_bytes

    def end_growth(self, answer: HeldAnswer) -> None:
        """Record that an answer needs no more room."""
        if self.favoured is answer:
            self.favoured = None
            self._admit()

    def is_crowded(self) -> bool:
        """Return whether answers wait for room, or more is held than the limit."""
        return bool(self.waiting) or self.reserved_bytes > self.limit_bytes

    def is_short(self, since: float) -> bool:
        """Return whether an answer has waited since a time, or more is held than the limit."""
        if self.reserved_bytes > self.limit_bytes:
            return True
        return any(waiter.since <= since for waiter in self.waiting)

    def find_slowest(self, now: float, stalled_since: float) -> HeldAnswer | None:
        """Return the answer that holds most for longest, of those whose callers have not read since a time."""
        stalled = [answer for answer in self.sizes if answer.cut is not None and answer.progress_at <= stalled_since]
        return max(stalled, key=lambda answer: self.sizes[answer] * (now - answer.progress_at), default=None)

    def _has_room(self, answer: HeldAnswer, size: int) -> bool:
        spare_bytes = 0 if answer is self.favoured else self.spare_bytes
        return self.reserved_bytes + size <= self.limit_bytes - spare_bytes

    def _add(self, answer: HeldAnswer, size: int) -> None:
        self.sizes[answer] = self.sizes.get(answer, 0) + size
        self.reserved_bytes += size

    def _admit(self) -> None:
        """Give room to those that wait, in turn."""
        while self.waiting:
            first = self.waiting[0]
            if self.favoured is None and self.spare_bytes:
                self.favoured = first.answer
            if not self._has_room(first.answer, first.size):
                return
            self.waiting.popleft()
            self._add(first.answer, first.size)
            if not first.admitted.done():
                first.admitted.set_result(None)
