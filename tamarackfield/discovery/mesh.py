"""Streams between peers over which bundles spread: a few in the own zone, a few into others.

Each process keeps up a fixed number of outgoing streams to random peers and accepts a bounded
number. One task owns each stream.
"""

import asyncio
import contextlib
import ssl
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, Application, TamarackfieldError
from tamarackfield.core.problems import split_address
from tamarackfield.discovery.addresses import AddressBook
from tamarackfield.wire import Hello, Message, PeerStream, StreamClosedError, connect
from tamarackfield.wire.spreading import PeerSample
from tamarackfield.wire.stream import PeerBusyError

#: Outgoing streams into the own zone and into other zones.
ZONE_LINKS = 3
OTHER_LINKS = 2
#: Incoming streams accepted; a further peer is told of others and closed.
MAX_INCOMING = 24
#: Seconds between two looks at the outgoing streams, and between two samples to a peer.
LINK_INTERVAL = 0.2
SAMPLE_INTERVAL = 5.0


@dataclass(eq=False, slots=True)
class Neighbour:
    """One stream to a peer and what the peer said of itself.

    Parameters
    ----------
    number : int
        Number of the bundle that the peer is known to have; -1 before it said one.
    """

    stream: PeerStream
    address: str = ''
    zone: str = ''
    number: int = -1

    def send(self, message: Message) -> None:
        """Send a message unless the stream is closed or the peer does not read."""
        with contextlib.suppress(StreamClosedError, PeerBusyError):
            self.stream.send(message)


@dataclass(slots=True)
class MeshHandlers:
    """What the owner of the mesh does with a new neighbour, a message, a lost neighbour."""

    opened: Callable[[Neighbour], None]
    received: Callable[[Neighbour, Message], None]
    closed: Callable[[Neighbour], None]


@dataclass(slots=True)
class MeshIdentity:
    """What this process says of itself and how peers are authenticated."""

    hello: Callable[[], Hello]
    zone: str
    client_context: ssl.SSLContext | None = None
    server_context: ssl.SSLContext | None = None


class Mesh:
    """Owner of the streams between peers.

    Parameters
    ----------
    application : Application
        Owner of the tasks.
    identity : MeshIdentity
        Of this process.
    book : AddressBook
        Peers to connect to.
    handlers : MeshHandlers
        Called from the tasks that own the streams.
    """

    def __init__(
        self,
        application: Application,
        identity: MeshIdentity,
        book: AddressBook,
        handlers: MeshHandlers,
    ) -> None:
        """Prepare; nothing is connected."""
        self.application = application
        self.identity = identity
        self.book = book
        self.handlers = handlers
        self.neighbours: set[Neighbour] = set()
        self.dialled: dict[str, str] = {}
        self.server: asyncio.Server | None = None
        self.accepted: dict[PeerStream, asyncio.Task[None]] = {}
        self.closed_bytes = [0, 0]

    def traffic(self) -> tuple[int, int]:
        """Return the bytes sent and received on all streams so far."""
        sent = self.closed_bytes[0] + sum(neighbour.stream.bytes_sent for neighbour in self.neighbours)
        received = self.closed_bytes[1] + sum(neighbour.stream.bytes_received for neighbour in self.neighbours)
        return sent, received

    async def listen(self, host: str, port: int) -> None:
        """Accept peers."""
        self.server = await asyncio.start_server(self.accept, host, port, ssl=self.identity.server_context)

    async def stop(self) -> None:
        """Accept no more peers and close all streams; the application ends their tasks."""
        if self.server is not None:
            self.server.close()
        for neighbour in self.neighbours:
            neighbour.stream.close()

    async def run(self) -> None:
        """Keep up the outgoing streams, for ever."""
        sample_at = 0.0
        while True:
            now = SYSTEM_CLOCK.monotonic()
            for address in self._wanted(now):
                self.dialled[address] = self.book.zones[address]
                self.application.spawn(self._dial(address), f'mesh-{address}')
            if now >= sample_at:
                sample_at = now + SAMPLE_INTERVAL
                self.send_all(PeerSample(self.book.own, self.book.sample()))
            await asyncio.sleep(LINK_INTERVAL)

    def send_all(self, message: Message, *, zone: str = '', skip: Neighbour | None = None) -> None:
        """Send a message to every neighbour, or to those of one zone."""
        for neighbour in self.neighbours:
            if neighbour is not skip and (not zone or neighbour.zone == zone):
                neighbour.send(message)

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start the task that owns an incoming stream."""
        stream = PeerStream(reader, writer)
        self.accepted[stream] = self.application.spawn(self._own(stream), f'mesh-{stream.peer}')

    async def _own(self, stream: PeerStream) -> None:
        """Serve one incoming stream until it closes."""
        try:
            await self._serve(stream, '')
        except TamarackfieldError as exc:
            logger.bind(peer=stream.peer, step=exc.step, error=exc.message).debug('mesh_stream_closed')
        finally:
            self.accepted.pop(stream)
            stream.close()

    async def _dial(self, address: str) -> None:
        try:
            stream = await connect(*split_address(address), self.identity.client_context)
        except TamarackfieldError:
            self.book.fail(address, SYSTEM_CLOCK.monotonic())
            self.dialled.pop(address)
            return
        try:
            await self._serve(stream, address)
        except TamarackfieldError as exc:
            logger.bind(peer=address, step=exc.step, error=exc.message).debug('mesh_stream_closed')
        finally:
            self._hang_up(stream, address)

    def _hang_up(self, stream: PeerStream, address: str) -> None:
        self.book.fail(address, SYSTEM_CLOCK.monotonic())
        self.dialled.pop(address)
        stream.abort()

    async def _serve(self, stream: PeerStream, address: str) -> None:
        hello = await stream.greet(self.identity.hello())
        stream.send(PeerSample(self.book.own, self.book.sample()))
        if len(self.accepted) > MAX_INCOMING and not address:
            return
        neighbour = Neighbour(stream, address, hello.zone)
        if address:
            self.dialled[address] = hello.zone
            self.book.learn(address, hello.zone)
            self.book.reach(address)
        self.neighbours.add(neighbour)
        beats = asyncio.ensure_future(stream.beat())
        self.handlers.opened(neighbour)
        try:
            while True:
                self._take(neighbour, await stream.receive())
        finally:
            beats.cancel()
            self._lose(neighbour)

    def _lose(self, neighbour: Neighbour) -> None:
        self.neighbours.discard(neighbour)
        self.closed_bytes[0] += neighbour.stream.bytes_sent
        self.closed_bytes[1] += neighbour.stream.bytes_received
        self.handlers.closed(neighbour)

    def _take(self, neighbour: Neighbour, message: Message) -> None:
        if not isinstance(message, PeerSample):
            self.handlers.received(neighbour, message)
            return
        neighbour.address = message.address
        self.book.learn(message.address, neighbour.zone)
        for address, zone in _good_pairs(message.peers):
            if address not in self.book.zones:
                self.book.learn(address, zone)

    def _wanted(self, now: float) -> list[str]:
        zones = list(self.dialled.values())
        inside = ZONE_LINKS - sum(zone == self.identity.zone for zone in zones)
        outside = OTHER_LINKS - sum(zone != self.identity.zone for zone in zones)
        linked = {neighbour.address for neighbour in self.neighbours} | self.dialled.keys()
        candidates = self.book.candidates(now, linked)
        near = [address for address in candidates if self.book.zones[address] == self.identity.zone]
        far = [address for address in candidates if self.book.zones[address] != self.identity.zone]
        return near[: max(0, inside)] + far[: max(0, outside)]


def _good_pairs(peers: list[list[str]]) -> list[list[str]]:
    pairs = []
    for pair in peers:
        with contextlib.suppress(ValueError):
            address, _ = pair
            split_address(address)
            pairs.append(pair)
    return pairs
