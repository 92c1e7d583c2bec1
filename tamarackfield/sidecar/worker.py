"""Task that owns a target's scheduler, carries out its actions and hears back."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from loguru import logger

from tamarackfield.core import SYSTEM_CLOCK, Application
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.errors import RequestError
from tamarackfield.observe import AuditTrail, Metrics
from tamarackfield.sidecar.engine import EngineClient, EngineError, EngineStatus
from tamarackfield.sidecar.jobs import Action, Dispatch, Job, Load, Refuse, Unload
from tamarackfield.sidecar.scheduler import Scheduler

#: Seconds between two reads of the engine's status.
STATUS_INTERVAL = 0.25
#: Seconds between two looks at deadlines when nothing else happens.
TICK_INTERVAL = 0.05
#: Monotonic gap in seconds after which this process counts as having been paused.
PAUSE_GAP = 1.0


@dataclass(frozen=True, slots=True)
class Arrived:
    """A job wants to run; its permit is resolved by the worker."""

    job: Job
    permit: asyncio.Future[None]


@dataclass(frozen=True, slots=True)
class Ended:
    """A job is over."""

    job_id: int


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The engine confirmed an order."""

    order: Load | Unload
    incarnation: int
    load_seconds: float


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """An order failed, or nobody knows whether it took effect."""

    order: Load | Unload
    error: str


@dataclass(frozen=True, slots=True)
class StatusRead:
    """A fresh status of the engine."""

    status: EngineStatus
    asked_at: float


Event = Arrived | Ended | OrderDone | OrderFailed | StatusRead


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
        self.last_turn_at = 0.0
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

    async def run(self) -> None:
        """Handle events for ever."""
        if self.engine is None:
            self.ready.set()
        self.last_turn_at = SYSTEM_CLOCK.monotonic()
        while True:
            event = await self._next_event()
            now = SYSTEM_CLOCK.monotonic()
            if now - self.last_turn_at > PAUSE_GAP:
                self._after_pause(now)
            self.last_turn_at = now
            if event is not None:
                self._apply(event, now)
            if self.ready.is_set():
                self._act(self.scheduler.decide(now))

    async def poll(self) -> None:
        """Read the engine's status at a fixed pace."""
        while self.engine is not None:
            asked_at = SYSTEM_CLOCK.monotonic()
            try:
                self.post(StatusRead(await self.engine.status(), asked_at))
            except EngineError as exc:
                logger.bind(step=exc.step, peer=exc.peer, error=exc.message).warning('engine_unreachable')
            await asyncio.sleep(STATUS_INTERVAL)

    async def _next_event(self) -> Event | None:
        try:
            return await asyncio.wait_for(self.inbox.get(), TICK_INTERVAL)
        except TimeoutError:
            return None

    def _after_pause(self, now: float) -> None:
        logger.bind(gap=round(now - self.last_turn_at, 3)).warning('process_was_paused')
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

    def _order_done(self, event: OrderDone, now: float) -> None:
        self.last_order_at = now
        if event.incarnation != self.incarnation:
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
        if isinstance(event.order, Load):
            self.scheduler.load_failed(event.order.adapter, now)
            self.metrics.count('adapter_load_failures')
        else:
            self.scheduler.unload_failed(event.order.adapter)
        self.audit.record('order_failed', adapter=event.order.adapter, error=event.error)

    def _take_status(self, status: EngineStatus, asked_at: float, now: float) -> None:
        if asked_at < self.last_order_at:
            return
        restarted = status.incarnation != self.incarnation
        if restarted:
            self.metrics.count('engine_restarts')
            self.audit.record('engine_incarnation', incarnation=status.incarnation, before=self.incarnation)
        if restarted or not self.ready.is_set():
            self.incarnation = status.incarnation
            self.scheduler.reset(status.resident, now)
            self.engine.fence = max(self.engine.fence, status.highest_fence + 1, SYSTEM_CLOCK.unix_ms())
            self.ready.set()

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Dispatch(job_id):
                    self._permit(job_id)
                case Refuse():
                    self._refuse(action)
                case Load() | Unload():
                    self.application.spawn(self._order(action), f'order-{action.adapter}')

    def _permit(self, job_id: int) -> None:
        permit = self.permits.pop(job_id, None)
        if permit is None or permit.done():
            self.scheduler.leave(job_id, SYSTEM_CLOCK.monotonic())
        else:
            permit.set_result(None)

    def _refuse(self, action: Refuse) -> None:
        if action.code == 'deadline_passed':
            self.metrics.timing('load_stall', action.stalled * MS_PER_SECOND)
        permit = self.permits.pop(action.job_id, None)
        if permit is not None and not permit.done():
            permit.set_exception(
                RequestError(
                    'the request cannot end before its deadline',
                    step='admission',
                    peer=self.name,
                    status=HTTPStatus.SERVICE_UNAVAILABLE,
                    code=action.code,
                    retry_after=action.retry_after,
                ),
            )

    async def _order(self, action: Load | Unload) -> None:
        started_at = SYSTEM_CLOCK.monotonic()
        try:
            if isinstance(action, Load):
                incarnation = await self.engine.load(action.adapter)
            else:
                incarnation = await self.engine.unload(action.adapter)
        except EngineError as exc:
            self.post(OrderFailed(action, exc.message))
        else:
            self.post(OrderDone(action, incarnation, SYSTEM_CLOCK.monotonic() - started_at))
