"""Parsing of event streams: boundaries and numbers of events."""

import re

_EVENT_ID = re.compile(rb'(?:^|\n)id: ?(\d{1,18})(?=\n|$)')
_EVENT_END = b'\n\n'


class EventSplitter:
    r"""Incremental splitter of a stream into complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    [(1, b'id: 1\ndata: a\n\n')]
    >>> splitter.feed(b'ta: b\n\n')
    [(2, b'id: 2\ndata: b\n\n')]
    """

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self.buffered = b''

    def feed(self, chunk: bytes) -> list[tuple[int, bytes]]:
        """Append bytes and return the events that are now complete, each with its number.

        Parameters
        ----------
        chunk : bytes
            Next bytes of the stream; events may be split between chunks.

        Returns
        -------
        list of tuple
            Number, 0 if the event has none, and the bytes including the blank line.
        """
        *complete, remainder = (self.buffered + chunk).split(_EVENT_END)
        self.buffered = remainder
        return [(event_number(event), event + _EVENT_END) for event in complete]


def event_number(event: bytes) -> int:
    r"""Return the number in the ``id`` field of an event, 0 if it has none.

    Examples
    --------
    >>> event_number(b'weight: 2\nid: 17\ndata: x\n')
    17
    """
    found = _EVENT_ID.search(event)
    return int(found.group(1)) if found else 0
