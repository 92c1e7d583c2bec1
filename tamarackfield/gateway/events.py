"""Events of a stream: where one ends, and which number it bears."""

import re

_EVENT_ID = re.compile(rb'(?:^|\n)id: ?(\d{1,18})(?=\n|$)')
_END = b'\n\n'


class EventSplitter:
    r"""Cuts a stream into whole events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    [(1, b'id: 1\ndata: a\n\n')]
    >>> splitter.feed(b'ta: b\n\n')
    [(2, b'id: 2\ndata: b\n\n')]
    """

    def __init__(self) -> None:
        """Start with nothing buffered."""
        self.buffered = b''

    def feed(self, chunk: bytes) -> list[tuple[int, bytes]]:
        """Take in bytes and return the events that are now whole, each with its number.

        Parameters
        ----------
        chunk : bytes
            In any cut.

        Returns
        -------
        list of tuple
            Number, 0 if the event bears none, and the bytes with the blank line.
        """
        *whole, rest = (self.buffered + chunk).split(_END)
        self.buffered = rest
        return [(event_number(event), event + _END) for event in whole]


def event_number(event: bytes) -> int:
    r"""Return the number of an event, 0 if it bears none.

    Examples
    --------
    >>> event_number(b'weight: 2\nid: 17\ndata: x\n')
    17
    """
    found = _EVENT_ID.search(event)
    return int(found.group(1)) if found else 0
