"""Parsing of event streams: boundaries and numbers of events."""

import re

_EVENT_ID = re.compile(rb'(?:^|[\r\n])id: ?(\d{1,18})(?=[\r\n]|$)')
_LINE_ENDS = b'\r\n'
#: A blank line; lines end with LF, CR LF or CR.
_EVENT_END = re.compile(rb'\n\n|\r\n\r\n|\r\r')
_LONGEST_EVENT_END = 4
#: Limit of one event, in bytes; the events of model workers have some hundred bytes.
MAX_EVENT_BYTES = 262_144
#: Comments in a row, without an event between them, above which a stream goes nowhere: more than a heartbeat in each
#: hundredth of a second of the longest stream.
MAX_COMMENTS = 4096


class EventSplitter:
    r"""Incremental splitter of a stream into complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    [b'id: 1\ndata: a\n\n']
    >>> splitter.is_inside_event()
    True
    >>> splitter.feed(b'ta: b\n\n')
    [b'id: 2\ndata: b\n\n']
    """

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self.buffered = bytearray()
        # Number of comments since the last event that has a field.
        self.comments = 0

    def feed(self, chunk: bytes) -> list[bytes]:
        """Append bytes and return the events that are now complete, each with its blank line.

        Parameters
        ----------
        chunk : bytes
            Next bytes of the stream; events may be split between chunks.
        """
        scan_from = max(0, len(self.buffered) - _LONGEST_EVENT_END + 1)
        self.buffered += chunk
        events = []
        event_start = 0
        for end in _EVENT_END.finditer(self.buffered, scan_from):
            events.append(bytes(self.buffered[event_start : end.end()]))
            self.comments = self.comments + 1 if events[-1].lstrip().startswith(b':') else 0
            event_start = end.end()
        if event_start:
            self.buffered = self.buffered[event_start:]
        return events

    def exceeds_limit(self) -> bool:
        """Return whether the incomplete event is larger than `MAX_EVENT_BYTES`, or comments follow without an end."""
        return len(self.buffered) > MAX_EVENT_BYTES or self.comments > MAX_COMMENTS

    def is_inside_event(self) -> bool:
        """Return whether the bytes after the last complete event begin a further one."""
        return bool(self.buffered.strip(_LINE_ENDS))


def event_number(event: bytes) -> int:
    r"""Return the number in the ``id`` field of an event, 0 if it has none.

    Examples
    --------
    >>> event_number(b'weight: 2\nid: 17\ndata: x\n')
    17
    """
    found = _EVENT_ID.search(event)
    return int(found.group(1)) if found else 0
