"""Logs on standard output whose volume is bounded, and which never make the process wait.

Each kind of event has its own allowance, so that a flood of one does not hide the others. What was
left out is counted and told once a second. A reader that does not keep up loses whole lines.
"""

import os
import sys
import time
from collections import Counter
from typing import Any

from tamarackfield.observe.logs import format_pair, install_sink

#: Lines of one kind of event that are written in a second; more than the requests that one entry
#: finishes in a second at its design load.
LINES_PER_SECOND = 150
#: Bytes that may wait for a slow reader.
MAX_WAITING_BYTES = 262_144


class BoundedSink:
    """Writes log lines to a file descriptor.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is set not to block.
    lines_per_second : int
        Of one kind of event.
    """

    def __init__(self, descriptor: int, lines_per_second: int = LINES_PER_SECOND) -> None:
        """Start with nothing written."""
        self.descriptor = descriptor
        self.lines_per_second = lines_per_second
        self.second = 0
        self.written: Counter[str] = Counter()
        self.left_out: Counter[str] = Counter()
        self.waiting = b''
        os.set_blocking(descriptor, False)

    def __call__(self, message: Any) -> None:
        """Write one line, or count it as left out."""
        second = int(time.monotonic())
        if second != self.second:
            self.begin_second(second)
        event = message.record['message']
        self.written[event] += 1
        if self.written[event] > self.lines_per_second:
            self.left_out[event] += 1
            return
        self._write(str(message), event)

    def begin_second(self, second: int) -> None:
        """Start to count anew, and tell what was left out."""
        self.second = second
        self.written.clear()
        counts = dict(self.left_out)
        self.left_out.clear()
        for event, count in counts.items():
            pairs = (('event', 'lines_left_out'), ('kind', event), ('count', count))
            line = ' '.join(format_pair(key, value) for key, value in pairs)
            self._write(f'{line}\n', 'lines_left_out')

    def _write(self, line: str, event: str) -> None:
        encoded = line.encode()
        if len(self.waiting) + len(encoded) > MAX_WAITING_BYTES:
            self.left_out[event] += 1
            return
        self.waiting += encoded
        try:
            self.waiting = self.waiting[os.write(self.descriptor, self.waiting) :]
        except BlockingIOError:
            return


def configure_bounded_logs(instance: str, level: str) -> None:
    """Send this process's log to standard output, bounded.

    Parameters
    ----------
    instance : str
        Name of the instance, put on each line.
    level : str
        Least severe level that is written, such as ``INFO``.
    """
    install_sink(BoundedSink(sys.stdout.fileno()), instance, level)
