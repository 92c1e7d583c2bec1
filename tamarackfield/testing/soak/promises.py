"""Checks the promises of the direct edge against the records of callers and workers."""

import bisect
import collections
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

from tamarackfield.testing.platform_site import (
    CONTACT_SECONDS,
    MAX_TARGETS_PER_CALL,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    RETRY_ALLOWANCE,
    RETRY_RATIO,
    RETRY_WINDOW_SECONDS,
)
from tamarackfield.testing.platform_worker import PlatformWorker, Run
from tamarackfield.testing.soak.callers import AT_MOST_ONCE_PATHS, STREAM_PATHS, Call
from tamarackfield.testing.soak.crashes import check_late_requests, check_late_runs, check_refusal
from tamarackfield.testing.soak.limits import check_limits
from tamarackfield.testing.soak.losses import check_losses
from tamarackfield.testing.soak.outages import check_applied, is_disturbance
from tamarackfield.testing.soak.probes import Probe
from tamarackfield.testing.soak.notices import check_leaving, check_pauses
from tamarackfield.testing.soak.site import DrainWindow, SoakSite

#: Statuses which guarantee that a request did not run and will not run later.
NOT_RUN_STATUSES = (
    HTTPStatus.BAD_REQUEST,
    HTTPStatus.NOT_FOUND,
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
#: Time after a caller's disconnection within which a run may still start.
DISCONNECT_GRACE_SECONDS = 0.5
#: Time after the resumption of a paused process within which it may still act on stale state.
RESUME_GRACE_SECONDS = 0.3
#: Time before a worker's removal in which a fault may delay the notification of an entry.
NOTIFICATION_DELAY_SECONDS = 5.0
#: Faults that may delay a request or the notification that its caller disconnected.
REQUEST_DELAYING_FAULTS = ('link_disturbed', 'link_delayed', 'entry_paused', 'entry_held')
#: Faults that stop an entry or let it start again, and faults of links.
ENTRY_DISTURBING_FAULTS = ('entry_paused', 'entry_held', 'entry_killed', 'entry_stopped')
LINK_DISTURBING_FAULTS = ('link_disturbed', 'link_delayed', 'connections_reset')
#: Faults after which a worker's address has another incarnation, which has asked for no pause.
WORKER_RESTARTING_FAULTS = ('worker_restarted', 'worker_left', 'worker_replaced', 'worker_announced_leaving')
#: Faults that may delay the notification of an entry that a worker was removed.
NOTIFICATION_DELAYING_FAULTS = (
    *REQUEST_DELAYING_FAULTS,
    'store_failed',
    'leases_lapsed',
    'connections_reset',
    'entry_killed',
    'entry_stopped',
)
#: Faults that may delay the notice of a crash, or after which a process learns of it anew.
CRASH_NOTICE_DELAYING_FAULTS = (
    *REQUEST_DELAYING_FAULTS,
    'connections_reset',
    'entry_killed',
    'entry_stopped',
    'sidecar_killed',
    'sidecar_stopped',
    'sidecar_paused',
)
_EVENT_PATTERN = re.compile(rb'id: (\d+)\ndata: event (\d+)\n\n')


@dataclass(slots=True)
class Observations:
    """Calls and probes as recorded by callers; ``lag_seconds`` is the largest scheduling lag of the harness."""

    calls: dict[str, Call] = field(default_factory=dict)
    probes: list[Probe] = field(default_factory=list)
    lag_seconds: float = 0.0


def check_call(call: Call, runs: list[tuple[str, Run]], events: int) -> Iterable[str]:
    """Yield the violations in the answer to a call.

    Parameters
    ----------
    call : Call
        Call that has ended.
    runs : list of pairs
        Worker names and their runs of the call.
    events : int
        Number of events of a complete stream.

    Yields
    ------
    str
        Description of one violation.
    """
    if call.path in AT_MOST_ONCE_PATHS and len(runs) > 1:
        yield f'{call.request_id} ran {len(runs)} times'
    if len({worker for worker, _ in runs}) > MAX_TARGETS_PER_CALL:
        yield f'{call.request_id} ran at more than {MAX_TARGETS_PER_CALL} workers'
    if call.status in NOT_RUN_STATUSES and runs:
        yield f'{call.request_id} got {call.status} and ran'
    if call.status == HTTPStatus.NOT_FOUND:
        yield f'{call.request_id} got 404 on {call.path}'
    if call.status == HTTPStatus.SERVICE_UNAVAILABLE and not call.retry_after:
        yield f'{call.request_id} got 503 without Retry-After'
    yield from check_refusal(call)
    if call.path in STREAM_PATHS:
        yield from _check_stream(call, events)
    elif call.is_answered_successfully() and not any(
        call.body == f'{name} ran {call.request_id}'.encode() for name, _ in runs
    ):
        yield f'{call.request_id} got an answer that none of its runs produced: {call.body!r}'


def _check_stream(call: Call, events: int) -> Iterable[str]:
    if call.status != HTTPStatus.OK:
        return
    numbers = [(int(first), int(second)) for first, second in _EVENT_PATTERN.findall(call.body)]
    expected = [(number, number) for number in range(1, events + 1)]
    if numbers != expected[: len(numbers)]:
        yield f'{call.request_id} got events {numbers}'
    complete_body = b''.join(b'id: %d\ndata: event %d\n\n' % pair for pair in expected)
    if call.complete and call.body != complete_body:
        yield f'{call.request_id} got a stream that ended without an error but is incomplete: {call.body!r}'


def check_probes(probes: list[Probe]) -> Iterable[str]:
    """Yield the cases in which a process reverted to an earlier configuration."""
    served_probes: dict[tuple[str, int], list[Probe]] = collections.defaultdict(list)
    for probe in probes:
        if probe.status and probe.status not in {HTTPStatus.NOT_FOUND, HTTPStatus.SERVICE_UNAVAILABLE}:
            served_probes[probe.entry, probe.process_id].append(probe)
    for probe in probes:
        if probe.status != HTTPStatus.NOT_FOUND:
            continue
        for earlier in served_probes[probe.entry, probe.process_id]:
            if earlier.version >= probe.version and earlier.ended_at < probe.sent_at:
                yield f'{probe.entry} answered 404 for version {probe.version} after serving version {earlier.version}'


def check_retries(arrivals: list[tuple[float, str]], requested: list[float]) -> Iterable[str]:
    """Yield a violation if the retries of a window exceed the retry budget.

    Parameters
    ----------
    arrivals : list of pairs
        Arrival in monotonic seconds and id of each request that reached the workers of one service.
    requested : list of float
        Monotonic seconds at which callers sent requests to the service.

    Yields
    ------
    str
        Description of the first such window.
    """
    seen_ids: set[str] = set()
    retry_times: list[float] = []
    for at, request_id in sorted(arrivals):
        if request_id in seen_ids:
            retry_times.append(at)
        seen_ids.add(request_id)
    requested = sorted(requested)
    for index, begins_at in enumerate(retry_times):
        count = bisect.bisect_left(retry_times, begins_at + RETRY_WINDOW_SECONDS) - index
        request_count = max(
            _count_in_window(requested, begins_at - offset)
            for offset in (0, RETRY_WINDOW_SECONDS / 2, RETRY_WINDOW_SECONDS)
        )
        if count > RETRY_RATIO * request_count + RETRY_ALLOWANCE:
            yield f'{count} retries in the window from {begins_at:.2f} with {request_count} requests'
            return


def _count_in_window(times: list[float], begins_at: float) -> int:
    return bisect.bisect_left(times, begins_at + RETRY_WINDOW_SECONDS) - bisect.bisect_left(times, begins_at)


def check_all(site: SoakSite, observations: Observations) -> None:
    """Record every violation of a completed soak test."""
    runs: dict[str, list[tuple[str, Run]]] = collections.defaultdict(list)
    for worker in site.workers.values():
        for run in worker.runs:
            runs[run.request_id].append((run.worker, run))
    for call in observations.calls.values():
        _check_recorded_call(site, observations, call, runs[call.request_id])
    check_losses(site, observations.calls.values(), runs)
    sent_ids = observations.calls.keys() | {probe.request_id for probe in observations.probes}
    for request_id in runs.keys() - sent_ids:
        site.record_violation(f'{request_id!r} ran although no caller sent it')
    for text in check_probes(observations.probes):
        site.record_violation(text)
    _check_applied(site, observations)
    _check_workers(site, observations)


def _check_applied(site: SoakSite, observations: Observations) -> None:
    disturbances = tuple({incident.name for incident in site.incidents if is_disturbance(incident.name)})

    def is_excused(since: float, until: float) -> bool:
        return site.overlaps_fault(disturbances, since - observations.lag_seconds, until)

    for text in check_applied(observations.probes, site.changed_at, is_excused):
        site.record_violation(text)


def _check_recorded_call(site: SoakSite, observations: Observations, call: Call, runs: list[tuple[str, Run]]) -> None:
    events = next(iter(site.workers.values())).event_count
    for text in check_call(call, runs, events):
        site.record_violation(f'{text} ({call.entry})', call.sent_at)
    if call.timed_out and not site.overlaps_fault(('entry_paused', 'entry_held'), call.deadline, call.ended_at):
        site.record_violation(
            f'{call.request_id} was still unanswered by {call.entry} after its deadline and the grace period',
            call.sent_at,
        )
    latest_start = (
        min(call.deadline, call.disconnected_at or call.deadline) + DISCONNECT_GRACE_SECONDS + observations.lag_seconds
    )
    for worker, run in runs:
        late = run.began_at - latest_start
        if late > 0 and not site.overlaps_fault(
            REQUEST_DELAYING_FAULTS, call.sent_at - RESUME_GRACE_SECONDS, run.began_at
        ):
            site.record_violation(
                f'{call.request_id} began at {worker} {late:.2f} s after its caller disconnected', call.sent_at
            )


def _check_workers(site: SoakSite, observations: Observations) -> None:
    for worker in site.workers.values():
        if worker.crash_reason:
            site.record_violation(f'{worker.name} exceeded its capacity: {worker.crash_reason}')
    _check_notices(site, observations)
    _check_limits(site, observations)
    check_late_runs(site, CRASH_NOTICE_DELAYING_FAULTS)
    check_late_requests(site, observations.calls, partial(_is_entry_disturbed, site))
    for drain_window in site.drain_windows:
        _check_drain_window(site, observations, drain_window)
    for service in (PLAIN_SERVICE, MODEL_SERVICE):
        arrivals = [arrival for worker in site.get_service_workers(service) for arrival in worker.list_arrivals()]
        requested = [
            call.sent_at
            for call in observations.calls.values()
            if (call.path in STREAM_PATHS) != (service == PLAIN_SERVICE)
        ]
        for text in check_retries(arrivals, requested):
            site.record_violation(f'{service}: {text}')


def _check_notices(site: SoakSite, observations: Observations) -> None:
    workers = site.workers.values()
    for text, at in check_leaving(observations.calls, [run for worker in workers for run in worker.runs]):
        site.record_violation(text, at)
    for worker in workers:
        for text, asked_at, ends_at in check_pauses(observations.calls, worker):
            if not site.overlaps_fault((*REQUEST_DELAYING_FAULTS, *WORKER_RESTARTING_FAULTS), asked_at, ends_at):
                site.record_violation(text, asked_at)


def _is_entry_disturbed(site: SoakSite, entry: str, since: float, until: float) -> bool:
    """Return whether an entry was disturbed, or a link, which may be one of its links."""
    disturbed = site.overlaps_fault(ENTRY_DISTURBING_FAULTS, since, until, entry)
    return disturbed or site.overlaps_fault(LINK_DISTURBING_FAULTS, since, until)


def _check_limits(site: SoakSite, observations: Observations) -> None:
    for stated in site.stated_limits:
        for text, at in check_limits(observations.calls, stated, partial(_is_entry_disturbed, site)):
            site.record_violation(text, at)


def _check_drain_window(site: SoakSite, observations: Observations, drain_window: DrainWindow) -> None:
    worker: PlatformWorker = drain_window.worker
    begins_at = drain_window.begins_at + observations.lag_seconds
    late = [
        at
        for at, _ in worker.list_arrivals()
        if begins_at < at < drain_window.ends_at
        and not site.overlaps_fault(('store_silent',), at - CONTACT_SECONDS - observations.lag_seconds, at)
    ]
    if late and not site.overlaps_fault(
        NOTIFICATION_DELAYING_FAULTS, drain_window.begins_at - NOTIFICATION_DELAY_SECONDS, late[0]
    ):
        site.record_violation(
            f'{worker.name} got a request {late[0] - begins_at:.2f} s after the end of its drain', late[0]
        )
