"""Checks of what workers say in their answers: that they leave, or want no request for a while."""

from collections.abc import Iterable

from tamarackfield.testing.platform_site import DRAIN_SECONDS
from tamarackfield.testing.platform_worker import PlatformWorker, Run
from tamarackfield.testing.soak.callers import Call

#: Time after a request to pause from which, and number of requests up to which, further ones are allowed.
PAUSE_GRACE_SECONDS = 0.5
MAX_REQUESTS_IN_PAUSE = 2


def check_leaving(calls: dict[str, Call], runs: Iterable[Run]) -> Iterable[tuple[str, float]]:
    """Yield the runs of calls that an entry took too long after it had passed on that their worker leaves.

    Parameters
    ----------
    calls : dict
        Calls by request id.
    runs : iterable of Run
        Runs of all workers.

    Yields
    ------
    tuple
        Description and time of one violation.
    """
    known_runs = [(calls[run.request_id], run) for run in runs if run.request_id in calls]
    passed_on_at: dict[tuple[object, ...], float] = {}
    for call, run in known_runs:
        if run.announced_leaving and call.complete:
            key = _make_key(call, run)
            passed_on_at[key] = min(call.ended_at, passed_on_at.get(key, call.ended_at))
    for call, run in known_runs:
        limit = passed_on_at.get(_make_key(call, run), float('inf')) + DRAIN_SECONDS
        if call.sent_at > limit:
            yield f'{call.entry} sent {call.request_id} to {run.worker}, which had said that it leaves', run.began_at


def check_pauses(calls: dict[str, Call], worker: PlatformWorker) -> Iterable[tuple[str, float, float]]:
    """Yield the pauses that a worker asked an entry for and in which too many requests reached it from there.

    Yields
    ------
    tuple
        Description of one violation, and time at which the pause began and ended.
    """
    arrivals = [(at, calls[request_id]) for at, request_id in worker.list_arrivals() if request_id in calls]
    for refusal in worker.refusals:
        call = calls.get(refusal.request_id)
        if call is None or not refusal.retry_after:
            continue
        begins_at, ends_at = refusal.at + PAUSE_GRACE_SECONDS, refusal.at + float(refusal.retry_after)
        source = (call.entry, call.process_id)
        count = sum(begins_at < at < ends_at and source == (other.entry, other.process_id) for at, other in arrivals)
        if count > MAX_REQUESTS_IN_PAUSE:
            yield f'{count} requests of {call.entry} reached {worker.name} in a pause', refusal.at, ends_at


def _make_key(call: Call, run: Run) -> tuple[object, ...]:
    return run.worker, run.incarnation, call.entry, call.process_id
