"""Stream to one peer: framing, exchange of hellos, heartbeats and a bounded write buffer."""

import asyncio
import contextlib
import ssl
from collections import deque
from collections.abc import Callable

from tamarackfield.core.clock import SYSTEM_CLOCK
from tamarackfield.core.connections import retrieve_close_error
from tamarackfield.core.errors import TamarackfieldError
from tamarackfield.core.time_limits import listening_seconds, poll_sockets, time_limit
from tamarackfield.core.turns import Turn
from tamarackfield.wire.codec import FrameDecoder, encode
from tamarackfield.wire.messages import Heartbeat, Hello, Message

#: Interval between heartbeats.
HEARTBEAT_INTERVAL_SECONDS = 0.5
#: Time without received bytes after which the peer is considered failed.
SILENCE_TIMEOUT_SECONDS = 2.0
#: Time limit for connecting, and for the hello of the peer.
CONNECT_TIMEOUT_SECONDS = 2.0
#: Size of the write buffer above which sending to a slow peer is refused.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
_MAX_READ_BYTES = 65_536


class StreamClosedError(TamarackfieldError):
    """The stream to the peer is closed or failed; no further message can be sent or received."""


class PeerBusyError(TamarackfieldError):
    """The write buffer to the peer is full; the message was not sent."""


class PeerStream:
    """Stream of messages to and from one peer.

    The stream is owned by one task, which calls `receive`; `send` may be called from any task
    of the same event loop.

    Parameters
    ----------
    reader, writer : asyncio streams
        Receiving and sending side of a connected transport.
    encode_message : callable
        Encodes a message; streams that send the same messages share a function of `make_shared_encoder`.

    Attributes
    ----------
    hello : Hello or None
        Hello of the peer; None until it is received.
    timed_out : bool
        Whether the stream was aborted because the peer sent nothing within `SILENCE_TIMEOUT_SECONDS`.
    last_received_at : float
        Time at which bytes were last received, in `listening_seconds`.
    clock_skew_ms : int
        Clock of the peer minus the clock of this process, from the last heartbeat.
    peer : str
        Instance name of the peer; its address until the hellos are exchanged.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        encode_message: Callable[[Message], bytes] = encode,
    ) -> None:
        """Create a stream over a connected transport."""
        self.encode_message = encode_message
        self.reader = reader
        self.writer = writer
        self.turn = Turn('')
        self.decoder = FrameDecoder()
        self.received_messages: deque[Message] = deque()
        self.unsent_frames: list[bytes] = []
        self.hello: Hello | None = None
        self.closed = False
        self.timed_out = False
        self.last_received_at = listening_seconds()
        self.clock_skew_ms = 0
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
            If the write buffer is full; the message was not sent.
        """
        if self.closed or self.writer.is_closing():
            raise StreamClosedError('stream is closed', step='send', peer=self.peer)
        if self.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            raise PeerBusyError('peer does not read', step='send', peer=self.peer)
        frame = self.encode_message(message)
        self.bytes_sent += len(frame)
        if not self.unsent_frames:
            asyncio.get_running_loop().call_soon(self.flush)
        self.unsent_frames.append(frame)

    def flush(self) -> None:
        """Write all messages queued in this iteration of the event loop with one call."""
        if self.unsent_frames and not self.writer.is_closing():
            self.writer.write(b''.join(self.unsent_frames))
        self.unsent_frames.clear()

    async def receive(self) -> Message:
        """Return the next message; heartbeats are processed and not returned.

        Returns
        -------
        Message
            Message that is not a heartbeat.

        Raises
        ------
        StreamClosedError
            If the peer closed the stream, or `send_heartbeats` aborted it because the peer was silent.
        FrameError
            If the peer sent bytes that are not a valid message.
        """
        while True:
            while self.received_messages:
                await self.turn.count_piece()
                message = self.received_messages.popleft()
                if not isinstance(message, Heartbeat):
                    return message
                self.clock_skew_ms = message.unix_ms - SYSTEM_CLOCK.unix_ms()
            await self._read_messages()

    async def exchange_hellos(self, hello: Hello) -> Hello:
        """Exchange hellos.

        Parameters
        ----------
        hello : Hello
            What this process says of itself.

        Returns
        -------
        Hello
            Hello of the peer.

        Raises
        ------
        StreamClosedError
            If the first message of the peer is not a hello, or does not arrive in time.
        """
        self.send(hello)
        try:
            async with time_limit(CONNECT_TIMEOUT_SECONDS):
                message = await self.receive()
        except TimeoutError:
            raise StreamClosedError('peer sent no hello', step='hello', peer=self.peer) from None
        if not isinstance(message, Hello):
            raise StreamClosedError('first message is not a hello', step='hello', peer=self.peer)
        self.hello = message
        self.peer = message.instance
        return message

    async def send_heartbeats(self) -> None:
        """Send heartbeats until the stream closes; abort it if the peer exceeds the silence time-out."""
        while not self.closed:
            if self._is_silent():
                await poll_sockets()
            if self._is_silent():
                self.timed_out = True
                self.abort()
                return
            try:
                self.send(Heartbeat(SYSTEM_CLOCK.unix_ms(), max(0, SYSTEM_CLOCK.unix_ms() + self.clock_skew_ms)))
            except StreamClosedError:
                return
            except PeerBusyError:
                self.close()
                return
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def close(self) -> None:
        """Close the stream; queued messages are sent first if the peer reads them."""
        if not self.closed:
            self.closed = True
            self.flush()
            self.writer.close()

    async def finish(self) -> None:
        """Close the stream; wait until queued messages are written, up to `SILENCE_TIMEOUT_SECONDS`."""
        self.close()
        with contextlib.suppress(OSError, TimeoutError):
            async with time_limit(SILENCE_TIMEOUT_SECONDS):
                await self.writer.wait_closed()

    def abort(self) -> None:
        """Close the stream immediately and discard queued messages."""
        self.closed = True
        self.unsent_frames.clear()
        self.writer.transport.abort()

    def _is_silent(self) -> bool:
        return listening_seconds() - self.last_received_at > SILENCE_TIMEOUT_SECONDS

    async def _read_messages(self) -> None:
        self.turn.begin()
        self.turn.peer = self.peer
        try:
            chunk = await self.reader.read(_MAX_READ_BYTES)
        except (OSError, ssl.SSLError) as exc:
            await retrieve_close_error(self.reader, self.writer)
            raise StreamClosedError(repr(exc), step='receive', peer=self.peer) from exc
        if not chunk:
            reason = 'peer is silent' if self.timed_out else 'peer closed the stream'
            raise StreamClosedError(reason, step='receive', peer=self.peer)
        self.last_received_at = listening_seconds()
        self.bytes_received += len(chunk)
        self.received_messages.extend(self.decoder.feed(chunk))


async def connect(host: str, port: int, context: ssl.SSLContext | None) -> PeerStream:
    """Open a stream to a peer.

    Parameters
    ----------
    host : str
        IP address of the peer.
    port : int
        TCP port of the peer.
    context : ssl.SSLContext or None
        Context for mutual TLS; None for plaintext.

    Returns
    -------
    PeerStream
        Connected stream on which no hello has been exchanged.

    Raises
    ------
    StreamClosedError
        If the peer cannot be reached within `CONNECT_TIMEOUT_SECONDS`.
    """
    try:
        async with time_limit(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, port, ssl=context)
    except (OSError, TimeoutError) as exc:
        raise StreamClosedError(f'cannot connect: {exc!r}', step='connect', peer=f'{host}:{port}') from exc
    return PeerStream(reader, writer)
