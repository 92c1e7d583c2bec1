"""Turns of the event loop that one connection may use before the others run.

A peer chooses the size of the pieces that it sends, and each piece costs about the same time whatever its size. A
connection counts the pieces that it parses. Once they exceed its turn, it waits in a queue from which one connection
goes on in each pass of the event loop, so that the delay of all others does not grow with the number of such peers.
"""

import asyncio
from collections import deque

from loguru import logger

#: Pieces that one connection parses and passes on in a turn, each some tens of microseconds of work: together less than
#: two milliseconds.
MAX_PIECES_PER_TURN = 16
#: Turns in a row that were cut short before the peer is named in the log: more than a sound answer needs that arrived
#: while its reader was busy.
NOTICED_CUTS = 256


class TurnQueue:
    """Connections whose turn was cut short; one of them goes on in each pass of the event loop.

    Attributes
    ----------
    cuts : int
        Number of turns that were cut short.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.is_scheduled = False
        self.cuts = 0

    async def wait(self) -> None:
        """Wait for the next turn."""
        self.cuts += 1
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self.waiting.append(turn)
        if not self.is_scheduled:
            self.is_scheduled = True
            loop.call_soon(self._resume_next)
        await turn

    def _resume_next(self) -> None:
        """Resume one connection; connections that ended meanwhile are passed over."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self.is_scheduled = bool(self.waiting)
        if self.waiting:
            asyncio.get_running_loop().call_soon(self._resume_next)


class _RunningQueue:
    """Queue of the event loop that ran last; a process runs one event loop at a time."""

    queue: TurnQueue | None = None
    loop: asyncio.AbstractEventLoop | None = None


def find_queue() -> TurnQueue:
    """Return the queue of the running event loop."""
    loop = asyncio.get_running_loop()
    if _RunningQueue.queue is None or _RunningQueue.loop is not loop:
        _RunningQueue.queue = TurnQueue()
        _RunningQueue.loop = loop
    return _RunningQueue.queue


def count_cut_turns() -> int:
    """Return how many turns of connections were cut short."""
    return 0 if _RunningQueue.queue is None else _RunningQueue.queue.cuts


class Turn:
    """Turn of one connection.

    Parameters
    ----------
    peer : str
        Address of the peer, for logs.
    """

    __slots__ = ('cuts', 'peer', 'pieces')

    def __init__(self, peer: str) -> None:
        """Begin the first turn."""
        self.peer = peer
        self.pieces = 0
        self.cuts = 0

    def begin(self) -> None:
        """Begin a turn: the connection has waited for input."""
        self.pieces = 0
        self.cuts = 0

    async def count_piece(self) -> None:
        """Count a piece of input; let the others run if the turn is used up."""
        self.pieces += 1
        if self.pieces <= MAX_PIECES_PER_TURN:
            return
        self.pieces = 1
        self.cuts += 1
        if self.cuts == NOTICED_CUTS:
            logger.bind(peer=self.peer, pieces=NOTICED_CUTS * MAX_PIECES_PER_TURN).warning('peer_sends_without_pause')
        await find_queue().wait()
