"""Workers that state how many requests a second they take, and the check that all entries together keep to it."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.platform_worker import PlatformWorker
from tamarackfield.testing.soak.callers import Call
from tamarackfield.testing.soak.plan import PlannedFault
from tamarackfield.testing.soak.site import SoakSite

#: Time after the first statement of a limit from which it is to be kept, and length of a window, in seconds.
CONTACT_SECONDS, WINDOW_SECONDS = 3.0, 4.0
#: Time after an answer with a limit from which its entry is to know of it, in seconds.
TOLD_SECONDS = 0.5
#: Share of the faults in which all workers of a service state a limit.
ALL_WORKERS_SHARE = 0.5
#: Bounds of a limit in requests per second, and share to which some fall midway.
LOWEST_LIMIT, HIGHEST_LIMIT = 0.5, 5.0
FALLEN_SHARE = 0.5

#: Whether a fault of an entry, or of its links, overlapped a period.
IsExcused = Callable[[str, float, float], bool]


@dataclass(slots=True)
class StatedLimit:
    """Limit that an incarnation of a worker stated for a time, the highest if it fell."""

    worker: PlatformWorker
    incarnation: int
    limit: float
    begins_at: float
    ends_at: float = float('inf')


async def state_limit(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Let one worker, or all of a service, state a limit; some limits fall before they end."""
    chosen = list(site.workers.values())[int(step.target_share * len(site.workers))]
    workers = site.get_service_workers(chosen.service) if step.variant_share < ALL_WORKERS_SHARE else [chosen]
    limit = LOWEST_LIMIT + step.target_share * (HIGHEST_LIMIT - LOWEST_LIMIT)
    workers = [worker for worker in workers if not worker.request_limit]
    incident.where = ' '.join([*(worker.name for worker in workers), f'{limit:.2f}'])
    stated = [StatedLimit(worker, worker.started_unix_ms, limit, SYSTEM_CLOCK.monotonic()) for worker in workers]
    site.stated_limits += stated
    _set_limits(stated, f'{limit:.3f}')
    await asyncio.sleep(CONTACT_SECONDS + step.duration_seconds)
    _set_limits(stated, f'{limit * FALLEN_SHARE:.3f}')
    await asyncio.sleep(WINDOW_SECONDS)
    for row in stated:
        row.ends_at = SYSTEM_CLOCK.monotonic()
    _set_limits(stated, '')


def _set_limits(stated: Iterable[StatedLimit], text: str) -> None:
    for row in stated:
        if row.worker.started_unix_ms == row.incarnation:
            row.worker.request_limit = text


def check_limits(calls: dict[str, Call], stated: StatedLimit, is_excused: IsExcused) -> Iterable[tuple[str, float]]:
    """Yield the first window in which a worker got too many requests from entries that it had told of its limit.

    Parameters
    ----------
    calls : dict
        Calls by request id.
    stated : StatedLimit
        Limit and the time for which it was stated.
    is_excused : callable
        Returns whether a fault of an entry, or of its links, overlapped a period.

    Yields
    ------
    tuple
        Description and time of the violation.
    """
    worker = stated.worker
    told_at: dict[tuple[str, int], float] = {}
    for run in worker.runs:
        call = calls.get(run.request_id)
        if call is None or not call.complete:
            continue
        if run.stated_limit and run.incarnation == stated.incarnation:
            source = (call.entry, call.process_id)
            told_at[source] = min(call.ended_at, told_at.get(source, call.ended_at))
    begins_at = stated.begins_at + CONTACT_SECONDS
    arrivals = sorted(
        at
        for at, request_id in worker.list_arrivals()
        if begins_at <= at < stated.ends_at and _counts(calls.get(request_id), at, told_at, is_excused)
    )
    allowed = 1.5 * stated.limit * WINDOW_SECONDS + 5
    for begin in arrivals:
        count = sum(begin <= at < begin + WINDOW_SECONDS for at in arrivals)
        if count > allowed:
            yield f'{worker.name} stated a limit of {stated.limit:.2f} and got {count} requests in a window', begin
            return


def _counts(call: Call | None, at: float, told_at: dict[tuple[str, int], float], is_excused: IsExcused) -> bool:
    """Return whether a request came from an entry that knew of the limit and was not disturbed."""
    if call is None or at < told_at.get((call.entry, call.process_id), at) + TOLD_SECONDS:
        return False
    return not is_excused(call.entry, at - CONTACT_SECONDS, at)
