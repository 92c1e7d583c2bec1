"""Streams from this entry to sidecars; one task per target owns the stream."""

import asyncio
import contextlib
import itertools
import random
import ssl
from collections.abc import Callable
from http import HTTPStatus

from loguru import logger

from tamarackfield.bundle import TargetEntry
from tamarackfield.core import SYSTEM_CLOCK, RequestError, TamarackfieldError, cancel_and_wait
from tamarackfield.core.outcome import Outcome
from tamarackfield.policy import TargetView
from tamarackfield.wire import Draining, Hello, Holdings, LoadReport, Message, PeerStream, StreamClosedError, connect
from tamarackfield.wire.request_relay import Cancel, Chunk, Credit, End, Fail, Head, KeyEpoch, Submit
from tamarackfield.wire.stream import PeerBusyError

#: Bounds of the exponential back-off, before jitter, between two attempts to connect.
MIN_RECONNECT_SECONDS = 0.1
MAX_RECONNECT_SECONDS = 2.0
#: Flow-control window of one answer: bytes that may be in transit or buffered in this entry.
ANSWER_CREDIT_BYTES = 262_144
#: Least credit returned in one message; smaller amounts are accumulated.
CREDIT_RETURN_BYTES = 65_536
_MS_PER_SECOND = 1000


class Exchange:
    """One submitted request; the frames of its answer are queued in ``inbox``."""

    def __init__(self, request_id: int, link: 'Link') -> None:
        """Create an exchange for which no frame has been received."""
        self.request_id = request_id
        self.link = link
        self.inbox: asyncio.Queue[Message] = asyncio.Queue()
        self.next_sequence = 0
        self.unreturned_bytes = 0

    def return_credit(self, size: int) -> None:
        """Allow the sidecar to send ``size`` more bytes; small amounts are accumulated and returned together."""
        self.unreturned_bytes += size
        if self.unreturned_bytes < CREDIT_RETURN_BYTES:
            return
        with contextlib.suppress(StreamClosedError, PeerBusyError):
            self.link.send(Credit(self.request_id, self.unreturned_bytes))
        self.unreturned_bytes = 0

    def close(self) -> None:
        """End the exchange; cancel the request at the sidecar if it has not ended."""
        if self.link.exchanges.pop(self.request_id, None) is not None:
            with contextlib.suppress(StreamClosedError, PeerBusyError):
                self.link.send(Cancel(self.request_id))


class Link:
    """Connection of this entry to the sidecar of one target; `run` reconnects it after a failure.

    Parameters
    ----------
    target : TargetEntry
        Entry of the target in the bundle.
    make_hello : callable
        Returns the hello message of this process.
    tls_context : ssl.SSLContext or None
        Context for mutual TLS; None for plaintext.
    count_late_frame : callable
        Called for each frame that is a duplicate or whose request has already ended.
    """

    def __init__(
        self,
        target: TargetEntry,
        make_hello: Callable[[], Hello],
        tls_context: ssl.SSLContext | None,
        count_late_frame: Callable[[], None],
    ) -> None:
        """Create a link that is not connected."""
        self.target = target
        self.make_hello = make_hello
        self.tls_context = tls_context
        self.count_late_frame = count_late_frame
        self.stream: PeerStream | None = None
        self.exchanges: dict[int, Exchange] = {}
        self.request_ids = itertools.count(1)
        self.report: LoadReport | None = None
        self.first_attempt_done = asyncio.Event()
        self.reported_at = 0.0
        #: Reason for which the sidecar drains; empty while it accepts new requests.
        self.draining = ''
        self.key_epoch: KeyEpoch | None = None
        self.connected = asyncio.Event()
        self.requests_since_report = 0
        #: Adapters that are resident or loading.
        self.present_adapters: frozenset[str] = frozenset()
        self.residents: frozenset[str] = frozenset()
        self.on_adapters_change: Callable[[str, frozenset[str]], None] = _ignore_adapters

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent over this link."""
        return self.stream is not None and not self.draining and self.report is not None and self.report.ready

    def view(self) -> TargetView:
        """Return the router's view of the target."""
        view = TargetView(
            self.target.name,
            self.target.zone,
            self.target.speed,
            self.target.batch,
            self.target.slots,
            outstanding=len(self.exchanges),
            unreported=self.requests_since_report,
            residents=self.residents,
        )
        if self.report is not None:
            view.running = self.report.running
            view.queued = self.report.queued
            view.pinned = self.report.pinned
            view.loading = self.present_adapters - self.residents
            view.reported_at = self.reported_at
            view.load_seconds = self.report.load_ms / _MS_PER_SECOND
            view.service_seconds = self.report.service_ms / _MS_PER_SECOND
        return view

    def send(self, message: Message) -> None:
        """Send a message to the sidecar.

        Raises
        ------
        StreamClosedError
            If the link is not connected; nothing was sent.
        """
        if self.stream is None:
            raise StreamClosedError('no stream', step='send', peer=self.target.name)
        self.stream.send(message)

    def submit(self, build_submit: Callable[[int, int], Submit]) -> Exchange:
        """Send a request to the sidecar.

        Parameters
        ----------
        build_submit : callable
            Returns the message for a request ID and a credit in bytes.

        Returns
        -------
        Exchange
            Exchange that receives the frames of the answer.

        Raises
        ------
        RequestError
            With outcome ``not_run`` if the message was not sent.
        """
        exchange = Exchange(next(self.request_ids), self)
        try:
            self.send(build_submit(exchange.request_id, ANSWER_CREDIT_BYTES))
        except (StreamClosedError, PeerBusyError) as exc:
            raise RequestError(
                f'the request was not sent: {exc.message}',
                step='submit',
                peer=self.target.name,
                code='target_unreachable',
                retry_after=1,
            ) from exc
        self.exchanges[exchange.request_id] = exchange
        self.requests_since_report += 1
        return exchange

    async def run(self) -> None:
        """Connect and receive messages until cancelled; reconnect with exponential back-off and jitter."""
        backoff_seconds = MIN_RECONNECT_SECONDS
        while True:
            try:
                stream = await connect(self.target.host, self.target.port, self.tls_context)
                backoff_seconds = MIN_RECONNECT_SECONDS
                await self._receive_messages(stream)
            except TamarackfieldError as exc:
                logger.bind(peer=self.target.name, step=exc.step, error=exc.message).info('link_down')
            self.first_attempt_done.set()
            await asyncio.sleep(backoff_seconds * random.uniform(0.5, 1))
            backoff_seconds = min(MAX_RECONNECT_SECONDS, backoff_seconds * 2)

    async def _receive_messages(self, stream: PeerStream) -> None:
        heartbeats = asyncio.ensure_future(stream.send_heartbeats())
        try:
            await self._handshake(stream)
            while True:
                self._handle_message(await stream.receive())
        finally:
            self._disconnect(stream)
            await cancel_and_wait((heartbeats,))

    async def _handshake(self, stream: PeerStream) -> None:
        hello = await stream.exchange_hellos(self.make_hello())
        if hello.target != self.target.name:
            raise StreamClosedError(
                f'peer serves target {hello.target!r}, expected {self.target.name!r}',
                step='hello',
                peer=self.target.name,
            )
        self.stream = stream
        self.connected.set()
        self.draining = ''
        logger.bind(peer=self.target.name, incarnation=hello.incarnation).info('link_up')

    def _disconnect(self, stream: PeerStream) -> None:
        self.stream = None
        self.connected.clear()
        self.key_epoch = None
        self.report = None
        self._update_adapters(frozenset(), frozenset())
        stream.abort()
        self._fail_exchanges()

    def _handle_message(self, message: Message) -> None:
        match message:
            case LoadReport():
                self.report = message
                self.first_attempt_done.set()
                self.reported_at = SYSTEM_CLOCK.monotonic()
                self.requests_since_report = 0
            case Holdings(residents, loading):
                self._update_adapters(frozenset(residents), frozenset(loading))
            case KeyEpoch():
                self.key_epoch = message
            case Draining(reason):
                self.draining = reason
                logger.bind(peer=self.target.name, reason=reason).info('target_draining')
            case Head() | Chunk() | End() | Fail():
                self._deliver_frame(message)

    def _update_adapters(self, residents: frozenset[str], loading: frozenset[str]) -> None:
        self.residents = residents
        self.present_adapters = residents | loading
        self.on_adapters_change(self.target.name, self.present_adapters)

    def _deliver_frame(self, message: Head | Chunk | End | Fail) -> None:
        exchange = self.exchanges.get(message.request_id)
        if exchange is None:
            self.count_late_frame()
            return
        if isinstance(message, End | Fail):
            self.exchanges.pop(message.request_id)
        exchange.inbox.put_nowait(message)

    def _fail_exchanges(self) -> None:
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


def _ignore_adapters(target: str, adapters: frozenset[str]) -> None:
    """Ignore a change of adapters; the default until the fleet sets its callback."""
