"""Messages by which entries tell each other how recently their configurations were known to be current."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import Message


@dataclass(frozen=True, slots=True)
class AskFreshness(Message):
    """Question for the proof of an entry, answered by `Freshness`.

    ``version`` and ``revision`` are those of the sender's configuration, both 0 without one.
    """

    kind = 85
    version: int
    revision: int


@dataclass(frozen=True, slots=True)
class Freshness(Message):
    """Answer to `AskFreshness`.

    ``age_ms`` is the age of the sender's proof, if ``proven``. ``version`` and ``revision`` are those of its
    configuration; ``key`` and ``payload`` are its item, empty unless it is newer than that of the asking entry.
    ``incarnation`` is that of the sender, which may have asked itself at another of its addresses.
    """

    kind = 86
    proven: bool
    age_ms: int
    version: int
    revision: int
    key: str
    payload: bytes
    incarnation: int


register_message_types({message_type.kind: message_type for message_type in (AskFreshness, Freshness)})
