"""Distribution of bundles between peers: pushed deltas, periodic offers, and shards fetched by hash.

An offer states the number and the digest of the bundle in force. Periodic offers reconcile
neighbours that missed a push.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from tamarackfield.bundle import Bundle, Envelope
from tamarackfield.bundle.shards import ShardError
from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.discovery.mesh import Neighbour
from tamarackfield.discovery.store import BundleStore
from tamarackfield.wire import Message
from tamarackfield.wire.dissemination import (
    BundleDelta,
    BundleManifest,
    BundleOffer,
    BundleWant,
    Shard,
    ShardWant,
)

#: Largest delta that is pushed; a larger one is offered instead.
MAX_PUSH_BYTES = 4096
#: Longest interval between two rounds of offers, sent even if nothing changed; the shortest is half of it.
OFFER_INTERVAL_SECONDS = 1.0
#: Time without a shard after which a fetch may be replaced by one from another neighbour. A request to a
#: neighbour for an update may be repeated after half of it.
FETCH_TIMEOUT_SECONDS = 2.0
#: Maximum number of shards requested at once.
SHARD_WINDOW = 8


@dataclass(slots=True)
class Fetch:
    """Fetch of a whole bundle from one neighbour.

    Parameters
    ----------
    neighbour : Neighbour
        Neighbour from which the shards are requested.
    envelope : Envelope
        Verified envelope of the bundle.
    missing_digests : list of str
        SHA-256 in hex of the shards that this process lacked when the fetch started.
    expires_at : float
        Time after which another fetch may replace this one, in monotonic seconds.
    shards : dict
        Content of the shards received so far, by SHA-256 in hex.
    """

    neighbour: Neighbour
    envelope: Envelope
    missing_digests: list[str]
    expires_at: float
    shards: dict[str, bytes] = field(default_factory=dict)


class BundleDisseminator:
    """Exchanges bundles with the neighbours.

    Parameters
    ----------
    store : BundleStore
        Store of the bundle in force.
    neighbours : callable
        Returns the current neighbours.
    """

    def __init__(self, store: BundleStore, neighbours: Callable[[], set[Neighbour]]) -> None:
        """Initialize and subscribe to bundles that are put in force."""
        self.store = store
        self.neighbours = neighbours
        self.fetch: Fetch | None = None
        self.request_expires_at: dict[Neighbour, float] = {}
        store.listeners.append(self._push)

    def add_neighbour(self, neighbour: Neighbour) -> None:
        """Send an offer of the bundle in force to a new neighbour."""
        neighbour.send(self.make_offer())

    def remove_neighbour(self, neighbour: Neighbour) -> None:
        """Remove a neighbour and abandon a fetch from it."""
        self.request_expires_at.pop(neighbour, None)
        if self.fetch is not None and self.fetch.neighbour is neighbour:
            self.fetch = None

    def make_offer(self) -> BundleOffer:
        """Return an offer of the bundle in force."""
        return BundleOffer(self.store.number, self.store.digest)

    def count_neighbours_not_ahead(self) -> int:
        """Return the number of neighbours whose bundle is known and not newer than the one in force."""
        return sum(0 <= neighbour.number <= self.store.number for neighbour in self.neighbours())

    def handle_message(self, neighbour: Neighbour, message: Message) -> None:
        """Process a message from a neighbour."""
        match message:
            case BundleOffer():
                self._handle_offer(neighbour, message)
            case BundleDelta():
                self._handle_delta(neighbour, message)
            case BundleWant(base):
                self._send_update(neighbour, base)
            case BundleManifest():
                self._handle_manifest(neighbour, message)
            case ShardWant(digests):
                self._send_shards(neighbour, digests)
            case Shard():
                self._handle_shard(neighbour, message)

    def _handle_offer(self, neighbour: Neighbour, offer: BundleOffer) -> None:
        neighbour.number = offer.number
        if offer.number > self.store.number:
            self._request_update(neighbour)
        elif offer.number < self.store.number:
            neighbour.send(self.make_offer())
        elif offer.digest != self.store.digest:
            # An empty base requests the manifest, by which the store detects and reports the conflict.
            neighbour.send(BundleWant(b''))

    def _handle_delta(self, neighbour: Neighbour, delta: BundleDelta) -> None:
        neighbour.number = max(neighbour.number, delta.number)
        if delta.number > self.store.number and not self.store.put_delta(delta, neighbour.stream.peer):
            self._request_update(neighbour)

    def _request_update(self, neighbour: Neighbour) -> None:
        now = SYSTEM_CLOCK.monotonic()
        if self.request_expires_at.get(neighbour, 0) > now:
            return
        self.request_expires_at[neighbour] = now + FETCH_TIMEOUT_SECONDS / 2
        neighbour.send(BundleWant(self.store.digest))

    def _send_update(self, neighbour: Neighbour, base: bytes) -> None:
        release = self.store.acceptance.release
        if release is None:
            return
        deltas = self.store.find_deltas(base)
        for delta in deltas:
            neighbour.send(delta)
        if not deltas:
            neighbour.send(BundleManifest(release.envelope.encoded, self.store.acceptance.rotations))

    def _handle_manifest(self, neighbour: Neighbour, message: BundleManifest) -> None:
        source = neighbour.stream.peer
        envelope = self.store.examine(message.envelope, message.rotations, source)
        if envelope is None or self._is_fetching(envelope):
            return
        try:
            missing_digests = self.store.find_missing_shards(envelope)
        except ShardError:
            neighbour.stream.abort()
            return
        self.fetch = Fetch(neighbour, envelope, missing_digests, SYSTEM_CLOCK.monotonic() + FETCH_TIMEOUT_SECONDS)
        self._continue_fetch(self.fetch)

    def _is_fetching(self, envelope: Envelope) -> bool:
        """Return whether a bundle at least as new is being fetched and its fetch has not expired."""
        fetch = self.fetch
        if fetch is None or fetch.expires_at < SYSTEM_CLOCK.monotonic():
            return False
        return fetch.envelope.manifest['number'] >= envelope.manifest['number']

    def _continue_fetch(self, fetch: Fetch) -> None:
        remaining = [digest for digest in fetch.missing_digests if digest not in fetch.shards]
        if remaining:
            fetch.neighbour.send(ShardWant([bytes.fromhex(digest) for digest in remaining[:SHARD_WINDOW]]))
            return
        self.fetch = None
        self.store.put(fetch.envelope, fetch.shards, fetch.neighbour.stream.peer)

    def _send_shards(self, neighbour: Neighbour, digests: list[bytes]) -> None:
        for digest in digests[:SHARD_WINDOW]:
            content = self.store.shards.get(digest.hex())
            if content is not None:
                neighbour.send(Shard(digest, content))

    def _handle_shard(self, neighbour: Neighbour, shard: Shard) -> None:
        fetch = self.fetch
        if fetch is None or fetch.neighbour is not neighbour or shard.digest.hex() not in fetch.missing_digests:
            return
        if not self.store.check_shard(fetch.envelope, shard.digest.hex(), shard.content, neighbour.stream.peer):
            neighbour.stream.abort()
            return
        fetch.shards[shard.digest.hex()] = shard.content
        fetch.expires_at = SYSTEM_CLOCK.monotonic() + FETCH_TIMEOUT_SECONDS
        if len(fetch.shards) % SHARD_WINDOW == 0 or len(fetch.shards) == len(fetch.missing_digests):
            self._continue_fetch(fetch)

    def _push(self, bundle: Bundle, source: str) -> None:
        for neighbour in self.neighbours():
            if neighbour.number < bundle.number:
                neighbour.send(self._make_push_message())

    def _make_push_message(self) -> Message:
        deltas = list(self.store.deltas.values())
        if deltas and deltas[-1].number == self.store.number and len(deltas[-1].encoded) <= MAX_PUSH_BYTES:
            return deltas[-1]
        return self.make_offer()
