"""Reports of a sidecar on its target: resident adapters and load."""

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.sidecar.jobs import SlotState
from tamarackfield.sidecar.worker import TargetWorker
from tamarackfield.wire import Holdings, LoadReport


def make_holdings(worker: TargetWorker) -> Holdings:
    """Return the adapters that are resident, loading or requested by waiting jobs."""
    scheduler = worker.scheduler
    residents = [name for name, slot in scheduler.slots_by_adapter.items() if slot.state is SlotState.RESIDENT]
    loading = [name for name, slot in scheduler.slots_by_adapter.items() if slot.state is SlotState.LOADING]
    return Holdings(sorted(residents), sorted({*loading, *scheduler.find_wanted_adapters()}))


def make_report(worker: TargetWorker, draining: str, entries: int) -> LoadReport:
    """Return the current load of a target.

    Parameters
    ----------
    worker : TargetWorker
        Worker of the target.
    draining : str
        Reason of the drain; empty while the target accepts requests.
    entries : int
        Number of open streams from entries.
    """
    scheduler = worker.scheduler
    return LoadReport(
        unix_ms=SYSTEM_CLOCK.unix_ms(),
        incarnation=worker.engine_incarnation,
        ready=worker.may_send() and not draining,
        batch=scheduler.batch,
        running=len(scheduler.running),
        queued=len(scheduler.waiting),
        slots=scheduler.slots,
        pinned=sum(slot.pins > 0 for slot in scheduler.slots_by_adapter.values()),
        load_ms=round(worker.load_seconds * MS_PER_SECOND),
        service_ms=round(worker.service_seconds * MS_PER_SECOND),
        entries=entries,
    )
