"""Memory that the unread bodies of answers may use together."""

from typing import Protocol

import h11

from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection

#: Limit of the bytes of answers that are held at once, over all exchanges of a process: four of the largest, and a
#: tenth of the memory of the smallest instance, with the copies of a body that is passed on.
MAX_HELD_BYTES = 16_777_216

#: Bytes of a body that are kept as one part, so that small pieces take no more memory than their bytes.
PART_BYTES = 65_536


class Holder(Protocol):
    """Connection whose exchange holds a part of an answer."""

    peer: str

    def fail(self, reason: str) -> None:
        """Abort the connection."""


class AnswerBudget:
    """Budget for the bodies that exchanges read as a whole; beyond it, the newest of them ends.

    Attributes
    ----------
    held : dict
        Bytes by connection, that of the newest answer last.
    reserved_bytes : int
        Sum of these.
    """

    def __init__(self) -> None:
        """Create a budget of which nothing is reserved."""
        self.held: dict[Holder, int] = {}
        self.reserved_bytes = 0

    def reserve(self, holder: Holder, size: int) -> None:
        """Reserve bytes for an answer; end newer ones if there is no room.

        Raises
        ------
        ClientError
            If this answer is the newest, and has no room.
        """
        while self.reserved_bytes + size > MAX_HELD_BYTES and self.held:
            newest = next(reversed(self.held))
            if newest is holder:
                break
            newest.fail('too many answers are held')
            self.release(newest)
        if self.reserved_bytes + size > MAX_HELD_BYTES:
            raise ClientError('too many answers are held', 'read_body', holder.peer, sent=True)
        self.held[holder] = self.held.get(holder, 0) + size
        self.reserved_bytes += size

    def release(self, holder: Holder) -> None:
        """Release what is reserved for an answer."""
        self.reserved_bytes -= self.held.pop(holder, 0)


async def read_bounded_body(connection: TargetConnection, budget: AnswerBudget, max_bytes: int) -> bytes:
    """Read the body of an answer whose head was read.

    Parameters
    ----------
    connection : TargetConnection
        Connection of the exchange.
    budget : AnswerBudget
        Budget that holds the body while it is read.
    max_bytes : int
        Limit of the size of the body.

    Raises
    ------
    ClientError
        If the body is truncated, larger than the limit, or has no room in the budget.
    """
    parts: list[bytes] = []
    part = bytearray()
    size = 0
    try:
        while True:
            event = await connection.receive()
            if isinstance(event, h11.EndOfMessage):
                return b''.join((*parts, part))
            size += len(event.data)
            if size > max_bytes:
                raise ClientError('answer is too large', 'read_body', connection.peer, sent=True)
            budget.reserve(connection, len(event.data))
            part += event.data
            if len(part) >= PART_BYTES:
                parts.append(bytes(part))
                part.clear()
    finally:
        # The frames of an error, and what they hold, are collected late.
        parts.clear()
        budget.release(connection)
