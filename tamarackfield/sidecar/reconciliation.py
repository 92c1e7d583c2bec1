"""Reconciles adapter slots with the status of the engine, including orders without a conclusive answer."""

from tamarackfield.sidecar.jobs import Slot, SlotState
from tamarackfield.sidecar.scheduler import LOAD_RETRY_SECONDS, Scheduler


def mark_uncertain(scheduler: Scheduler, adapter: str, status_valid_from: float, resident_valid_from: float) -> None:
    """Mark an adapter whose order ended without a conclusive answer.

    The order may have taken effect or may still do so.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the target.
    adapter : str
        Adapter reference; it is not used until `reconcile_slots` resolves its state.
    status_valid_from, resident_valid_from : float
        As in `Slot`.
    """
    slot = scheduler.slots_by_adapter.get(adapter)
    if slot is None or slot.state is SlotState.RESIDENT:
        return
    slot.state = SlotState.UNCERTAIN
    slot.status_valid_from = status_valid_from
    slot.resident_valid_from = resident_valid_from


def reconcile_slots(scheduler: Scheduler, resident: frozenset[str], requested_at: float, now: float) -> None:
    """Resolve uncertain adapters and apply the set of adapters that the engine reports as resident.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the target.
    resident : frozenset of str
        Adapters in a status that was requested after the last order ended.
    requested_at, now : float
        Time of the status request and current time, in monotonic seconds.
    """
    for adapter in resident.difference(scheduler.slots_by_adapter):
        scheduler.slots_by_adapter[adapter] = Slot(SlotState.RESIDENT, now, scheduler.count_running_jobs(adapter))
    for name, slot in list(scheduler.slots_by_adapter.items()):
        if slot.state is SlotState.UNCERTAIN and requested_at >= slot.status_valid_from:
            _resolve_uncertain(scheduler, name, now, is_resident=name in resident)
        elif slot.state is SlotState.RESIDENT and name not in resident:
            scheduler.slots_by_adapter.pop(name)


def _resolve_uncertain(scheduler: Scheduler, adapter: str, now: float, *, is_resident: bool) -> None:
    slot = scheduler.slots_by_adapter[adapter]
    if not is_resident:
        scheduler.slots_by_adapter.pop(adapter)
        scheduler.load_retry_at[adapter] = now + LOAD_RETRY_SECONDS
    elif now >= slot.resident_valid_from:
        slot.state = SlotState.RESIDENT
        scheduler.end_stalls(adapter, now)
