"""Task that owns a target's scheduler, carries out its actions and hears back."""

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
from tamarackfield.sidecar.events import Arrived, Claimed, Doubted, Ended, Event, OrderDone, OrderFailed, StatusRead
from tamarackfield.sidecar.jobs import Action, Dispatch, Job, Load, Refuse, Unload
from tamarackfield.sidecar.orders import give_order
from tamarackfield.sidecar.ownership import Ownership
from tamarackfield.sidecar.scheduler import Scheduler, is_idle
from tamarackfield.sidecar.settling import lose_order, reconcile

#: Seconds between two looks at deadlines when nothing else happens.
TICK_INTERVAL = 0.05
#: Seconds between two turns while no request waits or runs.
IDLE_TICK_INTERVAL = 0.25
#: Seconds after which an order without an answer counts as lost, for engines that ignore fencing numbers.
ORDER_HORIZON = 10.0


class TargetWorker:
    """Owns the scheduler of one target.

    Parameters
    ----------
    application : Application
        Owner of the tasks.
    scheduler : Scheduler
        State of the target.
    engine : EngineClient or None
        None for a plain service.
    audit : AuditTrail
        For loads, unloads and restarts of the engine.
    metrics : Metrics
        For the same.
    """

    def __init__(
        self,
        application: Application,
        scheduler: Scheduler,
        engine: EngineClient | None,
        audit: AuditTrail,
        metrics: Metrics,
    ) -> None:
        """Prepare a worker that does not run yet."""
        self.application = application
        self.scheduler = scheduler
        self.engine = engine
        self.audit = audit
        self.metrics = metrics
        self.inbox: asyncio.Queue[Event] = asyncio.Queue()
        self.permits: dict[int, asyncio.Future[None]] = {}
        self.incarnation = 0
        self.load_seconds = 0.25
        self.service_seconds = 0.5
        self.last_order_at = 0.0
        self.ownership = Ownership()
        self.on_superseded: Callable[[], None] = application.request_stop
        self.attention = asyncio.Event()
        self.ready = asyncio.Event()
        self.name = 'target'

    def post(self, event: Event) -> None:
        """Put an event into the worker's inbox."""
        self.inbox.put_nowait(event)

    async def admit(self, job: Job) -> None:
        """Wait until a job may be dispatched.

        Raises
        ------
        RequestError
            If it is refused; it did not run.
        """
        permit = asyncio.get_running_loop().create_future()
        self.post(Arrived(job, permit))
        await permit

    def may_act(self) -> bool:
        """Tell whether orders and dispatches are allowed at this moment.

        They are not after a pause of this process until the engine was read again, nor when the
        last status is too old to rule out that another sidecar took over.
        """
        if self.engine is None:
            return True
        return self.ready.is_set() and self.ownership.may_act(SYSTEM_CLOCK.monotonic())

    def check_dispatch(self, job: Job) -> None:
        """Check a permitted job again, immediately before its first byte goes to the target.

        Raises
        ------
        RequestError
            If the deadline passed or the permit is void; the job did not run.
        """
        if SYSTEM_CLOCK.monotonic() >= job.deadline:
            raise self._refusal('the deadline passed before the request was dispatched', 'deadline_passed', 1)
        if not self.may_act():
            raise self._refusal('the state of the target must be read again', 'target_unsettled', 1)

    async def run(self) -> None:
        """Handle events for ever."""
        if self.engine is None:
            self.ready.set()
        while True:
            event = await self._next_event()
            now = SYSTEM_CLOCK.monotonic()
            if self.ownership.paused(now):
                self._after_pause(now)
            self.ownership.last_turn_at = now
            if event is not None:
                self._apply(event, now)
            self._act(self._decide(now))

    def _decide(self, now: float) -> list[Action]:
        if self.may_act():
            return self.scheduler.decide(now)
        if self.ownership.superseded:
            return self.scheduler.refuse_all('superseded', 1)
        return self.scheduler.expire(now)

    async def _next_event(self) -> Event | None:
        try:
            async with asyncio.timeout(IDLE_TICK_INTERVAL if is_idle(self.scheduler) else TICK_INTERVAL):
                return await self.inbox.get()
        except TimeoutError:
            return None

    def _after_pause(self, now: float) -> None:
        logger.bind(gap=round(now - self.ownership.last_turn_at, 3)).warning('process_was_paused')
        if self.engine is not None:
            self.ready.clear()
            self.last_order_at = now

    def _apply(self, event: Event, now: float) -> None:
        match event:
            case Arrived(job, permit):
                self.permits[job.job_id] = permit
                self.scheduler.load_seconds = self.load_seconds
                self.scheduler.service_seconds = self.service_seconds
                self.scheduler.arrive(job)
            case Ended(job_id):
                self.permits.pop(job_id, None)
                self.scheduler.leave(job_id, now)
            case OrderDone():
                self._order_done(event, now)
            case OrderFailed():
                self._order_failed(event, now)
            case StatusRead(status, asked_at):
                self._take_status(status, asked_at, now)
            case Claimed(fence):
                self.ownership.confirm(fence)
                self.last_order_at = now
                self.attention.set()
            case Doubted():
                self._doubt(now)

    def _doubt(self, now: float) -> None:
        if self.engine is not None:
            self.ready.clear()
            self.last_order_at = now
            self.attention.set()

    def _order_done(self, event: OrderDone, now: float) -> None:
        self.last_order_at = now
        if not self.incarnation == event.issued_in == event.incarnation:
            lose_order(self.scheduler, event.order.adapter, now, now)
            self.ready.clear()
            return
        if isinstance(event.order, Load):
            self.load_seconds += (event.load_seconds - self.load_seconds) / 4
            self.scheduler.loaded(event.order.adapter, now)
            self.metrics.count('adapter_loads')
            self.audit.record('adapter_loaded', adapter=event.order.adapter)
        else:
            self.scheduler.unloaded(event.order.adapter)
            self.metrics.count('adapter_unloads')
            self.audit.record('adapter_unloaded', adapter=event.order.adapter)

    def _order_failed(self, event: OrderFailed, now: float) -> None:
        self.last_order_at = now
        adapter = event.order.adapter
        if isinstance(event.order, Load):
            self.metrics.count('adapter_load_failures')
        if event.issued_in == self.incarnation:
            self._note_failure(event, now)
        else:
            lose_order(self.scheduler, adapter, now, now)
        self.audit.record(
            'order_failed',
            adapter=adapter,
            step=event.error.step,
            answered=event.error.answered,
            error=event.error.message,
        )

    def _note_failure(self, event: OrderFailed, now: float) -> None:
        """Take in a failed order; one without an answer bars its adapter while it may take effect.

        A raised fencing number rules a late effect out; an engine that ignores it is given time.
        """
        adapter = event.order.adapter
        if isinstance(event.order, Load) and event.error.answered:
            self.scheduler.load_failed(adapter, now)
        elif event.error.answered:
            self.scheduler.unload_failed(adapter)
        else:
            self.ownership.raise_fence()
            self.attention.set()
            trusted_at = now if self.ownership.fencing else now + ORDER_HORIZON
            lose_order(self.scheduler, adapter, now, trusted_at)

    def _take_status(self, status: EngineStatus, asked_at: float, now: float) -> None:
        if self.ownership.superseded:
            return
        self.ownership.renew(status, asked_at)
        if self.ownership.superseded:
            self._stop_for_good(status.highest_fence)
        elif asked_at >= self.last_order_at:
            self._follow(status, asked_at, now)

    def _follow(self, status: EngineStatus, asked_at: float, now: float) -> None:
        if status.incarnation != self.incarnation:
            self._take_incarnation(status, now)
        elif self.ownership.claim_wanted:
            self.attention.set()
        elif self.ready.is_set():
            reconcile(self.scheduler, status.resident, asked_at, now)
        elif self.ownership.is_sole(status, asked_at):
            self.scheduler.reset(status.resident, now)
            reconcile(self.scheduler, status.resident, asked_at, now)
            self.ready.set()

    def _take_incarnation(self, status: EngineStatus, now: float) -> None:
        self.metrics.count('engine_restarts')
        self.audit.record('engine_incarnation', incarnation=status.incarnation, before=self.incarnation)
        self.incarnation = status.incarnation
        self.ready.clear()
        self.scheduler.reset(status.resident, now)
        self.ownership.take_over(status, now)
        self.attention.set()

    def _stop_for_good(self, fence: int) -> None:
        """Stop since another sidecar gives this engine orders."""
        self.ready.clear()
        self.audit.record('superseded', fence=fence, own=self.ownership.fence)
        self.on_superseded()

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Dispatch(job_id):
                    self._permit(job_id)
                case Refuse():
                    self._refuse(action)
                case Load() | Unload():
                    self.application.spawn(give_order(self, action), f'order-{action.adapter}')

    def _permit(self, job_id: int) -> None:
        permit = self.permits.pop(job_id, None)
        if permit is None or permit.done():
            self.scheduler.leave(job_id, SYSTEM_CLOCK.monotonic())
        else:
            permit.set_result(None)

    def _refuse(self, action: Refuse) -> None:
        if action.code == 'deadline_passed' or action.stalled:
            self.metrics.timing('load_stall', action.stalled * MS_PER_SECOND)
        permit = self.permits.pop(action.job_id, None)
        if permit is not None and not permit.done():
            permit.set_exception(
                self._refusal('the request could not be started', action.code, action.retry_after),
            )

    def _refusal(self, message: str, code: str, retry_after: int) -> RequestError:
        return RequestError(
            message,
            step='admission',
            peer=self.name,
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code=code,
            retry_after=retry_after,
        )
