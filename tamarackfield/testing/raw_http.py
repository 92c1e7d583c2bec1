"""Raw HTTP exchanges, for malformed requests that client libraries do not send."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from tamarackfield.testing.processes import HOST, START_TIMEOUT_SECONDS

_END_OF_HEAD = b'\r\n\r\n'


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """Bytes received until the server closed the connection.

    Parameters
    ----------
    raw : bytes
        Zero or more HTTP answers.
    """

    raw: bytes

    @property
    def status(self) -> int:
        """HTTP status of the first answer, zero if there is none."""
        return int(self.raw.split(b' ', 2)[1]) if self.raw else 0

    @property
    def error(self) -> dict[str, Any]:
        """Error member of the last answer, empty if there is none."""
        body = self.raw.rpartition(_END_OF_HEAD)[2]
        return json.loads(body).get('error', {}) if body.startswith(b'{') else {}

    @property
    def head(self) -> bytes:
        """Head of the first answer in lower case."""
        return self.raw.partition(_END_OF_HEAD)[0].lower()


async def exchange_raw(port: int, *parts: bytes) -> RawAnswer:
    """Send bytes and read until the server closes the connection.

    Parameters
    ----------
    port : int
        Port of a server on this machine.
    *parts : bytes
        Byte strings to send, in order.

    Returns
    -------
    RawAnswer
        Received bytes.

    Raises
    ------
    TimeoutError
        If the server does not close the connection within `START_TIMEOUT_SECONDS`.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            return RawAnswer(await reader.read(-1))
    finally:
        writer.transport.abort()
