"""Messages for the dissemination of bundles between peers; digests are encoded as 32 raw bytes."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import Message


@dataclass(frozen=True, slots=True)
class BundleOffer(Message):
    """The bundle in force at the sender; number 0 and an empty digest before the first bundle."""

    kind = 40
    number: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class BundleDelta(Message):
    """Difference between the bundle with digest ``base`` and bundle ``number``."""

    kind = 41
    number: int
    base: bytes
    encoded: bytes


@dataclass(frozen=True, slots=True)
class BundleWant(Message):
    """Request for the newest bundle; ``base`` is the digest of the sender's bundle, empty if it has none."""

    kind = 42
    base: bytes


@dataclass(frozen=True, slots=True)
class BundleManifest(Message):
    """A complete envelope, and the envelopes of previous bundles that changed the signing keys."""

    kind = 43
    envelope: bytes
    rotations: list[bytes]


@dataclass(frozen=True, slots=True)
class ShardWant(Message):
    """Request for shards by digest."""

    kind = 44
    digests: list[bytes]


@dataclass(frozen=True, slots=True)
class Shard(Message):
    """Content of one shard; the receiver verifies it against the digest."""

    kind = 45
    digest: bytes
    content: bytes


@dataclass(frozen=True, slots=True)
class WatchBeat(Message):
    """Heartbeat of a process that watches the configuration service for its zone.

    ``watcher`` contains the instance name and the incarnation; ``sequence`` counts its heartbeats.
    """

    kind = 46
    zone: str
    watcher: str
    sequence: int


@dataclass(frozen=True, slots=True)
class PeerSample(Message):
    """Address of the sender, and a sample of the peers that it knows, each as address and zone."""

    kind = 47
    address: str
    peers: list[list[str]]


#: Message types of this module by kind.
DISSEMINATION_TYPES = {
    message_type.kind: message_type
    for message_type in (
        BundleOffer,
        BundleDelta,
        BundleWant,
        BundleManifest,
        ShardWant,
        Shard,
        WatchBeat,
        PeerSample,
    )
}

register_message_types(DISSEMINATION_TYPES)
