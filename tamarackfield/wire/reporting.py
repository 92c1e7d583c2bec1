"""Reports of a sidecar to entries: the adapters of its target after each change, its load at a limited rate.

A sidecar may have streams from many entries, and its control traffic is limited. Small load reports
are sent at an interval that keeps the total rate of all streams below `REPORT_BYTES_PER_SECOND`. The
longer list of adapters is sent only when it changes. An unchanged load report is suppressed until
`MAX_REPORT_INTERVAL_SECONDS` have passed since the last one.
"""

import asyncio
import functools
import operator
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Protocol

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.wire.messages import Holdings, LoadReport
from tamarackfield.wire.stream import PeerBusyError, PeerStream, StreamClosedError

#: Shortest interval between two load reports to an entry.
MIN_REPORT_INTERVAL_SECONDS = 0.1
#: Interval between two load reports to an entry while nothing changes.
MAX_REPORT_INTERVAL_SECONDS = 1.0
#: Limit on the rate of load reports of one sidecar, over all its streams.
REPORT_BYTES_PER_SECOND = 6000
#: Size of one encoded load report, for computing the interval.
REPORT_BYTES = 50


class ReportSource(Protocol):
    """Source of the reported state, implemented by peer servers."""

    streams: set[PeerStream]

    def holdings(self) -> Holdings:
        """Return the loaded and loading adapters of the target."""

    def report(self) -> LoadReport:
        """Return the load of the target."""


@dataclass(slots=True)
class SentState:
    """Last reports sent on one stream; ``report_sent_at`` is in monotonic seconds."""

    holdings: Holdings | None = None
    report: LoadReport | None = None
    report_sent_at: float = 0.0


def report_interval_seconds(stream_count: int) -> float:
    """Return the interval between two load reports on one stream, in seconds.

    Parameters
    ----------
    stream_count : int
        Number of streams on which the sidecar reports.

    Returns
    -------
    float
        At least `MIN_REPORT_INTERVAL_SECONDS`; proportional to the number of streams once the rate limit is reached.

    Examples
    --------
    >>> report_interval_seconds(3)
    0.1
    >>> report_interval_seconds(120)
    1.0
    """
    return max(MIN_REPORT_INTERVAL_SECONDS, stream_count * REPORT_BYTES / REPORT_BYTES_PER_SECOND)


def send_changed_reports(stream: PeerStream, sent: SentState, holdings: Holdings, report: LoadReport) -> None:
    """Send the reports that changed since they were last sent on a stream.

    Parameters
    ----------
    stream : PeerStream
        Stream to an entry.
    sent : SentState
        Last reports sent on the stream; updated in place.
    holdings, report
        Current state of the target.

    Raises
    ------
    StreamClosedError, PeerBusyError
        If the stream is closed or its write buffer is full.
    """
    if holdings is not sent.holdings and holdings != sent.holdings:
        stream.send(holdings)
        sent.holdings = holdings
    now = SYSTEM_CLOCK.monotonic()
    if now < sent.report_sent_at + MAX_REPORT_INTERVAL_SECONDS and is_same_load(report, sent.report):
        return
    stream.send(report)
    sent.report = report
    sent.report_sent_at = now


def is_same_load(report: LoadReport, sent: LoadReport | None) -> bool:
    """Return whether two reports differ at most by the time at which they were made.

    Examples
    --------
    >>> from dataclasses import replace
    >>> report = LoadReport(5, 1, True, 8, 0, 0, 4, 0, 250, 900, 12)
    >>> is_same_load(report, replace(report, unix_ms=6)), is_same_load(report, replace(report, running=1))
    (True, False)
    """
    if report is sent:
        return True
    if sent is None or report.kind != sent.kind:
        return False
    read_load = _load_getter(type(report))
    return read_load(report) == read_load(sent)


@functools.cache
def _load_getter(report_type: type[LoadReport]) -> Callable[[LoadReport], object]:
    return operator.attrgetter(*(field.name for field in fields(report_type) if field.name != 'unix_ms'))


async def report_changes(source: ReportSource, stream: PeerStream) -> None:
    """Send reports to one entry until its stream closes.

    Parameters
    ----------
    source : ReportSource
        Source of the target's state and the number of streams.
    stream : PeerStream
        Stream to the entry.
    """
    sent = SentState()
    while not stream.closed:
        try:
            send_changed_reports(stream, sent, source.holdings(), source.report())
        except (StreamClosedError, PeerBusyError):
            return
        await asyncio.sleep(report_interval_seconds(len(source.streams)))
