"""Exchanges with the engine on behalf of a target's worker: orders, claims and status reads."""

import asyncio
import contextlib
from typing import TYPE_CHECKING

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.sidecar.engine import EngineError
from tamarackfield.sidecar.events import Claimed, OrderDone, OrderFailed, StatusRead
from tamarackfield.sidecar.jobs import Load, Unload
from tamarackfield.sidecar.scheduler import is_idle

if TYPE_CHECKING:
    from tamarackfield.sidecar.worker import TargetWorker

#: Seconds between two reads of the engine's status.
STATUS_INTERVAL = 0.25
#: Seconds between two reads while no request waits or runs; well below the lease.
IDLE_STATUS_INTERVAL = 0.5


async def give_order(worker: 'TargetWorker', order: Load | Unload) -> None:
    """Carry out an order and post what became of it.

    Parameters
    ----------
    worker : TargetWorker
        Decided on the order and hears of its end.
    order : Load or Unload
        Not sent if the worker may not act any more.
    """
    started_at = SYSTEM_CLOCK.monotonic()
    issued_in = worker.incarnation
    try:
        answered_in = await _send_order(worker, order)
    except EngineError as exc:
        worker.post(OrderFailed(order, issued_in, exc))
    else:
        worker.post(OrderDone(order, issued_in, answered_in, SYSTEM_CLOCK.monotonic() - started_at))


async def poll(worker: 'TargetWorker') -> None:
    """Read the engine's status at a fixed pace, and claim the engine where it is needed."""
    while worker.engine is not None and not worker.ownership.superseded:
        worker.attention.clear()
        if worker.ownership.claim_wanted:
            await _claim(worker)
        await _read_status(worker)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_STATUS_INTERVAL if is_idle(worker.scheduler) else STATUS_INTERVAL):
                await worker.attention.wait()


async def _send_order(worker: 'TargetWorker', order: Load | Unload) -> int:
    if not worker.may_act():
        message = f'{order.adapter}: not sent, the state of the engine must be read again'
        raise EngineError(message, 'order', worker.name, answered=True)
    send = worker.engine.load if isinstance(order, Load) else worker.engine.unload
    return await send(order.adapter, worker.ownership.fence)


async def _claim(worker: 'TargetWorker') -> None:
    fence = worker.ownership.fence
    try:
        await worker.engine.claim(fence)
    except EngineError as exc:
        logger.bind(step=exc.step, peer=exc.peer, error=exc.message).warning('claim_failed')
    else:
        worker.post(Claimed(fence))


async def _read_status(worker: 'TargetWorker') -> None:
    asked_at = SYSTEM_CLOCK.monotonic()
    try:
        status = await worker.engine.status()
    except EngineError as exc:
        logger.bind(step=exc.step, peer=exc.peer, error=exc.message).warning('engine_unreachable')
    else:
        worker.post(StatusRead(status, asked_at))
