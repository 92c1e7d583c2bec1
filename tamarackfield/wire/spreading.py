"""Messages with which bundles spread between peers; digests travel as 32 raw bytes."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_types
from tamarackfield.wire.messages import Message


@dataclass(frozen=True, slots=True)
class BundleOffer(Message):
    """The bundle that is in force in the sender; number 0 and no digest before the first."""

    kind = 40
    number: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class BundleDelta(Message):
    """Changes from the bundle with the digest ``base`` to the bundle ``number``."""

    kind = 41
    number: int
    base: bytes
    encoded: bytes


@dataclass(frozen=True, slots=True)
class BundleWant(Message):
    """The sender has the bundle with the digest ``base`` (empty for none) and asks for the newest."""

    kind = 42
    base: bytes


@dataclass(frozen=True, slots=True)
class BundleManifest(Message):
    """A whole envelope, and the envelopes of earlier bundles that changed the signing keys."""

    kind = 43
    envelope: bytes
    rotations: list[bytes]


@dataclass(frozen=True, slots=True)
class ShardWant(Message):
    """The sender asks for shards by digest."""

    kind = 44
    digests: list[bytes]


@dataclass(frozen=True, slots=True)
class Shard(Message):
    """Content of one shard; the receiver checks it against the digest."""

    kind = 45
    digest: bytes
    content: bytes


@dataclass(frozen=True, slots=True)
class WatchBeat(Message):
    """A process of a zone says that it watches the configuration service.

    ``watcher`` names the instance and its incarnation; ``sequence`` counts its beats.
    """

    kind = 46
    zone: str
    watcher: str
    sequence: int


@dataclass(frozen=True, slots=True)
class PeerSample(Message):
    """Where the sender is reached, and some of the peers that it knows, as address and zone."""

    kind = 47
    address: str
    peers: list[list[str]]


#: Message types of this module by kind.
SPREADING_TYPES = {
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

register_types(SPREADING_TYPES)
