"""Exchanges with the engine on behalf of a target's worker: orders, claims and status reads."""

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

#: Seconds between two reads of the engine's status.
STATUS_INTERVAL_SECONDS = 0.25
#: Seconds between two reads while no request waits or runs; well below the lease.
IDLE_STATUS_INTERVAL_SECONDS = 0.5


async def send_order(worker: 'TargetWorker', order: Load | Unload) -> None:
    """Carry out an order and post what became of it.

    Parameters
    ----------
    worker : TargetWorker
        Decided on the order and hears of its end.
    order : Load or Unload
        Not sent if the worker may not act any more.
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
    """Read the engine's status at a fixed pace, and claim the engine where it is needed."""
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
        message = f'{order.adapter}: not sent, the state of the engine must be read again'
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
