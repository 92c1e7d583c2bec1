"""Workers that crash on a part of a prompt, and the checks of the quarantine of its requests."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.platform_site import MODEL_SERVICE
from tamarackfield.testing.platform_worker import PlatformWorker
from tamarackfield.testing.soak.callers import CRASHING_PART, Call, list_shared_parts
from tamarackfield.testing.soak.plan import PlannedFault
from tamarackfield.testing.soak.site import SoakSite

#: Time within which every process knows of a crash, in seconds.
CONTACT_SECONDS = 3.0
#: Crashes after which, and number of requests up to which, further ones may still reach workers.
MAX_CRASHES, MAX_LATE_RUNS = 5, 3
_RESTART_SECONDS = 0.5
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
    while SYSTEM_CLOCK.monotonic() < site.ends_at:
        await asyncio.sleep(_CHECK_SECONDS)
        await asyncio.gather(*(_restart_if_crashed(site, worker) for worker in workers))
    for worker in workers:
        worker.crashing_parts = frozenset()
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
    """Yield a violation if a call without the crashing part was put in quarantine."""
    if call.status == HTTPStatus.BAD_REQUEST and CRASHING_PART not in list_shared_parts(call.request_id):
        yield f'{call.request_id} was refused for its prompt, which crashes no worker'


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
