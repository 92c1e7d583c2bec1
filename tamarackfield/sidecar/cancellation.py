"""Releases a pin and a batch slot only when the engine can no longer run the request."""

import asyncio

from loguru import logger

from tamarackfield.sidecar.engine import EngineError
from tamarackfield.sidecar.events import JobEnded
from tamarackfield.sidecar.jobs import Job
from tamarackfield.sidecar.target import LocalTarget, make_target_request_id

#: Time between two attempts to cancel while the engine does not confirm the cancellation.
CANCEL_RETRY_SECONDS = 0.25
#: Time in which a request that the engine does not know yet may still arrive there.
LATE_ARRIVAL_SECONDS = 2.0


async def cancel_and_release(
    target: LocalTarget, job: Job, engine_incarnation: int, *, late_arrival_ruled_out: bool
) -> None:
    """Cancel a request at the engine, then remove its job from the scheduler.

    Parameters
    ----------
    target : LocalTarget
        Target whose engine runs the request.
    job : Job
        Job that was dispatched.
    engine_incarnation : int
        Incarnation of the engine at dispatch; a later one cannot run the request.
    late_arrival_ruled_out : bool
        Whether the engine has begun to answer. If not, the request may still arrive there, so a request
        that the engine does not know is cancelled again after `LATE_ARRIVAL_SECONDS`.
    """
    while target.worker.engine_incarnation == engine_incarnation:
        try:
            known = await target.worker.engine.cancel_request(make_target_request_id(target, job))
        except EngineError as exc:
            logger.bind(peer=exc.peer, step=exc.step, error=exc.message).warning('cancel_unconfirmed')
            await asyncio.sleep(CANCEL_RETRY_SECONDS)
            continue
        if known or late_arrival_ruled_out:
            break
        late_arrival_ruled_out = True
        await asyncio.sleep(LATE_ARRIVAL_SECONDS)
    target.worker.post(JobEnded(job.job_id))
