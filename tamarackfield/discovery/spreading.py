"""Spreads bundles between peers: pushed deltas, offers of the number in force, shards by hash."""

from collections.abc import Callable
from dataclasses import dataclass, field

from tamarackfield.bundle import Bundle, Envelope
from tamarackfield.bundle.shards import ShardError
from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.discovery.mesh import Neighbour
from tamarackfield.discovery.store import BundleStore
from tamarackfield.wire import Message
from tamarackfield.wire.spreading import (
    BundleDelta,
    BundleManifest,
    BundleOffer,
    BundleWant,
    Shard,
    ShardWant,
)

#: A larger delta is offered, not pushed, in bytes.
PUSH_BYTES = 4096
#: Seconds between two offers to each neighbour, whatever changed.
OFFER_INTERVAL = 1.0
#: Seconds that a neighbour has for sending a bundle before another one is asked.
FETCH_TIMEOUT = 2.0
#: Shards asked for at once.
SHARD_WINDOW = 8


@dataclass(slots=True)
class Fetch:
    """A whole bundle that is being fetched from one neighbour."""

    neighbour: Neighbour
    envelope: Envelope
    missing: list[str]
    expires_at: float
    shards: dict[str, bytes] = field(default_factory=dict)


class Spreader:
    """Talks with the neighbours about bundles.

    Parameters
    ----------
    store : BundleStore
        The bundle in force.
    neighbours : callable
        Returns the neighbours of this moment.
    """

    def __init__(self, store: BundleStore, neighbours: Callable[[], set[Neighbour]]) -> None:
        """Follow what comes in force."""
        self.store = store
        self.neighbours = neighbours
        self.fetch: Fetch | None = None
        self.wanted_until: dict[Neighbour, float] = {}
        store.listeners.append(self._push)

    def open(self, neighbour: Neighbour) -> None:
        """Tell a new neighbour what is in force here."""
        neighbour.send(self.offer())

    def close(self, neighbour: Neighbour) -> None:
        """Forget a neighbour."""
        self.wanted_until.pop(neighbour, None)
        if self.fetch is not None and self.fetch.neighbour is neighbour:
            self.fetch = None

    def offer(self) -> BundleOffer:
        """Return the offer of the bundle in force."""
        return BundleOffer(self.store.number, self.store.digest)

    def resolved(self) -> int:
        """Return how many neighbours said what they have and have nothing newer."""
        return sum(0 <= neighbour.number <= self.store.number for neighbour in self.neighbours())

    def take(self, neighbour: Neighbour, message: Message) -> None:
        """Take in a message from a neighbour."""
        match message:
            case BundleOffer():
                self._take_offer(neighbour, message)
            case BundleDelta():
                self._take_delta(neighbour, message)
            case BundleWant(base):
                self._answer_want(neighbour, base)
            case BundleManifest():
                self._take_manifest(neighbour, message)
            case ShardWant(digests):
                self._answer_shards(neighbour, digests)
            case Shard():
                self._take_shard(neighbour, message)

    def _take_offer(self, neighbour: Neighbour, offer: BundleOffer) -> None:
        neighbour.number = offer.number
        if offer.number > self.store.number:
            self._want(neighbour)
        elif offer.number < self.store.number:
            neighbour.send(self.offer())
        elif offer.digest != self.store.digest:
            neighbour.send(BundleWant(b''))

    def _take_delta(self, neighbour: Neighbour, delta: BundleDelta) -> None:
        neighbour.number = max(neighbour.number, delta.number)
        if delta.number > self.store.number and not self.store.put_delta(delta, neighbour.stream.peer):
            self._want(neighbour)

    def _want(self, neighbour: Neighbour) -> None:
        now = SYSTEM_CLOCK.monotonic()
        if self.wanted_until.get(neighbour, 0) > now:
            return
        self.wanted_until[neighbour] = now + FETCH_TIMEOUT / 2
        neighbour.send(BundleWant(self.store.digest))

    def _answer_want(self, neighbour: Neighbour, base: bytes) -> None:
        release = self.store.acceptance.release
        if release is None:
            return
        deltas = self.store.deltas_from(base)
        for delta in deltas:
            neighbour.send(delta)
        if not deltas:
            neighbour.send(BundleManifest(release.envelope.encoded, self.store.acceptance.rotations))

    def _take_manifest(self, neighbour: Neighbour, message: BundleManifest) -> None:
        source = neighbour.stream.peer
        envelope = self.store.examine(message.envelope, message.rotations, source)
        if envelope is None or self._is_fetching(envelope):
            return
        try:
            missing = self.store.missing(envelope)
        except ShardError:
            neighbour.stream.abort()
            return
        self.fetch = Fetch(neighbour, envelope, missing, SYSTEM_CLOCK.monotonic() + FETCH_TIMEOUT)
        self._go_on(self.fetch)

    def _is_fetching(self, envelope: Envelope) -> bool:
        """Tell whether a bundle at least as new is on its way."""
        fetch = self.fetch
        if fetch is None or fetch.expires_at < SYSTEM_CLOCK.monotonic():
            return False
        return fetch.envelope.manifest['number'] >= envelope.manifest['number']

    def _go_on(self, fetch: Fetch) -> None:
        lacking = [digest for digest in fetch.missing if digest not in fetch.shards]
        if lacking:
            fetch.neighbour.send(ShardWant([bytes.fromhex(digest) for digest in lacking[:SHARD_WINDOW]]))
            return
        self.fetch = None
        self.store.put(fetch.envelope, fetch.shards, fetch.neighbour.stream.peer)

    def _answer_shards(self, neighbour: Neighbour, digests: list[bytes]) -> None:
        for digest in digests[:SHARD_WINDOW]:
            content = self.store.shards.get(digest.hex())
            if content is not None:
                neighbour.send(Shard(digest, content))

    def _take_shard(self, neighbour: Neighbour, shard: Shard) -> None:
        fetch = self.fetch
        if fetch is None or fetch.neighbour is not neighbour or shard.digest.hex() not in fetch.missing:
            return
        if not self.store.receive(fetch.envelope, shard.digest.hex(), shard.content, neighbour.stream.peer):
            neighbour.stream.abort()
            return
        fetch.shards[shard.digest.hex()] = shard.content
        fetch.expires_at = SYSTEM_CLOCK.monotonic() + FETCH_TIMEOUT
        if len(fetch.shards) % SHARD_WINDOW == 0 or len(fetch.shards) == len(fetch.missing):
            self._go_on(fetch)

    def _push(self, bundle: Bundle, source: str) -> None:
        for neighbour in self.neighbours():
            if neighbour.number < bundle.number:
                neighbour.send(self._news())

    def _news(self) -> Message:
        deltas = list(self.store.deltas.values())
        if deltas and deltas[-1].number == self.store.number and len(deltas[-1].encoded) <= PUSH_BYTES:
            return deltas[-1]
        return self.offer()
