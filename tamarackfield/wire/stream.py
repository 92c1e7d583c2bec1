"""One stream to a peer: framing, hello, heartbeats and bounded buffering."""

import asyncio
import contextlib
import ssl
from collections import deque
from collections.abc import Awaitable, Callable

from loguru import logger

from tamarackfield.core.clock import SYSTEM_CLOCK
from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.wire.codec import FrameDecoder, encode
from tamarackfield.wire.messages import Heartbeat, Hello, Message

#: Seconds between heartbeats.
HEARTBEAT_INTERVAL = 0.5
#: Seconds of silence after which a stream counts as broken.
SILENCE_TIMEOUT = 2.0
#: Seconds allowed for connecting and for the peer's hello.
CONNECT_TIMEOUT = 2.0
#: Bytes that may wait for a slow peer before sending is refused.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
_READ_BYTES = 65_536


class StreamClosedError(TamarackfieldError):
    """The stream to the peer is closed or broken; nothing more can be sent or received."""


class PeerBusyError(TamarackfieldError):
    """Too much waits to be sent to the peer; the message was not sent."""


class PeerStream:
    """Messages to and from one peer.

    The stream is owned by one task, which calls `receive`; `send` may be called from any task
    of the same loop.

    Parameters
    ----------
    reader, writer : asyncio streams
        Connected transport.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap a connected transport."""
        self.reader = reader
        self.writer = writer
        self.decoder = FrameDecoder()
        self.received: deque[Message] = deque()
        self.outgoing: list[bytes] = []
        self.hello: Hello | None = None
        self.closed = False
        self.silent = False
        self.last_heard = SYSTEM_CLOCK.monotonic()
        self.skew_ms = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        address = writer.get_extra_info('peername')
        self.peer = f'{address[0]}:{address[1]}' if address else 'unknown'

    def send(self, message: Message) -> None:
        """Queue a message for sending without waiting.

        Raises
        ------
        StreamClosedError
            If the stream is closed; the message was not sent.
        PeerBusyError
            If too much waits already; the message was not sent.
        """
        if self.closed or self.writer.is_closing():
            raise StreamClosedError('stream is closed', step='send', peer=self.peer)
        if self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            raise PeerBusyError('peer does not read', step='send', peer=self.peer)
        frame = encode(message)
        self.bytes_sent += len(frame)
        if not self.outgoing:
            asyncio.get_running_loop().call_soon(self.flush)
        self.outgoing.append(frame)

    def flush(self) -> None:
        """Write the messages queued in this turn of the event loop in one call."""
        if self.outgoing and not self.writer.is_closing():
            self.writer.write(b''.join(self.outgoing))
        self.outgoing.clear()

    async def receive(self) -> Message:
        """Return the next message; heartbeats are taken in on the way.

        Returns
        -------
        Message
            Any message but a heartbeat.

        Raises
        ------
        StreamClosedError
            If the peer closed the stream, or was silent for too long while `beat` ran.
        FrameError
            If the peer sent something that is not a message.
        """
        while True:
            while self.received:
                message = self.received.popleft()
                if not isinstance(message, Heartbeat):
                    return message
                self.skew_ms = message.unix_ms - SYSTEM_CLOCK.unix_ms()
            await self._fill()

    async def greet(self, hello: Hello) -> Hello:
        """Exchange hellos.

        Parameters
        ----------
        hello : Hello
            What this process says of itself.

        Returns
        -------
        Hello
            What the peer says of itself.

        Raises
        ------
        StreamClosedError
            If the peer does not answer with a hello in time.
        """
        self.send(hello)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                message = await self.receive()
        except TimeoutError:
            raise StreamClosedError('peer sent no hello', step='hello', peer=self.peer) from None
        if not isinstance(message, Hello):
            raise StreamClosedError('first message is not a hello', step='hello', peer=self.peer)
        self.hello = message
        self.peer = message.instance
        return message

    async def beat(self) -> None:
        """Send heartbeats until the stream closes; a peer that is silent for too long is cut off."""
        while not self.closed:
            if SYSTEM_CLOCK.monotonic() - self.last_heard > SILENCE_TIMEOUT:
                self.silent = True
                self.abort()
                return
            try:
                self.send(Heartbeat(SYSTEM_CLOCK.unix_ms(), max(0, SYSTEM_CLOCK.unix_ms() + self.skew_ms)))
            except StreamClosedError:
                return
            except PeerBusyError:
                self.close()
                return
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    def close(self) -> None:
        """Close the stream; whatever waits to be sent is sent first if the peer reads."""
        if not self.closed:
            self.closed = True
            self.flush()
            self.writer.close()

    async def finish(self) -> None:
        """Close the stream and wait until the peer has taken what was sent, or does not read."""
        self.close()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SILENCE_TIMEOUT):
                await self.writer.wait_closed()

    def abort(self) -> None:
        """Close the stream at once and drop what waits to be sent."""
        self.closed = True
        self.outgoing.clear()
        self.writer.transport.abort()

    async def _fill(self) -> None:
        try:
            chunk = await self.reader.read(_READ_BYTES)
        except (OSError, ssl.SSLError) as exc:
            raise StreamClosedError(repr(exc), step='receive', peer=self.peer) from exc
        if not chunk:
            reason = 'peer is silent' if self.silent else 'peer closed the stream'
            raise StreamClosedError(reason, step='receive', peer=self.peer)
        self.last_heard = SYSTEM_CLOCK.monotonic()
        self.bytes_received += len(chunk)
        self.received.extend(self.decoder.feed(chunk))


async def start_peer_server(
    accept: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    host: str,
    port: int,
) -> asyncio.Server:
    """Listen for peers.

    Parameters
    ----------
    accept : callable
        Serves one connection until it ends.
    host : str
        IP number.
    port : int
        TCP port; 0 takes a free one.

    Returns
    -------
    asyncio.Server
        That listens.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await accept(reader, writer)
        except asyncio.CancelledError:
            # asyncio reports a cancelled connection task as an error; it only means that this process ends.
            logger.debug('stream_cancelled')

    return await asyncio.start_server(serve, host, port)


async def connect(host: str, port: int, context: ssl.SSLContext | None) -> PeerStream:
    """Open a stream to a peer.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    context : ssl.SSLContext or None
        Mutual TLS; None for plaintext.

    Returns
    -------
    PeerStream
        Connected; hellos are still to be exchanged.

    Raises
    ------
    StreamClosedError
        If the peer cannot be reached in time.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(host, port, ssl=context)
    except (OSError, TimeoutError) as exc:
        raise StreamClosedError(f'cannot connect: {exc!r}', step='connect', peer=f'{host}:{port}') from exc
    return PeerStream(reader, writer)
