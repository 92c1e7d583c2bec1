"""Gossip mesh of streams between peers, over which bundles are distributed.

Each process maintains a fixed number of outgoing streams to random peers in its own zone and in other
zones, and accepts a bounded number of incoming streams. One task owns each stream.
"""

import asyncio
import contextlib
import ssl
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, Application, TamarackfieldError, cancel_and_wait
from tamarackfield.core.problems import split_address
from tamarackfield.discovery.addresses import AddressBook
from tamarackfield.wire import Hello, Message, PeerStream, StreamClosedError, connect
from tamarackfield.wire.dissemination import PeerSample
from tamarackfield.wire.stream import PeerBusyError

#: Outgoing streams to peers in the same zone and in other zones.
SAME_ZONE_STREAMS = 3
OTHER_ZONE_STREAMS = 2
#: Maximum number of incoming streams; a further peer gets a sample of addresses, then its stream is closed.
MAX_INCOMING_STREAMS = 24
#: Interval between two checks for missing outgoing streams.
CONNECT_INTERVAL_SECONDS = 0.2
#: Interval between two address samples to a peer.
SAMPLE_INTERVAL_SECONDS = 5.0


@dataclass(eq=False, slots=True)
class Neighbour:
    """One stream to a peer and the state that the peer has announced.

    Parameters
    ----------
    stream : PeerStream
        Stream to the peer.
    address : str
        Address at which the peer accepts streams; empty if unknown.
    zone : str
        Availability zone of the peer.
    number : int
        Number of the bundle that the peer is known to have; -1 if unknown.
    """

    stream: PeerStream
    address: str = ''
    zone: str = ''
    number: int = -1

    def send(self, message: Message) -> None:
        """Send a message; drop it if the stream is closed or its send buffer is full."""
        with contextlib.suppress(StreamClosedError, PeerBusyError):
            self.stream.send(message)


@dataclass(slots=True)
class MeshHandlers:
    """Callbacks of a mesh for a new neighbour, a received message and a closed stream to a neighbour."""

    opened: Callable[[Neighbour], None]
    received: Callable[[Neighbour, Message], None]
    closed: Callable[[Neighbour], None]


@dataclass(slots=True)
class MeshIdentity:
    """Hello message and zone of this process, and the TLS contexts that authenticate peers."""

    hello: Callable[[], Hello]
    zone: str
    client_context: ssl.SSLContext | None = None
    server_context: ssl.SSLContext | None = None


class Mesh:
    """Maintains the streams to peers.

    Parameters
    ----------
    application : Application
        Application that owns the tasks.
    identity : MeshIdentity
        Identity of this process.
    address_book : AddressBook
        Addresses of the peers to connect to.
    handlers : MeshHandlers
        Callbacks, called from the tasks that own the streams.
    """

    def __init__(
        self,
        application: Application,
        identity: MeshIdentity,
        address_book: AddressBook,
        handlers: MeshHandlers,
    ) -> None:
        """Initialize without connecting."""
        self.application = application
        self.identity = identity
        self.address_book = address_book
        self.handlers = handlers
        self.neighbours: set[Neighbour] = set()
        self.outgoing_zones: dict[str, str] = {}
        self.server: asyncio.Server | None = None
        self.incoming: dict[PeerStream, asyncio.Task[None]] = {}
        #: Bytes sent and bytes received on the streams that have closed.
        self.closed_stream_bytes = [0, 0]

    def count_stream_bytes(self) -> tuple[int, int]:
        """Return the total bytes sent and received on all streams, including closed ones."""
        sent = self.closed_stream_bytes[0] + sum(neighbour.stream.bytes_sent for neighbour in self.neighbours)
        received = self.closed_stream_bytes[1] + sum(neighbour.stream.bytes_received for neighbour in self.neighbours)
        return sent, received

    async def listen(self, host: str, port: int) -> None:
        """Accept incoming streams at an address."""
        self.server = await asyncio.start_server(self.accept, host, port, ssl=self.identity.server_context)

    async def stop(self) -> None:
        """Stop accepting peers and close all streams; the application ends their tasks."""
        if self.server is not None:
            self.server.close()
        for neighbour in self.neighbours:
            neighbour.stream.close()

    async def run(self) -> None:
        """Maintain the outgoing streams until cancelled."""
        sample_at = 0.0
        while True:
            now = SYSTEM_CLOCK.monotonic()
            for address in self._choose_addresses(now):
                self.outgoing_zones[address] = self.address_book.zones[address]
                self.application.spawn(self._connect(address), f'mesh-{address}')
            if now >= sample_at:
                sample_at = now + SAMPLE_INTERVAL_SECONDS
                self.broadcast(PeerSample(self.address_book.own_address, self.address_book.sample()))
            await asyncio.sleep(CONNECT_INTERVAL_SECONDS)

    def broadcast(self, message: Message, *, zone: str = '', skip: Neighbour | None = None) -> None:
        """Send a message to every neighbour, or to those of one zone, except ``skip``."""
        for neighbour in self.neighbours:
            if neighbour is not skip and (not zone or neighbour.zone == zone):
                neighbour.send(message)

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start the task that owns an incoming stream."""
        stream = PeerStream(reader, writer)
        self.incoming[stream] = self.application.spawn(self._serve_incoming(stream), f'mesh-{stream.peer}')

    async def _serve_incoming(self, stream: PeerStream) -> None:
        """Serve one incoming stream until it closes."""
        try:
            await self._serve(stream, '')
        except TamarackfieldError as exc:
            logger.bind(peer=stream.peer, step=exc.step, error=exc.message).debug('mesh_stream_closed')
        finally:
            self.incoming.pop(stream)
            stream.close()

    async def _connect(self, address: str) -> None:
        try:
            stream = await connect(*split_address(address), self.identity.client_context)
        except TamarackfieldError:
            self.address_book.record_failure(address, SYSTEM_CLOCK.monotonic())
            self.outgoing_zones.pop(address)
            return
        try:
            await self._serve(stream, address)
        except TamarackfieldError as exc:
            logger.bind(peer=address, step=exc.step, error=exc.message).debug('mesh_stream_closed')
        finally:
            self._close_outgoing(stream, address)

    def _close_outgoing(self, stream: PeerStream, address: str) -> None:
        self.address_book.record_failure(address, SYSTEM_CLOCK.monotonic())
        self.outgoing_zones.pop(address)
        stream.abort()

    async def _serve(self, stream: PeerStream, address: str) -> None:
        """Exchange messages until the stream closes; a peer above the limit gets only a sample of addresses.

        The address is empty for an incoming stream.
        """
        hello = await stream.exchange_hellos(self.identity.hello())
        stream.send(PeerSample(self.address_book.own_address, self.address_book.sample()))
        if len(self.incoming) > MAX_INCOMING_STREAMS and not address:
            return
        neighbour = Neighbour(stream, address, hello.zone)
        if address:
            self.outgoing_zones[address] = hello.zone
            self.address_book.add(address, hello.zone)
            self.address_book.record_success(address)
        self.neighbours.add(neighbour)
        heartbeats = asyncio.ensure_future(stream.send_heartbeats())
        self.handlers.opened(neighbour)
        try:
            while True:
                self._handle_message(neighbour, await stream.receive())
        finally:
            self._remove_neighbour(neighbour)
            await cancel_and_wait((heartbeats,))

    def _remove_neighbour(self, neighbour: Neighbour) -> None:
        self.neighbours.discard(neighbour)
        self.closed_stream_bytes[0] += neighbour.stream.bytes_sent
        self.closed_stream_bytes[1] += neighbour.stream.bytes_received
        self.handlers.closed(neighbour)

    def _handle_message(self, neighbour: Neighbour, message: Message) -> None:
        if not isinstance(message, PeerSample):
            self.handlers.received(neighbour, message)
            return
        neighbour.address = message.address
        self.address_book.add(message.address, neighbour.zone)
        for address, zone in _filter_valid_pairs(message.peers):
            if address not in self.address_book.zones:
                self.address_book.add(address, zone)

    def _choose_addresses(self, now: float) -> list[str]:
        zones = list(self.outgoing_zones.values())
        same_zone_missing = SAME_ZONE_STREAMS - sum(zone == self.identity.zone for zone in zones)
        other_zones_missing = OTHER_ZONE_STREAMS - sum(zone != self.identity.zone for zone in zones)
        connected_addresses = {neighbour.address for neighbour in self.neighbours} | self.outgoing_zones.keys()
        candidates = self.address_book.find_candidates(now, connected_addresses)
        same_zone = [address for address in candidates if self.address_book.zones[address] == self.identity.zone]
        other_zones = [address for address in candidates if self.address_book.zones[address] != self.identity.zone]
        return same_zone[: max(0, same_zone_missing)] + other_zones[: max(0, other_zones_missing)]


def _filter_valid_pairs(peers: list[list[str]]) -> list[list[str]]:
    pairs = []
    for pair in peers:
        with contextlib.suppress(ValueError):
            address, _ = pair
            split_address(address)
            pairs.append(pair)
    return pairs
