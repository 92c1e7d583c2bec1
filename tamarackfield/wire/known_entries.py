"""Messages by which entries tell each other of the entries that they know."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import Message


@dataclass(frozen=True, slots=True)
class AskEntries(Message):
    """Entries that the sender knows, itself among them; answered by `KnownEntries`.

    ``ages_ms`` says how long ago each was last known to run, in the order of the addresses.
    """

    kind = 77
    addresses: list[str]
    ages_ms: list[int]


@dataclass(frozen=True, slots=True)
class KnownEntries(Message):
    """Answer to `AskEntries`, with the same fields."""

    kind = 78
    addresses: list[str]
    ages_ms: list[int]


register_message_types({message_type.kind: message_type for message_type in (AskEntries, KnownEntries)})
