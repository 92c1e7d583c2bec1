"""The way back of one answer: chunks under the entry's credit, then an explicit end or error."""

import asyncio
import contextlib

from tamarackfield.core.errors import RequestError
from tamarackfield.wire import PeerStream, StreamClosedError
from tamarackfield.wire.runs import Chunk, End, Fail, Head

#: Largest chunk that is sent in one frame, in bytes.
MAX_CHUNK_BYTES = 65_536


class Reply:
    """Sends one answer to the entry that asked.

    Parameters
    ----------
    stream : PeerStream
        Stream to the entry.
    request_id : int
        Number of the request on that stream.
    credit : int
        Bytes that the entry can take at first.
    """

    def __init__(self, stream: PeerStream, request_id: int, credit: int) -> None:
        """Start with nothing sent."""
        self.stream = stream
        self.request_id = request_id
        self.credit = credit
        self.credit_added = asyncio.Event()
        self.sequence = 0

    def add_credit(self, size: int) -> None:
        """Take in credit from the entry."""
        self.credit += size
        self.credit_added.set()

    def send_head(self, status: int, headers: list[list[str]]) -> None:
        """Send the start of the answer."""
        self.stream.send(Head(self.request_id, status, headers))

    async def send_chunk(self, body: bytes) -> None:
        """Send part of the answer, waiting for credit where it is used up."""
        for start in range(0, len(body), MAX_CHUNK_BYTES):
            part = body[start : start + MAX_CHUNK_BYTES]
            while self.credit <= 0:
                self.credit_added.clear()
                await self.credit_added.wait()
            self.credit -= len(part)
            self.stream.send(Chunk(self.request_id, self.sequence, part))
            self.sequence += 1

    def send_end(self, stalled_seconds: float = 0, queued_seconds: float = 0) -> None:
        """Mark the answer as whole.

        Parameters
        ----------
        stalled, queued : float
            Seconds that the request waited for its adapter, and in the queue in all.
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
        """End with an error; nothing happens if the entry is gone."""
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
