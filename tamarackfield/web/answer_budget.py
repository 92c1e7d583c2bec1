"""Memory that answers take on their way from targets to callers: one owner for all exchanges of a process.

The bytes of an answer count from their arrival until they were written to the caller. While there is no room, the
answer waits and its target is not read. Before targets cut off what is not read, the callers that read least are
closed. An answer that is being read from its target is never ended for want of room.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import h11
from loguru import logger

from tamarackfield.core.time_limits import listening_seconds
from tamarackfield.web.answer_room import HeldAnswer, Room, Timer
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection

#: Limit of a process whose memory is not known: 48 of the largest answers and 500 streams whose callers do not read
#: at all, more than any crowd of callers that read.
DEFAULT_ANSWER_BYTES = 268_435_456
#: Largest answer to a caller. One answer at a time may use this room, so that it becomes whole.
SPARE_BYTES = 4_194_304
#: Share of the limit for the first bytes of each answer and for what callers of streams have not read: small answers
#: do not wait for large ones.
SMALL_SHARE = 0.25
#: First bytes of an answer, for which it needs no room beside large ones; most answers have fewer.
SMALL_BYTES = 65_536
#: Bytes of a body that are kept as one part, so that small pieces take no more memory than their bytes.
PART_BYTES = 65_536
#: Bytes that are written to a caller at once: a caller that reads 32 KiB a second makes progress within
#: `STALL_SECONDS`.
PIECE_BYTES = 16_384
#: Time that an answer waits for room before callers are closed: targets cut off an answer that is not read for some
#: seconds.
MAX_WAIT_SECONDS = 1.0
#: Time without progress from which a caller may be closed, more than a round trip to any caller.
STALL_SECONDS = 0.5
#: Interval of the checks while an answer waits.
CHECK_SECONDS = 0.1


class AnswerBudget:
    """Budget for answers on their way to callers.

    Parameters
    ----------
    limit_bytes : int
        Limit of the bytes that are held.

    Attributes
    ----------
    small, large : Room
        Room for the first bytes of each answer and for streams, and for the remainder of large answers.
    count_closed : callable
        Called with the cause when a caller is closed.
    """

    def __init__(self, limit_bytes: int = DEFAULT_ANSWER_BYTES) -> None:
        """Create a budget of which nothing is reserved."""
        self.small = Room(0, self.check_later)
        self.large = Room(SPARE_BYTES, self.check_later)
        self.set_limit(limit_bytes)
        self.timer = Timer(self.check)
        self.count_closed: Callable[[str], None] = _ignore_cause

    @property
    def held_bytes(self) -> int:
        """Bytes that are held."""
        return self.small.reserved_bytes + self.large.reserved_bytes

    def count_waiting(self) -> int:
        """Return how many answers wait for room."""
        return len(self.small.waiting) + len(self.large.waiting)

    def set_limit(self, limit_bytes: int) -> None:
        """Divide the limit among the two rooms."""
        self.small.limit_bytes = int(limit_bytes * SMALL_SHARE)
        self.large.limit_bytes = limit_bytes - self.small.limit_bytes

    async def reserve(self, answer: HeldAnswer, size: int) -> None:
        """Reserve bytes that have arrived from a target; wait while there is no room."""
        small_bytes = min(size, max(0, SMALL_BYTES - self.small.sizes.get(answer, 0)))
        if small_bytes and not self.small.take(answer, small_bytes):
            await self.small.wait(answer, small_bytes)
        if size > small_bytes and not self.large.take(answer, size - small_bytes):
            await self.large.wait(answer, size - small_bytes)

    def hold(self, answer: HeldAnswer, size: int) -> None:
        """Count bytes that cannot wait, those of a stream that its caller does not read."""
        self.small.hold(answer, size)

    def record_written(self, answer: HeldAnswer, size: int) -> None:
        """Release bytes that were written to the caller, which shows that it reads."""
        answer.progress_at = listening_seconds()
        size -= self.large.release(answer, size)
        self.small.release(answer, size)

    def release(self, answer: HeldAnswer) -> None:
        """Release all that is held for an answer."""
        answer.cut = None
        for room in (self.small, self.large):
            room.end_growth(answer)
            room.release(answer, room.sizes.get(answer, 0))

    def check_later(self) -> None:
        """Check after a moment whether answers wait for too long."""
        self.timer.start(CHECK_SECONDS)

    def check(self) -> None:
        """Close callers that hold most for longest while an answer has waited for too long, or too much is held."""
        now = listening_seconds()
        for room in (self.small, self.large):
            while room.is_short(now - MAX_WAIT_SECONDS):
                slowest = room.find_slowest(now, now - STALL_SECONDS)
                if slowest is None:
                    break
                self.close_reader(slowest, 'no_room')
        if self.small.is_crowded() or self.large.is_crowded():
            self.check_later()

    def close_reader(self, answer: HeldAnswer, cause: str) -> None:
        """Close the caller of an answer, which is cut short."""
        cut = answer.cut
        logger.bind(
            request_id=answer.request_id,
            peer=answer.peer,
            cause=cause,
            answer_bytes=self.small.sizes.get(answer, 0) + self.large.sizes.get(answer, 0),
            stalled_seconds=round(listening_seconds() - answer.progress_at, 3),
            held_bytes=self.held_bytes,
            waiting=self.count_waiting(),
        ).warning('slow_reader_closed')
        self.count_closed(cause)
        self.release(answer)
        if cut is not None:
            cut(f'caller reads too slowly: {cause}')


@dataclass(slots=True)
class HeldBody:
    """Complete body of an answer, in parts that are given up as they are written.

    Parameters
    ----------
    budget : AnswerBudget
        Budget in which it is held.
    held : HeldAnswer
        What is held for it.
    parts : list of bytes
        Body, as far as it was not taken.
    size : int
        Size of the whole body.
    """

    budget: AnswerBudget
    held: HeldAnswer
    parts: list[bytes]
    size: int = 0

    def __len__(self) -> int:
        """Return the size of the whole body."""
        return self.size

    def begin_sending(self, peer: str, cut: Callable[[str], None]) -> None:
        """Record that the answer is sent from now on, and how its caller is closed."""
        self.held.peer = peer
        self.held.progress_at = listening_seconds()
        self.held.cut = cut

    def take_pieces(self) -> Iterator[bytes]:
        """Yield the body in pieces; each counts as written once the next is taken."""
        self.parts.reverse()
        while self.parts:
            part = self.parts.pop()
            for start in range(0, len(part), PIECE_BYTES):
                piece = part[start : start + PIECE_BYTES]
                yield piece
                self.budget.record_written(self.held, len(piece))


async def read_bounded_body(
    connection: TargetConnection, budget: AnswerBudget, held: HeldAnswer, max_bytes: int
) -> HeldBody:
    """Read the body of an answer whose head was read.

    Parameters
    ----------
    connection : TargetConnection
        Connection of the exchange.
    budget : AnswerBudget
        Budget that holds the body; while it has no room, the connection is not read.
    held : HeldAnswer
        What is held for the answer; its owner releases it at the end.
    max_bytes : int
        Limit of the size of the body.

    Raises
    ------
    ClientError
        If the body is truncated or larger than the limit.
    """
    body = HeldBody(budget, held, [])
    part = bytearray()
    try:
        while True:
            event = await connection.receive()
            if isinstance(event, h11.EndOfMessage):
                body.parts.append(bytes(part))
                budget.large.end_growth(held)
                return body
            body.size += len(event.data)
            if body.size > max_bytes:
                raise ClientError('answer is too large', 'read_body', connection.peer, sent=True)
            await budget.reserve(held, len(event.data))
            part += event.data
            if len(part) >= PART_BYTES:
                body.parts.append(bytes(part))
                part.clear()
    except BaseException:
        # The frames of an error, and what they hold, are collected late.
        body.parts.clear()
        budget.release(held)
        raise


def _ignore_cause(cause: str) -> None:
    """Count nothing; the cause has been logged."""
