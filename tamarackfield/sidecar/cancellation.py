"""Gives a pin and a batch slot back only when the engine can no longer run the request."""

import asyncio

from loguru import logger

from tamarackfield.sidecar.engine import EngineError
from tamarackfield.sidecar.events import JobEnded
from tamarackfield.sidecar.jobs import Job
from tamarackfield.sidecar.target import LocalTarget, target_request_id

#: Seconds between two attempts to cancel.
CANCEL_RETRY_SECONDS = 0.25
#: Seconds in which a request that the engine does not know yet may still arrive there.
LATE_ARRIVAL_SECONDS = 2.0


async def cancel_and_release(target: LocalTarget, job: Job, engine_incarnation: int, *, head_seen: bool) -> None:
    """Cancel a run at the engine, then let the scheduler forget the job.

    Parameters
    ----------
    target : TargetAddress
        Whose engine runs it.
    job : Job
        What was dispatched.
    incarnation : int
        Of the engine at dispatch; a later one cannot run the request.
    head_seen : bool
        Whether the engine began to answer; if not, the request may still arrive.
    """
    while target.worker.engine_incarnation == engine_incarnation:
        try:
            known = await target.worker.engine.cancel_request(target_request_id(target, job))
        except EngineError as exc:
            logger.bind(peer=exc.peer, step=exc.step, error=exc.message).warning('cancel_unconfirmed')
            await asyncio.sleep(CANCEL_RETRY_SECONDS)
            continue
        if known or head_seen:
            break
        head_seen = True
        await asyncio.sleep(LATE_ARRIVAL_SECONDS)
    target.worker.post(JobEnded(job.job_id))
