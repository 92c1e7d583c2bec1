"""Streams from this entry to sidecars: one task a target owns its stream."""

import asyncio
import contextlib
import itertools
import random
import ssl
from collections.abc import Callable
from http import HTTPStatus

from loguru import logger

from tamarackfield.bundle import TargetEntry
from tamarackfield.core import SYSTEM_CLOCK, RequestError, TamarackfieldError
from tamarackfield.core.outcome import Outcome
from tamarackfield.policy import TargetView
from tamarackfield.wire import Draining, Hello, Holdings, LoadReport, Message, PeerStream, StreamClosedError, connect
from tamarackfield.wire.runs import Cancel, Chunk, Credit, End, Fail, Head, KeyEpoch, Submit
from tamarackfield.wire.stream import PeerBusyError

#: Shortest and longest pause between two attempts to connect, in seconds.
MIN_RECONNECT = 0.1
MAX_RECONNECT = 2.0
#: Bytes of one answer that may be under way or wait in this entry.
ANSWER_CREDIT = 262_144
#: Bytes of credit that are returned in one message.
CREDIT_STEP = 65_536
_MS_PER_SECOND = 1000


class Exchange:
    """One submitted request: the frames that came back for it wait in ``inbox``."""

    def __init__(self, request_id: int, link: 'Link') -> None:
        """Start with nothing received."""
        self.request_id = request_id
        self.link = link
        self.inbox: asyncio.Queue[Message] = asyncio.Queue()
        self.next_sequence = 0
        self.unreturned = 0

    def consumed(self, size: int) -> None:
        """Let the sidecar send this many more bytes; small amounts are returned together."""
        self.unreturned += size
        if self.unreturned < CREDIT_STEP:
            return
        with contextlib.suppress(StreamClosedError, PeerBusyError):
            self.link.send(Credit(self.request_id, self.unreturned))
        self.unreturned = 0

    def close(self) -> None:
        """End the exchange; a sidecar that still works on it is told to stop."""
        if self.link.exchanges.pop(self.request_id, None) is not None:
            with contextlib.suppress(StreamClosedError, PeerBusyError):
                self.link.send(Cancel(self.request_id))


class Link:
    """Connection of this entry to one target's sidecar, kept up by `run`.

    Parameters
    ----------
    target : TargetEntry
        From the bundle.
    hello : callable
        Returns this process's hello.
    context : ssl.SSLContext or None
        Mutual TLS, None for plaintext.
    count_late : callable
        Called for each frame whose request is no longer known.
    """

    def __init__(
        self,
        target: TargetEntry,
        hello: Callable[[], Hello],
        context: ssl.SSLContext | None,
        count_late: Callable[[], None],
    ) -> None:
        """Prepare a link that is not connected."""
        self.target = target
        self.hello = hello
        self.context = context
        self.count_late = count_late
        self.stream: PeerStream | None = None
        self.exchanges: dict[int, Exchange] = {}
        self.request_ids = itertools.count(1)
        self.report: LoadReport | None = None
        self.attempted = asyncio.Event()
        self.reported_at = 0.0
        self.draining = ''
        self.key_epoch: KeyEpoch | None = None
        self.connected = asyncio.Event()
        self.unreported = 0
        self.held: frozenset[str] = frozenset()
        self.residents: frozenset[str] = frozenset()
        self.on_residents: Callable[[str, frozenset[str]], None] = _ignore_residents

    @property
    def usable(self) -> bool:
        """Whether new work may go over this link."""
        return self.stream is not None and not self.draining and self.report is not None and self.report.ready

    def view(self) -> TargetView:
        """Return the target as the router wants it."""
        view = TargetView(
            self.target.name,
            self.target.zone,
            self.target.speed,
            self.target.batch,
            self.target.slots,
            outstanding=len(self.exchanges),
            unreported=self.unreported,
            residents=self.residents,
        )
        if self.report is not None:
            view.running = self.report.running
            view.queued = self.report.queued
            view.pinned = self.report.pinned
            view.loading = self.held - self.residents
            view.reported_at = self.reported_at
            view.load_seconds = self.report.load_ms / _MS_PER_SECOND
            view.service_seconds = self.report.service_ms / _MS_PER_SECOND
        return view

    def send(self, message: Message) -> None:
        """Send a message.

        Raises
        ------
        StreamClosedError
            If there is no stream; nothing was sent.
        """
        if self.stream is None:
            raise StreamClosedError('no stream', step='send', peer=self.target.name)
        self.stream.send(message)

    def submit(self, build: Callable[[int, int], Submit]) -> Exchange:
        """Send a request to the sidecar.

        Parameters
        ----------
        build : callable
            Makes the message from the request's number and its credit in bytes.

        Returns
        -------
        Exchange
            Where the answer arrives.

        Raises
        ------
        RequestError
            With outcome ``not_run`` if the message was not sent.
        """
        exchange = Exchange(next(self.request_ids), self)
        try:
            self.send(build(exchange.request_id, ANSWER_CREDIT))
        except (StreamClosedError, PeerBusyError) as exc:
            raise RequestError(
                f'the request was not sent: {exc.message}',
                step='submit',
                peer=self.target.name,
                code='target_unreachable',
                retry_after=1,
            ) from exc
        self.exchanges[exchange.request_id] = exchange
        self.unreported += 1
        return exchange

    async def run(self) -> None:
        """Connect, receive, connect again, for ever."""
        pause = MIN_RECONNECT
        while True:
            try:
                stream = await connect(self.target.host, self.target.port, self.context)
                pause = MIN_RECONNECT
                await self._serve(stream)
            except TamarackfieldError as exc:
                logger.bind(peer=self.target.name, step=exc.step, error=exc.message).info('link_down')
            self.attempted.set()
            await asyncio.sleep(pause * random.uniform(0.5, 1))
            pause = min(MAX_RECONNECT, pause * 2)

    async def _serve(self, stream: PeerStream) -> None:
        beats = asyncio.ensure_future(stream.beat())
        try:
            await self._greet(stream)
            while True:
                self._take(await stream.receive())
        finally:
            beats.cancel()
            self._disconnect(stream)

    async def _greet(self, stream: PeerStream) -> None:
        hello = await stream.greet(self.hello())
        if hello.target != self.target.name:
            raise StreamClosedError(f'peer serves {hello.target!r}', step='hello', peer=self.target.name)
        self.stream = stream
        self.connected.set()
        self.draining = ''
        logger.bind(peer=self.target.name, incarnation=hello.incarnation).info('link_up')

    def _disconnect(self, stream: PeerStream) -> None:
        self.stream = None
        self.connected.clear()
        self.key_epoch = None
        self.report = None
        self._hold(frozenset(), frozenset())
        stream.abort()
        self._break_exchanges()

    def _take(self, message: Message) -> None:
        match message:
            case LoadReport():
                self.report = message
                self.attempted.set()
                self.reported_at = SYSTEM_CLOCK.monotonic()
                self.unreported = 0
            case Holdings(residents, loading):
                self._hold(frozenset(residents), frozenset(loading))
            case KeyEpoch():
                self.key_epoch = message
            case Draining(reason):
                self.draining = reason
                logger.bind(peer=self.target.name, reason=reason).info('target_draining')
            case Head() | Chunk() | End() | Fail():
                self._deliver(message)

    def _hold(self, residents: frozenset[str], loading: frozenset[str]) -> None:
        self.residents = residents
        self.held = residents | loading
        self.on_residents(self.target.name, self.held)

    def _deliver(self, message: Head | Chunk | End | Fail) -> None:
        exchange = self.exchanges.get(message.request_id)
        if exchange is None:
            self.count_late()
            return
        if isinstance(message, End | Fail):
            self.exchanges.pop(message.request_id)
        exchange.inbox.put_nowait(message)

    def _break_exchanges(self) -> None:
        broken = list(self.exchanges.values())
        self.exchanges.clear()
        for exchange in broken:
            exchange.inbox.put_nowait(
                Fail(
                    exchange.request_id,
                    Outcome.UNKNOWN.value,
                    HTTPStatus.BAD_GATEWAY,
                    'stream_broken',
                    'the stream to the target broke before the answer was whole',
                    'await_answer',
                    self.target.name,
                    1,
                ),
            )


def _ignore_residents(target: str, adapters: frozenset[str]) -> None:
    """Stand in until the fleet listens."""
