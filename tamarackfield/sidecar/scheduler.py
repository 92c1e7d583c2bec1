"""State machine of one target: which request runs, which adapter is loaded or unloaded.

The scheduler does no I/O. Events go in through its commands; `decide` returns the actions that
follow. Its owner carries them out and reports back. An adapter that a running request uses is
pinned: it is never chosen for unloading.
"""

import enum
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from tamarackfield.policy.queueing import QueueOrder, Waiting
from tamarackfield.policy.slots import Eviction, SlotUse

#: Loads that a sidecar has under way at once.
MAX_CONCURRENT_LOADS = 2
#: Seconds after which a failed load is tried again.
LOAD_RETRY_SECONDS = 0.5
#: Wanted adapters that a load report names.
MAX_WANTED = 16
#: Decay of an adapter's use count at each use.
FREQUENCY_DECAY = 0.9


class SlotState(enum.Enum):
    """State of one adapter in the engine's slots."""

    LOADING = 'loading'
    RESIDENT = 'resident'
    UNLOADING = 'unloading'
    #: An order ended without an answer; only a later status of the engine tells what it did.
    UNCERTAIN = 'uncertain'


@dataclass(slots=True)
class Slot:
    """One adapter in the engine's slots; ``pins`` counts the running requests that use it.

    While the state is uncertain, only a status asked at ``settles_at`` or later counts, and one
    that shows the adapter as resident only from ``trusted_at`` on; both are monotonic seconds.
    """

    state: SlotState
    last_used: float
    pins: int = 0
    frequency: float = 0.0
    settles_at: float = 0.0
    trusted_at: float = 0.0


@dataclass(slots=True)
class Job:
    """One request in the sidecar.

    Parameters
    ----------
    job_id : int
        Grows with arrival.
    adapter : str
        Adapter reference; empty for a plain service.
    caller : str
        Who sent it.
    priority : int
        0 is the most urgent.
    arrived_at, deadline : float
        Monotonic seconds.
    started_at : float
        Monotonic seconds of dispatch; 0 while it waits.
    stalled_at : float
        When the wait for its adapter began, monotonic seconds; 0 if it was resident on arrival.
    resident_at : float
        When its adapter was found resident; 0 before.
    """

    job_id: int
    adapter: str
    caller: str
    priority: int
    arrived_at: float
    deadline: float
    started_at: float = 0.0
    stalled_at: float = 0.0
    resident_at: float = 0.0


def stall_seconds(job: Job, now: float) -> float:
    """Return how long a job has waited, or did wait, because its adapter was not loaded.

    Examples
    --------
    >>> stall_seconds(Job(1, 'a@1', 'clinic', 5, 2.0, 9.0, stalled_at=2.0), 5.0)
    3.0
    """
    if not job.stalled_at:
        return 0.0
    return max(0.0, (job.resident_at or job.started_at or now) - job.stalled_at)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send this job to the target now."""

    job_id: int


@dataclass(frozen=True, slots=True)
class Load:
    """Order the engine to load an adapter."""

    adapter: str


@dataclass(frozen=True, slots=True)
class Unload:
    """Order the engine to unload an adapter."""

    adapter: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """End this job with outcome ``not_run``; ``stalled`` is how long it waited for its adapter, in seconds."""

    job_id: int
    code: str
    retry_after: int
    stalled: float = 0.0


Action = Dispatch | Load | Unload | Refuse


@dataclass(slots=True)
class Scheduler:
    """Queue, slots and pins of one target.

    Parameters
    ----------
    slots : int
        Adapters that the engine holds at once.
    batch : int
        Requests that the target runs at once.
    eviction : callable
        Chooses among adapters that no request needs.
    queue_order : callable
        Orders the waiting jobs.
    """

    slots: int
    batch: int
    eviction: Eviction
    queue_order: QueueOrder
    waiting: dict[int, Job] = field(default_factory=dict)
    running: dict[int, Job] = field(default_factory=dict)
    table: dict[str, Slot] = field(default_factory=dict)
    load_again_at: dict[str, float] = field(default_factory=dict)
    failures: Counter[str] = field(default_factory=Counter)

    def arrive(self, job: Job) -> None:
        """Take in a job."""
        if job.adapter and not self.is_resident(job.adapter):
            job.stalled_at = job.arrived_at
        self.waiting[job.job_id] = job

    def leave(self, job_id: int, now: float) -> None:
        """Forget a job that ended, whether it waited or ran, and drop its pin."""
        self.waiting.pop(job_id, None)
        job = self.running.pop(job_id, None)
        if job is None:
            return
        slot = self.table.get(job.adapter)
        if slot is not None and slot.pins:
            slot.pins -= 1
            slot.last_used = now

    def loaded(self, adapter: str, now: float) -> None:
        """Note that the engine confirmed a load."""
        slot = self.table.get(adapter)
        if slot is not None and slot.state is SlotState.LOADING:
            slot.state = SlotState.RESIDENT
            slot.last_used = now
            self.end_stalls(adapter, now)
        self.load_again_at.pop(adapter, None)
        self.failures.pop(adapter, None)

    def load_failed(self, adapter: str, now: float) -> None:
        """Note that a load failed; it is tried again later, with growing pauses."""
        slot = self.table.get(adapter)
        if slot is not None and slot.state is SlotState.LOADING:
            self.table.pop(adapter)
        self.failures[adapter] += 1
        self.load_again_at[adapter] = now + LOAD_RETRY_SECONDS * self.failures[adapter]

    def unloaded(self, adapter: str) -> None:
        """Note that the engine confirmed an unload."""
        slot = self.table.get(adapter)
        if slot is not None and slot.state is SlotState.UNLOADING:
            self.table.pop(adapter)

    def unload_failed(self, adapter: str) -> None:
        """Note that an unload was refused; the adapter counts as resident again."""
        slot = self.table.get(adapter)
        if slot is not None and slot.state is SlotState.UNLOADING:
            slot.state = SlotState.RESIDENT

    def reset(self, resident: Iterable[str], now: float) -> None:
        """Take over what the engine says it holds, after a restart of it or a pause of this process.

        An adapter whose order is under way or uncertain is left as it is: that order may yet
        take effect.
        """
        pins = Counter(job.adapter for job in self.running.values())
        unsettled = {name: slot for name, slot in self.table.items() if slot.state is not SlotState.RESIDENT}
        found = {adapter: Slot(SlotState.RESIDENT, now, pins[adapter]) for adapter in resident}
        self.table = found | unsettled

    def refuse_all(self, code: str, retry_after: int) -> list[Refuse]:
        """Refuse every waiting job, since this process may not dispatch any more."""
        refused = [Refuse(job_id, code, retry_after) for job_id in self.waiting]
        self.waiting.clear()
        return refused

    def end_stalls(self, adapter: str, now: float) -> None:
        """Note that the waiting jobs of an adapter need not wait for a load any more."""
        for job in self.waiting.values():
            if job.adapter == adapter:
                job.resident_at = now

    def is_resident(self, adapter: str) -> bool:
        """Tell whether an adapter was seen loaded."""
        slot = self.table.get(adapter)
        return slot is not None and slot.state is SlotState.RESIDENT

    def wanted(self) -> list[str]:
        """Return adapters that requests wait for and that are in no slot, the first `MAX_WANTED` by arrival."""
        missing = dict.fromkeys(job.adapter for job in self.waiting.values() if job.adapter not in self.table)
        missing.pop('', None)
        return list(missing)[:MAX_WANTED]

    def decide(self, now: float) -> list[Action]:
        """Return what to do now; the state already counts it as under way."""
        actions: list[Action] = self.expire(now)
        ordered = self._ordered()
        actions.extend(self._dispatches(ordered, now))
        actions.extend(self._loads(ordered, now))
        return actions

    def _ordered(self) -> list[Job]:
        items = (Waiting(job.job_id, job.caller, job.priority) for job in self.waiting.values())
        running = Counter(job.caller for job in self.running.values())
        return [self.waiting[item.job_id] for item in self.queue_order(items, running)]

    def expire(self, now: float) -> list[Action]:
        """Refuse the waiting jobs whose deadline has passed."""
        late = [job for job in self.waiting.values() if job.deadline <= now]
        for job in late:
            self.waiting.pop(job.job_id)
        return [Refuse(job.job_id, 'deadline_passed', 1, stall_seconds(job, now)) for job in late]

    def _dispatches(self, ordered: list[Job], now: float) -> list[Action]:
        actions: list[Action] = []
        for job in ordered:
            if len(self.running) >= self.batch:
                break
            if not job.adapter or self.is_resident(job.adapter):
                self._start(job, now)
                actions.append(Dispatch(job.job_id))
        return actions

    def _start(self, job: Job, now: float) -> None:
        job.started_at = now
        self.waiting.pop(job.job_id)
        self.running[job.job_id] = job
        slot = self.table.get(job.adapter)
        if slot is not None:
            slot.pins += 1
            slot.last_used = now
            slot.frequency = slot.frequency * FREQUENCY_DECAY + 1

    def _loads(self, ordered: list[Job], now: float) -> list[Action]:
        actions: list[Action] = []
        needed = {job.adapter for job in ordered if job.adapter}
        missing = dict.fromkeys(job.adapter for job in ordered if job.adapter and job.adapter not in self.table)
        for adapter in missing:
            if self._count(SlotState.LOADING) >= MAX_CONCURRENT_LOADS:
                break
            if self.load_again_at.get(adapter, 0) > now:
                continue
            if len(self.table) < self.slots:
                self.table[adapter] = Slot(SlotState.LOADING, now, self.users(adapter))
                actions.append(Load(adapter))
            elif not self._count(SlotState.UNLOADING):
                actions.extend(self._evict(needed, now))
        return actions

    def _evict(self, needed: set[str], now: float) -> list[Action]:
        idle = [
            SlotUse(adapter, slot.last_used, slot.frequency)
            for adapter, slot in self.table.items()
            if slot.state is SlotState.RESIDENT and not slot.pins and adapter not in needed
        ]
        if not idle:
            return []
        victim = self.eviction(idle, now).adapter
        self.table[victim].state = SlotState.UNLOADING
        return [Unload(victim)]

    def users(self, adapter: str) -> int:
        """Count the running jobs of an adapter, those from before a restart of the engine among them."""
        return sum(job.adapter == adapter for job in self.running.values())

    def _count(self, state: SlotState) -> int:
        return sum(slot.state is state for slot in self.table.values())
