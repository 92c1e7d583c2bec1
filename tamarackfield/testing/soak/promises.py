"""Promises of the direct edge, checked from what callers and workers saw."""

import bisect
import collections
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

from tamarackfield.testing.platform_site import (
    MAX_TARGETS_PER_CALL,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    RETRY_ALLOWANCE,
    RETRY_RATIO,
    RETRY_WINDOW_SECONDS,
)
from tamarackfield.testing.platform_worker import PlatformWorker, Run
from tamarackfield.testing.soak.callers import ONCE, STREAMS, Call
from tamarackfield.testing.soak.site import Absence, SoakSite

#: Statuses that promise that a request did not run and never will.
NOT_RUN_STATUSES = (
    HTTPStatus.NOT_FOUND,
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
#: Seconds after a caller left in which a run may still begin.
LEAVING_SECONDS = 0.5
#: Seconds after a paused program went on in which it may still act on what it knew before.
THAW_SECONDS = 0.3
#: Seconds before a worker left in which trouble may keep an entry from learning of it.
NEWS_SECONDS = 5.0
#: Faults that may hold back a request, or the news that its caller left.
HOLDING = ('link_disturbed', 'link_delayed', 'entry_paused')
#: Faults that may keep an entry from learning that a worker left.
BLINDING = (*HOLDING, 'store_failed', 'leases_lapsed', 'connections_reset', 'entry_killed', 'entry_stopped')
_EVENT = re.compile(rb'id: (\d+)\ndata: event (\d+)\n\n')


@dataclass(slots=True)
class Probe:
    """What an entry said of a route that came with a version of the configuration."""

    request_id: str
    entry: str
    life: int
    version: int
    sent_at: float
    ended_at: float
    status: int


@dataclass(slots=True)
class Ledger:
    """Calls and probes by what callers saw; ``lag_seconds`` is the longest that the harness itself was late."""

    calls: dict[str, Call] = field(default_factory=dict)
    probes: list[Probe] = field(default_factory=list)
    lag_seconds: float = 0.0


def check_call(call: Call, runs: list[tuple[str, Run]], events: int) -> Iterable[str]:
    """Yield what is wrong with the answer to a call.

    Parameters
    ----------
    call : Call
        That ended.
    runs : list of pairs
        Workers and their runs of it.
    events : int
        Of a whole stream.

    Yields
    ------
    str
        One line for each broken promise.
    """
    if call.path in ONCE and len(runs) > 1:
        yield f'{call.request_id} ran {len(runs)} times'
    if len({worker for worker, _ in runs}) > MAX_TARGETS_PER_CALL:
        yield f'{call.request_id} ran at more than {MAX_TARGETS_PER_CALL} workers'
    if call.status in NOT_RUN_STATUSES and runs:
        yield f'{call.request_id} got {call.status} and ran'
    if call.status == HTTPStatus.NOT_FOUND:
        yield f'{call.request_id} got 404 on {call.path}'
    if call.status == HTTPStatus.SERVICE_UNAVAILABLE and not call.retry_after:
        yield f'{call.request_id} was not told when to come back'
    if call.path in STREAMS:
        yield from _check_stream(call, events)
    elif call.is_answered() and not any(call.body == f'{name} ran {call.request_id}'.encode() for name, _ in runs):
        yield f'{call.request_id} got an answer that no run of it gave: {call.body!r}'


def _check_stream(call: Call, events: int) -> Iterable[str]:
    if call.status != HTTPStatus.OK:
        return
    numbers = [(int(first), int(second)) for first, second in _EVENT.findall(call.body)]
    expected = [(number, number) for number in range(1, events + 1)]
    if numbers != expected[: len(numbers)]:
        yield f'{call.request_id} got events {numbers}'
    whole = b''.join(b'id: %d\ndata: event %d\n\n' % pair for pair in expected)
    if call.whole and call.body != whole:
        yield f'{call.request_id} got a stream that ended well but is not whole: {call.body!r}'


def check_probes(probes: list[Probe]) -> Iterable[str]:
    """Yield where a process went back to an earlier configuration."""
    found: dict[tuple[str, int], list[Probe]] = collections.defaultdict(list)
    for probe in probes:
        if probe.status and probe.status not in {HTTPStatus.NOT_FOUND, HTTPStatus.SERVICE_UNAVAILABLE}:
            found[probe.entry, probe.life].append(probe)
    for probe in probes:
        if probe.status != HTTPStatus.NOT_FOUND:
            continue
        for earlier in found[probe.entry, probe.life]:
            if earlier.version >= probe.version and earlier.ended_at < probe.sent_at:
                yield f'{probe.entry} said 404 for version {probe.version} after it had served {earlier.version}'


def check_retries(arrivals: list[tuple[float, str]], requested: list[float]) -> Iterable[str]:
    """Yield where a window has more attempts beyond the first than its requests allow.

    Parameters
    ----------
    arrivals : list of pairs
        Monotonic seconds and id of all that reached the workers of one service.
    requested : list of float
        Monotonic seconds at which callers sent requests to it.

    Yields
    ------
    str
        The first such window.
    """
    first: set[str] = set()
    repeats: list[float] = []
    for at, request_id in sorted(arrivals):
        if request_id in first:
            repeats.append(at)
        first.add(request_id)
    requested = sorted(requested)
    for index, begins_at in enumerate(repeats):
        count = bisect.bisect_left(repeats, begins_at + RETRY_WINDOW_SECONDS) - index
        asked = max(_count(requested, begins_at - back) for back in (0, RETRY_WINDOW_SECONDS / 2, RETRY_WINDOW_SECONDS))
        if count > RETRY_RATIO * asked + RETRY_ALLOWANCE:
            yield f'{count} repeats in the window from {begins_at:.2f} with {asked} requests'
            return


def _count(times: list[float], begins_at: float) -> int:
    return bisect.bisect_left(times, begins_at + RETRY_WINDOW_SECONDS) - bisect.bisect_left(times, begins_at)


def check_all(site: SoakSite, ledger: Ledger) -> None:
    """Note every broken promise of a soak that has ended."""
    runs: dict[str, list[tuple[str, Run]]] = collections.defaultdict(list)
    for worker in site.workers.values():
        for run in worker.runs:
            runs[run.request_id].append((run.worker, run))
    for call in ledger.calls.values():
        _check_one(site, ledger, call, runs[call.request_id])
    sent = ledger.calls.keys() | {probe.request_id for probe in ledger.probes}
    for request_id in runs.keys() - sent:
        site.violate(f'{request_id!r} ran and no caller sent it')
    for text in check_probes(ledger.probes):
        site.violate(text)
    _check_workers(site, ledger)


def _check_one(site: SoakSite, ledger: Ledger, call: Call, runs: list[tuple[str, Run]]) -> None:
    events = next(iter(site.workers.values())).event_count
    for text in check_call(call, runs, events):
        site.violate(f'{text} ({call.entry})', call.sent_at)
    if call.held and not site.struck(('entry_paused',), call.deadline, call.ended_at):
        site.violate(f'{call.request_id} was held at {call.entry} beyond its deadline', call.sent_at)
    gone_at = min(call.deadline, call.left_at or call.deadline) + LEAVING_SECONDS + ledger.lag_seconds
    for worker, run in runs:
        late = run.began_at - gone_at
        if late > 0 and not site.struck(HOLDING, call.sent_at - THAW_SECONDS, run.began_at):
            site.violate(f'{call.request_id} began at {worker} {late:.2f} s after its caller was gone', call.sent_at)


def _check_workers(site: SoakSite, ledger: Ledger) -> None:
    for worker in site.workers.values():
        if worker.crash_reason:
            site.violate(f'{worker.name} was overfilled: {worker.crash_reason}')
    for absence in site.absences:
        _check_absence(site, ledger, absence)
    for service in (PLAIN_SERVICE, MODEL_SERVICE):
        arrivals = [arrival for worker in site.workers_of(service) for arrival in worker.list_arrivals()]
        requested = [
            call.sent_at for call in ledger.calls.values() if (call.path in STREAMS) != (service == PLAIN_SERVICE)
        ]
        for text in check_retries(arrivals, requested):
            site.violate(f'{service}: {text}')


def _check_absence(site: SoakSite, ledger: Ledger, absence: Absence) -> None:
    worker: PlatformWorker = absence.worker
    begins_at = absence.begins_at + ledger.lag_seconds
    late = [at for at, _ in worker.list_arrivals() if begins_at < at < absence.ends_at]
    if late and not site.struck(BLINDING, absence.begins_at - NEWS_SECONDS, late[0]):
        site.violate(f'{worker.name} got a request {late[0] - begins_at:.2f} s after it had to be left', late[0])
