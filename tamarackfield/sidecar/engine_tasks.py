"""Tasks that call the engine for the worker of a target: orders, claims and status reads."""

import asyncio
import contextlib
from typing import TYPE_CHECKING

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.sidecar.engine import EngineError
from tamarackfield.sidecar.events import FenceClaimed, OrderConfirmed, OrderFailed, StatusRead
from tamarackfield.sidecar.jobs import Load, Unload
from tamarackfield.sidecar.scheduler import is_idle

if TYPE_CHECKING:
    from tamarackfield.sidecar.worker import TargetWorker

#: Time between two reads of the engine status.
STATUS_INTERVAL_SECONDS = 0.25
#: Time between two reads while no request waits or runs; well below the lease, so that it does not expire.
IDLE_STATUS_INTERVAL_SECONDS = 0.5


async def send_order(worker: 'TargetWorker', order: Load | Unload) -> None:
    """Send an order to the engine and post its result to the worker.

    Parameters
    ----------
    worker : TargetWorker
        Worker that issued the order and receives its result.
    order : Load or Unload
        Order to send; it fails without being sent if `TargetWorker.may_send` returns false.
    """
    started_at = SYSTEM_CLOCK.monotonic()
    issued_incarnation = worker.engine_incarnation
    try:
        answered_incarnation = await _send_if_allowed(worker, order)
    except EngineError as exc:
        worker.post(OrderFailed(order, issued_incarnation, exc))
    else:
        worker.post(
            OrderConfirmed(order, issued_incarnation, answered_incarnation, SYSTEM_CLOCK.monotonic() - started_at)
        )


async def poll_status(worker: 'TargetWorker') -> None:
    """Read the engine status at an interval or when requested, after sending a pending claim to the engine."""
    while worker.engine is not None and not worker.ownership.superseded:
        worker.poll_requested.clear()
        if worker.ownership.claim_pending:
            await _claim_engine(worker)
        await _read_status(worker)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                IDLE_STATUS_INTERVAL_SECONDS if is_idle(worker.scheduler) else STATUS_INTERVAL_SECONDS
            ):
                await worker.poll_requested.wait()


async def _send_if_allowed(worker: 'TargetWorker', order: Load | Unload) -> int:
    if not worker.may_send():
        message = f'{order.adapter}: order not sent, the engine status must be read again'
        raise EngineError(message, 'order', worker.name, answered=True)
    send = worker.engine.load_adapter if isinstance(order, Load) else worker.engine.unload_adapter
    return await send(order.adapter, worker.ownership.fence)


async def _claim_engine(worker: 'TargetWorker') -> None:
    fence = worker.ownership.fence
    try:
        await worker.engine.claim_fence(fence)
    except EngineError as exc:
        logger.bind(step=exc.step, peer=exc.peer, error=exc.message).warning('claim_failed')
    else:
        worker.post(FenceClaimed(fence))


async def _read_status(worker: 'TargetWorker') -> None:
    requested_at = SYSTEM_CLOCK.monotonic()
    try:
        status = await worker.engine.read_status()
    except EngineError as exc:
        logger.bind(step=exc.step, peer=exc.peer, error=exc.message).warning('engine_unreachable')
    else:
        worker.post(StatusRead(status, requested_at))
