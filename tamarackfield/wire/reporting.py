"""Reports to entries: what a target holds when that changes, how busy it is at a bounded pace.

A sidecar may have streams from many entries, and its control traffic is limited. Small load
reports go out at a pace that keeps all streams together below `REPORT_BYTES_PER_SECOND`; the
longer list of adapters goes out only when it changed. A report that says the same as the one
before is left out until `QUIET_INTERVAL` has passed.
"""

import asyncio
from dataclasses import dataclass, replace
from typing import Protocol

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.wire.messages import Holdings, LoadReport
from tamarackfield.wire.stream import PeerBusyError, PeerStream, StreamClosedError

#: Shortest time between two load reports to an entry, in seconds.
REPORT_INTERVAL = 0.1
#: Longest time between two load reports to an entry when nothing changes, in seconds.
QUIET_INTERVAL = 1.0
#: Bytes of load reports that one sidecar sends a second, over all its streams.
REPORT_BYTES_PER_SECOND = 2000
#: Size of one load report on the wire, in bytes, used to set the pace.
REPORT_BYTES = 50


class Reporter(Protocol):
    """What a report is made from."""

    streams: set[PeerStream]

    def holdings(self) -> Holdings:
        """Return the adapters of the target."""

    def report(self) -> LoadReport:
        """Return how busy the target is."""


@dataclass(slots=True)
class Sent:
    """What one stream was told last, and when, in monotonic seconds."""

    holdings: Holdings | None = None
    report: LoadReport | None = None
    report_at: float = 0.0


def report_interval(streams: int) -> float:
    """Return the time between two load reports on one stream, in seconds.

    Parameters
    ----------
    streams : int
        Streams that the sidecar reports on.

    Returns
    -------
    float
        At least `REPORT_INTERVAL`; grows in proportion to the streams beyond the byte limit.

    Examples
    --------
    >>> report_interval(3)
    0.1
    >>> report_interval(40)
    1.0
    """
    return max(REPORT_INTERVAL, streams * REPORT_BYTES / REPORT_BYTES_PER_SECOND)


def send_changes(stream: PeerStream, sent: Sent, holdings: Holdings, report: LoadReport) -> None:
    """Send what a stream was not told yet.

    Parameters
    ----------
    stream : PeerStream
        To an entry.
    sent : Sent
        Brought up to date.
    holdings, report
        State of the target as of now.

    Raises
    ------
    StreamClosedError, PeerBusyError
        If the stream cannot take it.
    """
    if holdings != sent.holdings:
        stream.send(holdings)
        sent.holdings = holdings
    now = SYSTEM_CLOCK.monotonic()
    unchanged = sent.report is not None and replace(report, unix_ms=sent.report.unix_ms) == sent.report
    if unchanged and now < sent.report_at + QUIET_INTERVAL:
        return
    stream.send(report)
    sent.report = report
    sent.report_at = now


async def report_changes(server: Reporter, stream: PeerStream) -> None:
    """Report to one entry until its stream closes.

    Parameters
    ----------
    server : Reporter
        Gives the target's state and the number of streams.
    stream : PeerStream
        To the entry.
    """
    sent = Sent()
    while not stream.closed:
        try:
            send_changes(stream, sent, server.holdings(), server.report())
        except (StreamClosedError, PeerBusyError):
            return
        await asyncio.sleep(report_interval(len(server.streams)))
