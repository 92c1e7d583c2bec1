"""Task that owns the scheduler of a target, executes its actions and applies their results."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, Application
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.errors import RequestError
from tamarackfield.observe.audit import AuditTrail
from tamarackfield.observe.metrics import Metrics
from tamarackfield.sidecar.engine import EngineClient, EngineStatus
from tamarackfield.sidecar.engine_tasks import send_order
from tamarackfield.sidecar.events import (
    Event,
    FenceClaimed,
    JobArrived,
    JobEnded,
    OrderConfirmed,
    OrderFailed,
    StateInvalidated,
    StatusRead,
)
from tamarackfield.sidecar.jobs import Action, Dispatch, Job, Load, Refuse, Unload
from tamarackfield.sidecar.ownership import Ownership
from tamarackfield.sidecar.reconciliation import mark_uncertain, reconcile_slots
from tamarackfield.sidecar.scheduler import Scheduler, is_idle

#: Longest time between two checks of deadlines while no event arrives.
TICK_INTERVAL_SECONDS = 0.05
#: Longest time between two checks while no request waits or runs.
IDLE_TICK_INTERVAL_SECONDS = 0.25
#: Time during which an unanswered order may still take effect, for engines that ignore fencing numbers.
ORDER_HORIZON_SECONDS = 10.0


class TargetWorker:
    """Owns the scheduler of one target and executes its actions.

    Parameters
    ----------
    application : Application
        Application that owns the spawned tasks.
    scheduler : Scheduler
        Queue, slots and pins of the target.
    engine : EngineClient or None
        Client of the engine; None for a plain service.
    audit : AuditTrail
        Records loads, unloads, failed orders, restarts of the engine and a higher fencing number of another sidecar.
    metrics : Metrics
        Counts loads, unloads, failed loads and restarts of the engine.
    """

    def __init__(
        self,
        application: Application,
        scheduler: Scheduler,
        engine: EngineClient | None,
        audit: AuditTrail,
        metrics: Metrics,
    ) -> None:
        """Create a worker; `run` starts it."""
        self.application = application
        self.scheduler = scheduler
        self.engine = engine
        self.audit = audit
        self.metrics = metrics
        self.event_queue: asyncio.Queue[Event] = asyncio.Queue()
        self.permits: dict[int, asyncio.Future[None]] = {}
        self.engine_incarnation = 0
        self.load_seconds = 0.25
        self.service_seconds = 0.5
        #: Monotonic seconds; a status that was requested earlier only affects the lease.
        self.status_valid_from = 0.0
        self.ownership = Ownership()
        self.on_superseded: Callable[[], None] = application.request_stop
        self.poll_requested = asyncio.Event()
        #: Cleared by a pause, a restart of the engine or a stale state, until a later status is applied.
        self.ready = asyncio.Event()
        self.name = 'target'

    def post(self, event: Event) -> None:
        """Append an event to the queue of the worker."""
        self.event_queue.put_nowait(event)

    async def admit(self, job: Job) -> None:
        """Wait until a job may be dispatched.

        Raises
        ------
        RequestError
            If the job is refused; it did not run.
        """
        permit = asyncio.get_running_loop().create_future()
        self.post(JobArrived(job, permit))
        await permit

    def may_send(self) -> bool:
        """Return whether orders and requests may be sent to the target now.

        They may not after a pause of this process until the engine status is read again, nor when
        the lease has expired: the last status is then too old to rule out that another sidecar
        claimed the engine.
        """
        if self.engine is None:
            return True
        return self.ready.is_set() and self.ownership.has_valid_lease(SYSTEM_CLOCK.monotonic())

    def check_dispatch(self, job: Job) -> None:
        """Check a permitted job again, immediately before its first byte is sent to the target.

        Raises
        ------
        RequestError
            If the deadline passed or the permit is no longer valid; the job did not run.
        """
        if SYSTEM_CLOCK.monotonic() >= job.deadline:
            raise self._refusal_error('the deadline passed before the request was dispatched', 'deadline_passed', 1)
        if not self.may_send():
            raise self._refusal_error('the state of the target must be read again', 'target_unsettled', 1)

    async def run(self) -> None:
        """Process events until the task is cancelled."""
        if self.engine is None:
            self.ready.set()
        while True:
            event = await self._next_event()
            now = SYSTEM_CLOCK.monotonic()
            if self.ownership.was_paused(now):
                self._handle_pause(now)
            self.ownership.last_iteration_at = now
            if event is not None:
                self._apply_event(event, now)
            self._execute_actions(self._next_actions(now))

    def _next_actions(self, now: float) -> list[Action]:
        if self.may_send():
            return self.scheduler.next_actions(now)
        if self.ownership.superseded:
            return self.scheduler.refuse_waiting('superseded', 1)
        return self.scheduler.refuse_expired(now)

    async def _next_event(self) -> Event | None:
        try:
            async with asyncio.timeout(
                IDLE_TICK_INTERVAL_SECONDS if is_idle(self.scheduler) else TICK_INTERVAL_SECONDS
            ):
                return await self.event_queue.get()
        except TimeoutError:
            return None

    def _handle_pause(self, now: float) -> None:
        logger.bind(gap=round(now - self.ownership.last_iteration_at, 3)).warning('process_was_paused')
        if self.engine is not None:
            self.ready.clear()
            self.status_valid_from = now

    def _apply_event(self, event: Event, now: float) -> None:
        match event:
            case JobArrived(job, permit):
                self.permits[job.job_id] = permit
                self.scheduler.load_seconds = self.load_seconds
                self.scheduler.service_seconds = self.service_seconds
                self.scheduler.add_job(job)
            case JobEnded(job_id):
                self.permits.pop(job_id, None)
                self.scheduler.remove_job(job_id, now)
            case OrderConfirmed():
                self._apply_order_confirmation(event, now)
            case OrderFailed():
                self._handle_order_failure(event, now)
            case StatusRead(status, requested_at):
                self._apply_status(status, requested_at, now)
            case FenceClaimed(fence):
                self.ownership.confirm_fence(fence)
                self.status_valid_from = now
                self.poll_requested.set()
            case StateInvalidated():
                self._invalidate_state(now)

    def _invalidate_state(self, now: float) -> None:
        if self.engine is not None:
            self.ready.clear()
            self.status_valid_from = now
            self.poll_requested.set()

    def _apply_order_confirmation(self, event: OrderConfirmed, now: float) -> None:
        self.status_valid_from = now
        if not self.engine_incarnation == event.issued_incarnation == event.answered_incarnation:
            mark_uncertain(self.scheduler, event.order.adapter, now, now)
            self.ready.clear()
            return
        if isinstance(event.order, Load):
            self.load_seconds += (event.order_seconds - self.load_seconds) / 4
            self.scheduler.confirm_load(event.order.adapter, now)
            self.metrics.count('adapter_loads')
            self.audit.record('adapter_loaded', adapter=event.order.adapter)
        else:
            self.scheduler.confirm_unload(event.order.adapter)
            self.metrics.count('adapter_unloads')
            self.audit.record('adapter_unloaded', adapter=event.order.adapter)

    def _handle_order_failure(self, event: OrderFailed, now: float) -> None:
        self.status_valid_from = now
        adapter = event.order.adapter
        if isinstance(event.order, Load):
            self.metrics.count('adapter_load_failures')
        if event.issued_incarnation == self.engine_incarnation:
            self._apply_order_failure(event, now)
        else:
            mark_uncertain(self.scheduler, adapter, now, now)
        self.audit.record(
            'order_failed',
            adapter=adapter,
            step=event.error.step,
            answered=event.error.answered,
            error=event.error.message,
        )

    def _apply_order_failure(self, event: OrderFailed, now: float) -> None:
        """Apply a failed order; an unanswered one blocks its adapter while it may still take effect.

        A raised fencing number rules out a late effect. For an engine that ignores fencing numbers,
        the adapter stays blocked for `ORDER_HORIZON_SECONDS`.
        """
        adapter = event.order.adapter
        if isinstance(event.order, Load) and event.error.answered:
            self.scheduler.record_load_failure(adapter, now)
        elif event.error.answered:
            self.scheduler.record_unload_failure(adapter)
        else:
            self.ownership.raise_fence()
            self.poll_requested.set()
            resident_valid_from = now if self.ownership.fencing else now + ORDER_HORIZON_SECONDS
            mark_uncertain(self.scheduler, adapter, now, resident_valid_from)

    def _apply_status(self, status: EngineStatus, requested_at: float, now: float) -> None:
        if self.ownership.superseded:
            return
        self.ownership.renew_lease(status, requested_at)
        if self.ownership.superseded:
            self._stop_superseded(status.highest_fence)
        elif requested_at >= self.status_valid_from:
            self._reconcile_status(status, requested_at, now)

    def _reconcile_status(self, status: EngineStatus, requested_at: float, now: float) -> None:
        if status.incarnation != self.engine_incarnation:
            self._apply_incarnation_change(status, now)
        elif self.ownership.claim_pending:
            self.poll_requested.set()
        elif self.ready.is_set():
            reconcile_slots(self.scheduler, status.resident, requested_at, now)
        elif self.ownership.is_sole_owner(status, requested_at):
            self.scheduler.reset_residents(status.resident, now)
            reconcile_slots(self.scheduler, status.resident, requested_at, now)
            self.ready.set()

    def _apply_incarnation_change(self, status: EngineStatus, now: float) -> None:
        self.metrics.count('engine_restarts')
        self.audit.record('engine_incarnation', incarnation=status.incarnation, before=self.engine_incarnation)
        self.engine_incarnation = status.incarnation
        self.ready.clear()
        self.scheduler.reset_residents(status.resident, now)
        self.ownership.claim_incarnation(status, now)
        self.poll_requested.set()

    def _stop_superseded(self, fence: int) -> None:
        """Stop this process, because another sidecar has claimed the engine."""
        self.ready.clear()
        self.audit.record('superseded', fence=fence, own=self.ownership.fence)
        self.on_superseded()

    def _execute_actions(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Dispatch(job_id):
                    self._grant_permit(job_id)
                case Refuse():
                    self._refuse_job(action)
                case Load() | Unload():
                    self.application.spawn(send_order(self, action), f'order-{action.adapter}')

    def _grant_permit(self, job_id: int) -> None:
        permit = self.permits.pop(job_id, None)
        if permit is None or permit.done():
            self.scheduler.remove_job(job_id, SYSTEM_CLOCK.monotonic())
        else:
            permit.set_result(None)

    def _refuse_job(self, action: Refuse) -> None:
        if action.code == 'deadline_passed' or action.stalled_seconds:
            self.metrics.timing('load_stall', action.stalled_seconds * MS_PER_SECOND)
        permit = self.permits.pop(action.job_id, None)
        if permit is not None and not permit.done():
            permit.set_exception(
                self._refusal_error('the request could not be started', action.code, action.retry_after),
            )

    def _refusal_error(self, message: str, code: str, retry_after: int) -> RequestError:
        return RequestError(
            message,
            step='admission',
            peer=self.name,
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code=code,
            retry_after=retry_after,
        )
