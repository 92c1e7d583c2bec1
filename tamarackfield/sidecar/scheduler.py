"""State machine of one target: which request runs, and which adapter is loaded or unloaded.

The scheduler performs no I/O. Its owner applies events by calling its methods, executes the actions
that `Scheduler.next_actions` returns, and reports their results. An adapter that a running request
uses is pinned: it is never evicted.
"""

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from tamarackfield.policy.admission import ADMISSION_POLICIES, DEFAULT_ADMISSION, AdmissionPolicy, Backlog
from tamarackfield.policy.queueing import QueueOrder
from tamarackfield.policy.eviction import EvictionPolicy, IdleAdapter
from tamarackfield.sidecar.jobs import (
    Action,
    Dispatch,
    Job,
    Load,
    Refuse,
    Slot,
    SlotState,
    Unload,
    compute_stall_seconds,
)

#: Limit on concurrent loads at one engine.
MAX_CONCURRENT_LOADS = 2
#: Backoff after the first failed load of an adapter; it is multiplied by the number of failures.
LOAD_RETRY_SECONDS = 0.5
#: Limit on the wanted adapters (see `Scheduler.find_wanted_adapters`) in a report.
MAX_WANTED_ADAPTERS = 16


def find_missing_adapters(jobs: Iterable[Job], slots_by_adapter: dict[str, Slot]) -> Iterator[str]:
    """Yield each adapter that the jobs need and that has no slot, in the order of the jobs."""
    seen = {''}
    for job in jobs:
        if job.adapter not in seen and job.adapter not in slots_by_adapter:
            seen.add(job.adapter)
            yield job.adapter


@dataclass(slots=True)
class Scheduler:
    """Queue, slots and pins of one target.

    Parameters
    ----------
    slots : int
        Limit on the adapters in the engine.
    batch : int
        Limit on the requests that the target runs concurrently.
    eviction : callable
        Selects the adapter to evict among those that no request needs.
    queue_order : callable
        Orders the waiting jobs.
    admission : AdmissionPolicy
        Decides which jobs are refused on arrival or at dispatch.
    load_seconds, service_seconds : float
        Smoothed times of a load and of a request, updated by the owner.
    """

    slots: int
    batch: int
    eviction: EvictionPolicy
    queue_order: QueueOrder
    admission: AdmissionPolicy = ADMISSION_POLICIES[DEFAULT_ADMISSION]
    load_seconds: float = 0.25
    service_seconds: float = 0.5
    pending_refusals: list[Refuse] = field(default_factory=list)
    waiting_by_caller: Counter[str] = field(default_factory=Counter)
    waiting: dict[int, Job] = field(default_factory=dict)
    running: dict[int, Job] = field(default_factory=dict)
    slots_by_adapter: dict[str, Slot] = field(default_factory=dict)
    load_retry_at: dict[str, float] = field(default_factory=dict)
    load_failures: Counter[str] = field(default_factory=Counter)

    def add_job(self, job: Job) -> None:
        """Queue a job, or refuse it at once if it cannot end before its deadline."""
        retry_after = self.admission.on_arrival(self.estimate_backlog(job), job.deadline - job.arrived_at)
        if retry_after:
            self.pending_refusals.append(Refuse(job.job_id, 'overloaded', retry_after))
            return
        if job.adapter and not self.is_resident(job.adapter):
            job.stalled_at = job.arrived_at
        self.waiting[job.job_id] = job
        self.waiting_by_caller[job.caller] += 1

    def estimate_backlog(self, job: Job) -> Backlog:
        """Return the work that precedes a job that arrives now.

        Callers are served in turn, so the number of jobs that precede it is at most the queue of its
        own caller, including this job, multiplied by the number of callers with waiting jobs.
        """
        turns = (self.waiting_by_caller[job.caller] + 1) * (len(self.waiting_by_caller) or 1)
        loads_ahead = 0
        if job.adapter and not self.is_resident(job.adapter):
            loads_ahead = len({*self.find_wanted_adapters(), job.adapter})
        return Backlog(
            running=len(self.running),
            batch=self.batch,
            ahead=min(len(self.waiting), turns),
            loads_ahead=loads_ahead,
            concurrent_loads=MAX_CONCURRENT_LOADS,
            service_seconds=self.service_seconds,
            load_seconds=self.load_seconds,
        )

    def _dequeue(self, job_id: int) -> Job | None:
        job = self.waiting.pop(job_id, None)
        if job is not None:
            self.waiting_by_caller[job.caller] -= 1
            if not self.waiting_by_caller[job.caller]:
                self.waiting_by_caller.pop(job.caller)
        return job

    def remove_job(self, job_id: int, now: float) -> None:
        """Remove a job that ended, waiting or running, and release its pin."""
        self._dequeue(job_id)
        job = self.running.pop(job_id, None)
        if job is None:
            return
        slot = self.slots_by_adapter.get(job.adapter)
        if slot is not None and slot.pins:
            slot.pins -= 1
            slot.last_used = now

    def confirm_load(self, adapter: str, now: float) -> None:
        """Record that the engine confirmed a load."""
        slot = self.slots_by_adapter.get(adapter)
        if slot is not None and slot.state is SlotState.LOADING:
            slot.state = SlotState.RESIDENT
            slot.last_used = now
            self.end_stalls(adapter, now)
        self.load_retry_at.pop(adapter, None)
        self.load_failures.pop(adapter, None)

    def record_load_failure(self, adapter: str, now: float) -> None:
        """Record that a load failed; it is retried with a growing backoff."""
        slot = self.slots_by_adapter.get(adapter)
        if slot is not None and slot.state is SlotState.LOADING:
            self.slots_by_adapter.pop(adapter)
        self.load_failures[adapter] += 1
        self.load_retry_at[adapter] = now + LOAD_RETRY_SECONDS * self.load_failures[adapter]

    def confirm_unload(self, adapter: str) -> None:
        """Record that the engine confirmed an unload."""
        slot = self.slots_by_adapter.get(adapter)
        if slot is not None and slot.state is SlotState.UNLOADING:
            self.slots_by_adapter.pop(adapter)

    def record_unload_failure(self, adapter: str) -> None:
        """Record that an unload was refused; the adapter counts as resident again."""
        slot = self.slots_by_adapter.get(adapter)
        if slot is not None and slot.state is SlotState.UNLOADING:
            slot.state = SlotState.RESIDENT

    def reset_residents(self, resident: Iterable[str], now: float) -> None:
        """Replace the resident adapters by those that the engine reports.

        This follows a restart of the engine, a pause of this process or a stale status. The slot of
        an adapter whose order is in progress or uncertain is kept: that order may still take effect.
        """
        pins = Counter(job.adapter for job in self.running.values())
        unresolved = {
            name: slot for name, slot in self.slots_by_adapter.items() if slot.state is not SlotState.RESIDENT
        }
        reported = {adapter: Slot(SlotState.RESIDENT, now, pins[adapter]) for adapter in resident}
        self.slots_by_adapter = reported | unresolved

    def refuse_waiting(self, code: str, retry_after: int) -> list[Refuse]:
        """Return refusals of every waiting job, because this process may no longer dispatch."""
        refused = [*self.pending_refusals, *(Refuse(job_id, code, retry_after) for job_id in self.waiting)]
        self.pending_refusals.clear()
        self.waiting.clear()
        self.waiting_by_caller.clear()
        return refused

    def end_stalls(self, adapter: str, now: float) -> None:
        """Record that the waiting jobs of an adapter no longer wait for its load."""
        for job in self.waiting.values():
            if job.adapter == adapter:
                job.resident_at = now

    def is_resident(self, adapter: str) -> bool:
        """Return whether an adapter is known to be loaded."""
        slot = self.slots_by_adapter.get(adapter)
        return slot is not None and slot.state is SlotState.RESIDENT

    def find_wanted_adapters(self) -> list[str]:
        """Return the adapters without a slot that jobs wait for, at most `MAX_WANTED_ADAPTERS`, by arrival."""
        return list(
            itertools.islice(find_missing_adapters(self.waiting.values(), self.slots_by_adapter), MAX_WANTED_ADAPTERS)
        )

    def next_actions(self, now: float) -> list[Action]:
        """Return the actions to execute now; the state already counts them as in progress."""
        actions = self.refuse_expired(now)
        if len(self.running) >= self.batch and self._count_slots(SlotState.LOADING) >= MAX_CONCURRENT_LOADS:
            return actions
        ordered = self._ordered_jobs()
        actions.extend(self._dispatch_actions(ordered, now))
        actions.extend(self._load_actions(ordered, now))
        return actions

    def _ordered_jobs(self) -> list[Job]:
        running = Counter(job.caller for job in self.running.values())
        return self.queue_order(self.waiting.values(), running)

    def refuse_expired(self, now: float) -> list[Action]:
        """Return refusals of jobs that were not admitted and of waiting jobs whose deadline has passed."""
        refused = list(self.pending_refusals)
        self.pending_refusals.clear()
        expired = [job for job in self.waiting.values() if job.deadline <= now]
        for job in expired:
            self._dequeue(job.job_id)
        refused.extend(Refuse(job.job_id, 'deadline_passed', 1, compute_stall_seconds(job, now)) for job in expired)
        return refused

    def _dispatch_actions(self, ordered: list[Job], now: float) -> list[Action]:
        actions: list[Action] = []
        for job in ordered:
            if len(self.running) >= self.batch:
                break
            if not job.adapter or self.is_resident(job.adapter):
                actions.append(self._start_job(job, now))
        return actions

    def _start_job(self, job: Job, now: float) -> Action:
        self._dequeue(job.job_id)
        if not self.admission.on_dispatch(job.deadline - now, self.service_seconds, len(self.waiting)):
            return Refuse(job.job_id, 'overloaded', 1, compute_stall_seconds(job, now))
        job.started_at = now
        self.running[job.job_id] = job
        slot = self.slots_by_adapter.get(job.adapter)
        if slot is not None:
            slot.pins += 1
            slot.last_used = now
        return Dispatch(job.job_id)

    def _load_actions(self, ordered: list[Job], now: float) -> list[Action]:
        actions: list[Action] = []
        for adapter in find_missing_adapters(ordered, self.slots_by_adapter):
            if self._count_slots(SlotState.LOADING) >= MAX_CONCURRENT_LOADS:
                break
            if self.load_retry_at.get(adapter, 0) > now:
                continue
            if len(self.slots_by_adapter) < self.slots:
                self.slots_by_adapter[adapter] = Slot(SlotState.LOADING, now, self.count_running_jobs(adapter))
                actions.append(Load(adapter))
            elif self._count_slots(SlotState.UNLOADING):
                break
            else:
                return [*actions, *self._evict_adapter(now)]
        return actions

    def _evict_adapter(self, now: float) -> list[Action]:
        needed = {job.adapter for job in self.waiting.values()}
        idle = [
            IdleAdapter(adapter, slot.last_used)
            for adapter, slot in self.slots_by_adapter.items()
            if slot.state is SlotState.RESIDENT and not slot.pins and adapter not in needed
        ]
        if not idle:
            return []
        victim = self.eviction(idle, now).adapter
        self.slots_by_adapter[victim].state = SlotState.UNLOADING
        return [Unload(victim)]

    def count_running_jobs(self, adapter: str) -> int:
        """Count the running jobs of an adapter, including those from before a restart of the engine."""
        return sum(job.adapter == adapter for job in self.running.values())

    def _count_slots(self, state: SlotState) -> int:
        return sum(slot.state is state for slot in self.slots_by_adapter.values())


def is_idle(scheduler: Scheduler) -> bool:
    """Return whether no request waits or runs."""
    return not scheduler.waiting and not scheduler.running
