"""Messages about runs that broke off, and about the ends of engines."""

from dataclasses import dataclass

from tamarackfield.wire.codec import register_message_types
from tamarackfield.wire.messages import Message


@dataclass(frozen=True, slots=True)
class BrokenRun(Message):
    """The connection of a run ended before its answer did.

    ``target`` and ``started_ms`` identify the incarnation that ran it, ``label`` is the caller's request id.
    ``has_begun`` is whether the head of the answer arrived, ``wrote_ms`` the time from the first part of its body
    to the last. ``parts`` are the ids of the parts of its prompt that other requests may have as well.
    """

    kind = 70
    target: str
    started_ms: int
    label: str
    has_begun: bool
    wrote_ms: int
    parts: list[str]


#: Message types of this module by kind.
CRASH_REPORT_TYPES = {message_type.kind: message_type for message_type in (BrokenRun,)}

register_message_types(CRASH_REPORT_TYPES)
