"""Polls the state of one engine and executes the orders of admission control."""

import asyncio
import contextlib
from collections.abc import Callable

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK, TamarackfieldError
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.manager.admission import AdmissionController
from tamarackfield.manager.crash_watch import CrashWatch
from tamarackfield.manager.engine_client import (
    EngineClient,
    EngineEndedError,
    EnginePausedError,
    EngineState,
    OrderResult,
    OrderTerms,
)
from tamarackfield.manager.known_facts import NO_FACTS, KnownFacts
from tamarackfield.manager.tickets import ModelOrder, Plan
from tamarackfield.policy.pauses import extend_pause
from tamarackfield.policy.crashes import Crash, make_crash
from tamarackfield.policy.residency import LoadOrder, Order, UnloadOrder
from tamarackfield.wire.crash_reports import BrokenRun, make_suspect_run
from tamarackfield.wire.reservations import Facts

#: Interval in seconds between two readings of the engine's state while a change is expected, and otherwise.
ACTIVE_POLL_SECONDS = 0.04
IDLE_POLL_SECONDS = 0.25
#: Consecutive failed readings after which the engine counts as unreachable.
UNREACHABLE_AFTER_FAILURES = 2
#: Age in seconds above which the state is read again before an order is sent.
MAX_STATE_AGE_SECONDS = 0.6
#: Seconds for which an adapter load that the engine refused is not ordered again.
LOAD_REFUSAL_SECONDS = 2.0
#: Number of runs in the log line about the end of an engine, those that had written for the shortest time.
MAX_LOGGED_RUNS = 8


def _ignore_crash(crash: Crash) -> None:
    logger.bind(target=crash.target, started_ms=crash.started_ms).debug('crash_not_reported')


class EngineController:
    """Controller of one engine; no other process sends orders to it.

    Parameters
    ----------
    client : EngineClient
        Client of the engine.
    """

    def __init__(self, client: EngineClient) -> None:
        """Create the controller of an engine whose state has not been read yet."""
        self.client = client
        self.admission = AdmissionController(1, 0)
        self.facts = NO_FACTS
        self.known_facts = KnownFacts()
        self.state: EngineState | None = None
        self.state_read_at = 0.0
        self.read_failures = 0
        self.min_fencing = 0
        self.paused_until = 0.0
        self.next_model_load_at = 0.0
        self.accepted_loads = 0
        self.sent_orders = 0
        self.decision_due = asyncio.Event()
        self.poll_due = asyncio.Event()
        self.crash_watch = CrashWatch()
        self.on_crash: Callable[[Crash], None] = _ignore_crash

    def update_facts(self, facts: Facts) -> None:
        """Store what an entry reports about a target, and use it if it is the one of the engine."""
        if self.known_facts.add(facts) and facts.started_ms > self.facts.started_ms:
            # The pause was one of an incarnation that may have ended; a reading of the state tells.
            self.paused_until = 0.0
        self._choose_facts()

    def _choose_facts(self) -> None:
        """Use the facts that belong to the engine's incarnation, the newest ones until its state is known."""
        current = self.facts
        facts = self.known_facts.choose(self.state.started_ms if self.state else 0, current.target)
        if facts is None or facts == current:
            return
        self.facts = facts
        self.admission.batch = facts.batch
        self.admission.residency.slots = facts.places
        if facts.target != current.target:
            logger.bind(target=facts.target, started_ms=facts.started_ms, revision=facts.revision).info('target_named')
        self.decision_due.set()

    def is_paused(self) -> bool:
        """Return whether the engine wants no call now."""
        return BOOT_CLOCK.monotonic() < self.paused_until

    def is_ready(self) -> bool:
        """Return whether requests can be granted."""
        return self.admission.reachable and not self.admission.draining and self.has_current_facts()

    def has_current_facts(self) -> bool:
        """Return whether the target name that entries sent belongs to the engine's current incarnation."""
        state = self.state
        return state is not None and bool(self.facts.target) and self.facts.started_ms == state.started_ms

    async def poll_engine(self) -> None:
        """Read the engine's state periodically."""
        while True:
            await self.refresh_state()
            change_expected = self.admission.residency.loading or self.admission.waiting or not self.admission.reachable
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ACTIVE_POLL_SECONDS if change_expected else IDLE_POLL_SECONDS):
                    await self.poll_due.wait()
            self.poll_due.clear()

    async def refresh_state(self) -> bool:
        """Read the engine's state once; return whether that succeeded."""
        if self.is_paused():
            return False
        try:
            state = await self.client.read_state()
        except EnginePausedError as exc:
            self._record_pause(exc)
            return False
        except EngineEndedError as exc:
            self._record_end()
            self._record_read_failure(exc)
            return False
        except TamarackfieldError as exc:
            self._record_read_failure(exc)
            return False
        self.read_failures = 0
        self.state_read_at = BOOT_CLOCK.monotonic()
        self._apply_state(state)
        return True

    def record_broken_run(self, run: BrokenRun) -> None:
        """Record a run whose connection broke, and find out whether the engine has ended."""
        self.crash_watch.record_run(run, BOOT_CLOCK.monotonic())
        if run.started_ms in self.crash_watch.ends:
            self._report_crash(run.started_ms)
            bound = logger.bind(request_id=run.label, started_ms=run.started_ms, wrote_ms=run.wrote_ms)
            bound.bind(prompt_parts=','.join(run.parts)).info('run_ended_with_engine')
        self.poll_due.set()

    async def execute_plan(self, plan: Plan) -> None:
        """Execute the orders of a plan one after another."""
        for order in plan.orders:
            accepted = False
            try:
                accepted = await self._execute_order(order)
            finally:
                self.admission.record_order_result(order, accepted, BOOT_CLOCK.monotonic())
        if plan.orders:
            await self.refresh_state()
            self.decision_due.set()

    def plan_model_load(self) -> Plan:
        """Return a plan that loads a base model if the engine has none, as after a restart of the engine."""
        plan = Plan()
        admission = self.admission
        if admission.models or admission.pending_orders or not self.facts.models or not self.is_ready():
            return plan
        if self.state is None or self.state.loading_model or BOOT_CLOCK.monotonic() < self.next_model_load_at:
            return plan
        waiting_models = [ticket.adapter.partition('/')[0] for ticket in admission.waiting.values()]
        loadable_models = [model for model in waiting_models if model in self.facts.models]
        plan.orders.append(ModelOrder((loadable_models or self.facts.models)[0]))
        admission.pending_orders.extend(plan.orders)
        return plan

    async def _execute_order(self, order: Order | ModelOrder) -> bool:
        now = BOOT_CLOCK.monotonic()
        if self.is_paused():
            return False
        is_fresh = now - self.state_read_at <= MAX_STATE_AGE_SECONDS or await self.refresh_state()
        if not is_fresh or not self.has_current_facts() or not self._can_execute(order):
            return False
        state = self.state
        fencing = max(self.min_fencing, state.sequence + 1)
        try:
            result = await self.client.send_order(order, OrderTerms(self.facts.target, state.sequence, fencing))
        except EnginePausedError as exc:
            self._record_pause(exc)
            return False
        self.sent_orders += 1
        logger.bind(
            order=type(order).__name__,
            adapter=getattr(order, 'adapter', getattr(order, 'model', '')),
            sequence=state.sequence,
            fencing=fencing,
            state_age_ms=round((now - self.state_read_at) * MS_PER_SECOND),
            result=result.value,
        ).info('order')
        self._record_order_result(order, result, fencing)
        return result is OrderResult.ACCEPTED

    def _can_execute(self, order: Order | ModelOrder) -> bool:
        """Return whether an order is safe.

        A load beyond the engine's slots or memory would terminate the engine. Base models are loaded no more often
        than the entries' facts allow, so that repeated restarts do not overload the weight store.
        """
        residency = self.admission.residency
        if isinstance(order, UnloadOrder):
            return True
        if isinstance(order, ModelOrder):
            return BOOT_CLOCK.monotonic() >= self.next_model_load_at and self._fits_in_memory(order.model, 0)
        is_resident = order.adapter in residency.residents
        has_slot = is_resident or residency.used_slots() < residency.slots
        return has_slot and self._fits_in_memory('', int(not is_resident))

    def _fits_in_memory(self, model: str, further_adapters: int) -> bool:
        """Return whether one more base model and adapters fit, all of the largest adapter size of the loaded models."""
        facts = self.facts
        sizes_kb = dict(zip(facts.models, zip(facts.model_kb, facts.adapter_kb, strict=True), strict=True))
        model_names = {*self.admission.models, model} - {''}
        if not model_names <= sizes_kb.keys():
            return False
        adapter_kb = max((sizes_kb[name][1] for name in model_names), default=0)
        adapters_kb = adapter_kb * (self.admission.residency.used_slots() + further_adapters)
        return adapters_kb + sum(sizes_kb[name][0] for name in model_names) <= facts.memory_kb

    def _record_order_result(self, order: Order | ModelOrder, result: OrderResult, fencing: int) -> None:
        if result is OrderResult.FENCED:
            self.min_fencing = 2 * fencing
        if result is OrderResult.MISDIRECTED:
            self.known_facts.reject(self.facts)
            self._choose_facts()
        if isinstance(order, ModelOrder) and result in {OrderResult.ACCEPTED, OrderResult.UNKNOWN}:
            self.next_model_load_at = BOOT_CLOCK.monotonic() + self.facts.load_gap_ms / MS_PER_SECOND
        if isinstance(order, LoadOrder):
            self.accepted_loads += result is OrderResult.ACCEPTED
            if result is OrderResult.REFUSED:
                until = BOOT_CLOCK.monotonic() + LOAD_REFUSAL_SECONDS
                self.admission.record_load_refusal(order.adapter, order.version, until)

    def _apply_state(self, state: EngineState) -> None:
        before = self.state
        if before is None or state.started_ms != before.started_ms:
            self._record_end()
            logger.bind(started_ms=state.started_ms, sequence=state.sequence).info('engine_life_began')
            self.admission.reset()
            self.min_fencing = 0
        if not self.admission.reachable:
            logger.bind(started_ms=state.started_ms).info('engine_reached')
        if state.draining and not self.admission.draining:
            logger.bind(started_ms=state.started_ms).info('engine_leaving')
        self.state = state
        self._choose_facts()
        self.admission.draining = state.draining
        self.admission.update_engine_state(state.models, state.resident_versions, state.loading, self.state_read_at)
        self.admission.engine_request_count = state.running + state.queued
        self.decision_due.set()

    def _record_end(self) -> None:
        """Record that the latest known incarnation of the engine has ended."""
        if self.state is not None and self.crash_watch.record_end(self.state.started_ms, BOOT_CLOCK.monotonic()):
            self._report_crash(self.state.started_ms)
            runs = self.crash_watch.list_runs(self.state.started_ms)
            begun_last = (f'{run.label}:{run.wrote_ms}:{"+".join(run.parts)}' for run in runs[:MAX_LOGGED_RUNS])
            bound = logger.bind(started_ms=self.state.started_ms, broken_runs=len(runs))
            bound.bind(begun_last=' '.join(begun_last)).warning('engine_ended')

    def _report_crash(self, started_ms: int) -> None:
        """Report the runs that broke off around the end of an incarnation."""
        runs = self.crash_watch.list_runs(started_ms)
        if runs:
            suspect_runs = [make_suspect_run(run) for run in runs]
            self.on_crash(make_crash(runs[0].target, started_ms, SYSTEM_CLOCK.unix_ms(), suspect_runs))

    def _record_pause(self, exc: EnginePausedError) -> None:
        self.paused_until = extend_pause(self.paused_until, exc.seconds, BOOT_CLOCK.monotonic())
        logger.bind(seconds=round(exc.seconds, 3)).info('engine_paused')

    def _record_read_failure(self, exc: TamarackfieldError) -> None:
        self.read_failures += 1
        if self.read_failures == UNREACHABLE_AFTER_FAILURES and self.admission.reachable:
            logger.bind(step=exc.step, error=exc.message).warning('engine_lost')
            self.admission.reachable = False
            self.decision_due.set()
