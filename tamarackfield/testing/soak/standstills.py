"""Faults in which something stands still beyond a limit and then goes on: entries, and streams of sound workers."""

import asyncio
import random
import signal

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.platform_site import MODEL_SERVICE, PlatformProcess
from tamarackfield.testing.platform_worker import PlatformWorker, WorkerFault
from tamarackfield.testing.soak.plan import PlannedFault
from tamarackfield.testing.soak.site import SoakSite
from tamarackfield.testing.soak.variation import IDLE_LIMITS_SECONDS, draw_variation

#: Standstill of an entry beyond the time drawn: past every idle limit and the time limit of request heads.
STANDSTILL_SECONDS = max(IDLE_LIMITS_SECONDS)
#: A standstill before that in which work gathers, and the longest time for this work between them.
LEAD_SECONDS, MAX_WORK_SECONDS = 0.1, 0.004
#: Bounds of the silence of a sound worker.
MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS = 1.0, 3.0
#: Bounds of the pause that other workers ask for meanwhile.
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.2, 1.2
#: Time beyond the time drawn in which workers are silent or turn requests away.
SILENT_PERIOD_SECONDS = 2.0
#: Number of changes of a series, and largest time between two of them.
CHANGE_COUNT = 4
MAX_CHANGE_GAP_SECONDS = 0.4
_MANY_REQUESTS = 1000


async def hold_entry(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Stop an entry for longer than every limit on idle connections and let it go on; one entry at a time."""
    process = site.entries[int(step.target_share * len(site.entries))]
    holds = site.locks['standstill']
    if holds.locked():
        return
    async with holds, site.locks[process.name]:
        if not process.has_started():
            return
        incident.where = process.name
        incident.started_at = SYSTEM_CLOCK.monotonic()
        await _stand_still(process, LEAD_SECONDS)
        # The process is at work on what has come in: it stops between two steps instead of while it waits for input.
        await asyncio.sleep(step.variant_share * MAX_WORK_SECONDS)
        await _stand_still(process, STANDSTILL_SECONDS + step.duration_seconds)


async def _stand_still(process: PlatformProcess, seconds: float) -> None:
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    process.send_signal(signal.SIGCONT)


async def silence_worker(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Let the streams of a sound worker pause between two events, while most others want no requests for a while."""
    workers = site.get_service_workers(MODEL_SERVICE)
    silent = workers[int(step.target_share * len(workers))]
    silences = site.locks['silence']
    if silences.locked():
        return
    rng = random.Random(step.variant_share)
    seconds = rng.uniform(MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS)
    others = [worker for worker in workers if worker is not silent]
    rejecting = rng.sample(others, rng.randint(1, len(others)))
    incident.where = f'{silent.name} for {seconds:.1f} s, {len(rejecting)} others reject'
    async with silences:
        silent.silence_seconds = seconds
        faults = [_reject_requests(worker, rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)) for worker in rejecting]
        await asyncio.sleep(SILENT_PERIOD_SECONDS + step.duration_seconds)
        silent.silence_seconds = 0.0
        for worker, fault in zip(rejecting, faults, strict=True):
            if worker.fault is fault:
                worker.fault = WorkerFault()


def _reject_requests(worker: PlatformWorker, pause_seconds: float) -> WorkerFault:
    worker.retry_after = f'{pause_seconds:.2f}'
    worker.fault = WorkerFault('pause', _MANY_REQUESTS)
    return worker.fault


async def change_limits(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Publish a series of versions: idle limits and time-outs go up and down, weights change, routes are added."""
    rng = random.Random(step.variant_share)
    for _ in range(CHANGE_COUNT):
        site.variation = draw_variation(rng)
        version = site.change_configuration()
        incident.where = f'version {version}, idle limit {site.variation.idle_limit_seconds} s'
        await asyncio.sleep(rng.uniform(0, MAX_CHANGE_GAP_SECONDS))
