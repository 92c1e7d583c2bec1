"""Rate-limited, non-blocking logs on standard output.

Each event type has its own rate limit, so that many lines of one event do not displace those of
other events. The lines dropped of each event are counted and logged once a second. A reader that
does not keep up loses whole lines.
"""

import os
import sys
import time
from collections import Counter
from typing import Any

from tamarackfield.observe.logs import format_pair, install_sink

#: Lines of one event that are written in a second; more than the number of requests that one
#: entry finishes in a second at its design load.
LINES_PER_SECOND = 150
#: Limit of the buffer for lines that a slow reader has not read yet.
MAX_BUFFERED_BYTES = 262_144


class RateLimitedSink:
    """Log sink that writes to a file descriptor with a rate limit for each event and never blocks.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    lines_per_second : int
        Maximum number of lines of one event that are written in a second.
    """

    def __init__(self, descriptor: int, lines_per_second: int = LINES_PER_SECOND) -> None:
        """Create a sink and set its descriptor to non-blocking mode."""
        self.descriptor = descriptor
        self.lines_per_second = lines_per_second
        self.current_second = 0
        self.line_counts: Counter[str] = Counter()
        self.dropped_lines: Counter[str] = Counter()
        self.buffer = b''
        os.set_blocking(descriptor, False)

    def __call__(self, message: Any) -> None:
        """Write one line, or drop and count it."""
        second = int(time.monotonic())
        if second != self.current_second:
            self.begin_second(second)
        event = message.record['message']
        self.line_counts[event] += 1
        if self.line_counts[event] > self.lines_per_second:
            self.dropped_lines[event] += 1
            return
        self._write(str(message), event)

    def begin_second(self, second: int) -> None:
        """Reset the rate limits and log how many lines of each event were dropped."""
        self.current_second = second
        self.line_counts.clear()
        counts = dict(self.dropped_lines)
        self.dropped_lines.clear()
        for event, count in counts.items():
            pairs = (('event', 'lines_left_out'), ('kind', event), ('count', count))
            line = ' '.join(format_pair(key, value) for key, value in pairs)
            self._write(f'{line}\n', 'lines_left_out')

    def _write(self, line: str, event: str) -> None:
        encoded = line.encode()
        if len(self.buffer) + len(encoded) > MAX_BUFFERED_BYTES:
            self.dropped_lines[event] += 1
            return
        self.buffer += encoded
        try:
            self.buffer = self.buffer[os.write(self.descriptor, self.buffer) :]
        except BlockingIOError:
            return


def configure_rate_limited_logs(instance: str, level: str) -> None:
    """Send the log of this process to standard output through a `RateLimitedSink`.

    Parameters
    ----------
    instance : str
        Instance name, written on each line.
    level : str
        Lowest level that is written, such as ``INFO``.
    """
    install_sink(RateLimitedSink(sys.stdout.fileno()), instance, level)
