"""Workers that crash on a part of a prompt or on one request, and the checks of the quarantine of these requests."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.platform_site import MODEL_SERVICE, PLAIN_SERVICE
from tamarackfield.testing.platform_worker import PlatformWorker
from tamarackfield.testing.soak.callers import (
    CRASHING_PART,
    PATH_WEIGHTS,
    STREAM_PATHS,
    Call,
    list_shared_parts,
)
from tamarackfield.testing.soak.plan import PlannedFault
from tamarackfield.testing.soak.site import SoakSite

#: Time within which every process knows of a crash, in seconds.
CONTACT_SECONDS = 3.0
#: Crashes after which, and number of requests up to which, further ones may still reach workers.
MAX_CRASHES, MAX_LATE_RUNS = 5, 3
#: Crashes by one request after which further ones of `MAX_LATE_RUNS` may still reach workers.
MAX_CRASHES_BY_REQUEST = 3
_RESTART_SECONDS = 0.5

#: Whether a fault of an entry, or of its links, overlapped a period.
IsExcused = Callable[[str, float, float], bool]
_CHECK_SECONDS = 0.05


async def crash_on_part(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Make all model workers crash on one part of a prompt to the end of the run; each crashed one starts again.

    The part never runs soundly in between: that would clear it.
    """
    workers = site.get_service_workers(MODEL_SERVICE)
    if any(worker.crashing_parts for worker in workers):
        return
    incident.where = CRASHING_PART
    for worker in workers:
        worker.crashing_parts = frozenset((CRASHING_PART,))
        worker.crashes_after_head = step.variant_share < 1 / 2
    await _restart_until_end(site, workers)
    for worker in workers:
        worker.crashing_parts = frozenset()
    await asyncio.gather(*(_restart_if_crashed(site, worker) for worker in workers))


async def crash_on_request(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Make all workers of a service crash on one request to the end of the run; each crashed one starts again."""
    path = list(PATH_WEIGHTS)[int(step.target_share * len(PATH_WEIGHTS))]
    workers = site.get_service_workers(MODEL_SERVICE if path in STREAM_PATHS else PLAIN_SERVICE)
    if any(worker.crashing_targets for worker in workers):
        return
    # New, so that it has never run soundly.
    query = f'?crashing{len(site.incidents)}'
    incident.where = f'{path}{query}'
    for worker in workers:
        worker.crashing_targets = frozenset((incident.where,))
        worker.crashes_after_head = step.variant_share < 1 / 2
    site.crashing_queries[path] = query
    await _restart_until_end(site, workers)
    site.crashing_queries.pop(path)
    for worker in workers:
        worker.crashing_targets = frozenset()
    await asyncio.gather(*(_restart_if_crashed(site, worker) for worker in workers))


async def _restart_until_end(site: SoakSite, workers: Iterable[PlatformWorker]) -> None:
    while SYSTEM_CLOCK.monotonic() < site.ends_at:
        await asyncio.sleep(_CHECK_SECONDS)
        await asyncio.gather(*(_restart_if_crashed(site, worker) for worker in workers))


async def _restart_if_crashed(site: SoakSite, worker: PlatformWorker) -> None:
    if not worker.is_crashed():
        return
    async with site.worker_lock(worker):
        await asyncio.sleep(_RESTART_SECONDS)
        if worker.is_crashed():
            await worker.restart()
            site.write_worker_entry(worker)


def check_refusal(call: Call) -> Iterable[str]:
    """Yield a violation if a call on which no worker crashes was put in quarantine."""
    if call.status != HTTPStatus.BAD_REQUEST or call.query:
        return
    if CRASHING_PART not in list_shared_parts(call.request_id):
        yield f'{call.request_id} was refused, and crashes no worker'


def check_late_requests(site: SoakSite, calls: Mapping[str, Call], is_excused: IsExcused) -> None:
    """Record a violation if entries that were not disturbed sent one request to workers long after its third crash."""
    for fault in site.incidents:
        if fault.name == 'workers_crash_on_request' and fault.where:
            _check_late_request(site, fault, calls, is_excused)


def _check_late_request(site: SoakSite, fault: Incident, calls: Mapping[str, Call], is_excused: IsExcused) -> None:
    runs = [
        run
        for worker in site.workers.values()
        for run in worker.runs
        if run.target == fault.where and fault.started_at < run.began_at < site.ends_at
    ]
    crashes = sorted({(run.worker, run.incarnation): run.began_at for run in reversed(runs)}.values())
    if len(crashes) < MAX_CRASHES_BY_REQUEST:
        return
    known_at = crashes[MAX_CRASHES_BY_REQUEST - 1] + CONTACT_SECONDS
    late = [
        run.began_at
        for run in runs
        if run.began_at > known_at
        and not is_excused(calls[run.request_id].entry, run.began_at - CONTACT_SECONDS, run.began_at)
    ]
    if len(late) > MAX_LATE_RUNS:
        site.record_violation(f'{len(late)} requests for {fault.where} reached workers that crash on it', min(late))


def check_late_runs(site: SoakSite, disturbing_faults: tuple[str, ...]) -> None:
    """Record a violation if requests with the part reached workers long after the fifth crash, undisturbed."""
    workers = site.get_service_workers(MODEL_SERVICE)
    crashes = sorted(at for worker in workers for at in worker.crashed_at)
    if len(crashes) < MAX_CRASHES:
        return
    known_at = crashes[MAX_CRASHES - 1] + CONTACT_SECONDS
    late = [
        run.began_at
        for worker in workers
        for run in worker.runs
        if run.began_at > known_at
        and CRASHING_PART in run.list_shared_parts()
        and not site.overlaps_fault(disturbing_faults, run.began_at - CONTACT_SECONDS, run.began_at)
    ]
    if len(late) > MAX_LATE_RUNS:
        site.record_violation(f'{len(late)} requests with a part that had crashed workers reached workers', min(late))
