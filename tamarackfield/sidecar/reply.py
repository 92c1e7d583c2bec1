"""Sends one answer to the entry: chunks within the credit of the entry, then an explicit end or error."""

import asyncio
import contextlib

from tamarackfield.core.errors import RequestError
from tamarackfield.wire import PeerStream, StreamClosedError
from tamarackfield.wire.request_relay import Chunk, End, Fail, Head

#: Largest chunk in one frame.
MAX_CHUNK_BYTES = 65_536


class Reply:
    """Sends one answer to the entry that submitted the request.

    Parameters
    ----------
    stream : PeerStream
        Stream to the entry.
    request_id : int
        ID of the request on that stream.
    credit : int
        Initial flow-control credit of the entry, in bytes.
    """

    def __init__(self, stream: PeerStream, request_id: int, credit: int) -> None:
        """Create a reply; nothing is sent yet."""
        self.stream = stream
        self.request_id = request_id
        self.credit = credit
        self.credit_added = asyncio.Event()
        self.sequence = 0

    def add_credit(self, size: int) -> None:
        """Add credit granted by the entry, in bytes."""
        self.credit += size
        self.credit_added.set()

    def send_head(self, status: int, headers: list[list[str]]) -> None:
        """Send the status and the headers of the answer."""
        self.stream.send(Head(self.request_id, status, headers))

    async def send_chunk(self, body: bytes) -> None:
        """Send a part of the answer, waiting for more credit when none is left."""
        for start in range(0, len(body), MAX_CHUNK_BYTES):
            part = body[start : start + MAX_CHUNK_BYTES]
            while self.credit <= 0:
                self.credit_added.clear()
                await self.credit_added.wait()
            self.credit -= len(part)
            self.stream.send(Chunk(self.request_id, self.sequence, part))
            self.sequence += 1

    def send_end(self, stalled_seconds: float = 0, queued_seconds: float = 0) -> None:
        """Mark the answer as complete.

        Parameters
        ----------
        stalled_seconds, queued_seconds : float
            Seconds that the request waited for its adapter, and total seconds in the queue.
        """
        ms_per_second = 1000
        self.stream.send(
            End(
                self.request_id,
                self.sequence,
                round(stalled_seconds * ms_per_second),
                round(queued_seconds * ms_per_second),
            ),
        )

    def send_error(self, error: RequestError) -> None:
        """End the answer with an error; does nothing if the stream to the entry is closed."""
        with contextlib.suppress(StreamClosedError):
            self.stream.send(
                Fail(
                    self.request_id,
                    error.outcome.value,
                    error.status,
                    error.code,
                    error.message,
                    error.step,
                    error.peer,
                    error.retry_after,
                ),
            )
