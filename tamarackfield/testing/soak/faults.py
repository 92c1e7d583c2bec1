"""Faults of a soak test; each reverts itself after its duration."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.platform_site import DRAIN_SECONDS, MODEL_SERVICE, PLAIN_SERVICE, PlatformProcess
from tamarackfield.testing.platform_worker import PlatformWorker, WorkerFault
from tamarackfield.testing.relay import FAULTY_MODES, Relay, no_faults
from tamarackfield.testing.soak.crashes import crash_on_part, crash_on_request
from tamarackfield.testing.soak.hangups import restart_amid_signals
from tamarackfield.testing.soak.limits import state_limit
from tamarackfield.testing.soak.outages import silence_store
from tamarackfield.testing.soak.plan import PlannedFault
from tamarackfield.testing.soak.site import EVENT_SECONDS, DrainWindow, SoakSite
from tamarackfield.testing.soak.standstills import change_limits, hold_entry, silence_worker

#: Time after which the address of a stopped worker may be reused by another worker.
ADDRESS_REUSE_SECONDS = 2.0
#: Time after a recovery of the store within which live workers register again.
RELIST_SECONDS = 1.5
_STORE_FAULTS = ('busy', 'limited', 'reset', 'silent')
_WORKER_FAULTS = (
    'errors',
    'shed',
    'hang',
    'reset_after_run',
    'extra',
    'unframed',
    'unframed_reset',
    'garbage',
    'cut',
    'unsigned',
    'encoded',
)
_FURTHER_WORKER_FAULTS = ('pause', 'unframed_cut', 'endless_head', 'endless_body')
_MAX_FAULTY_REQUESTS = 10
_PAUSE_SECONDS = '1.5'
_MAX_EVENT_SECONDS = 0.3
_MAX_DELAY_SECONDS = 0.3
_UPDATED_ADAPTER_COUNT = 3

Fault = Callable[[SoakSite, PlannedFault, Incident], Awaitable[None]]
Element = TypeVar('Element')


def select_by_share(choices: Sequence[Element], share: float) -> Element:
    """Return the element at a relative position between 0 and 1 of a sequence.

    Examples
    --------
    >>> select_by_share('abcd', 0.0), select_by_share('abcd', 0.99)
    ('a', 'd')
    """
    return choices[int(share * len(choices))]


def make_kill_fault(get_processes: Callable[[SoakSite], Sequence[PlatformProcess]]) -> Fault:
    """Return a fault that kills a process and starts it again."""

    async def inject(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
        process = select_by_share(get_processes(site), step.target_share)
        incident.where = process.name
        async with site.locks[process.name]:
            await process.kill()
            await asyncio.sleep(step.duration_seconds / 2)
            await process.start()

    return inject


def make_stop_fault(get_processes: Callable[[SoakSite], Sequence[PlatformProcess]]) -> Fault:
    """Return a fault that terminates a process gracefully, expects exit code 0 and starts it again."""

    async def inject(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
        process = select_by_share(get_processes(site), step.target_share)
        incident.where = process.name
        async with site.locks[process.name]:
            if not process.has_started():
                return
            code = await process.terminate()
            if code:
                site.record_violation(f'{process.name} stopped with exit code {code}', incident.started_at)
            await process.start()

    return inject


def make_pause_fault(get_processes: Callable[[SoakSite], Sequence[PlatformProcess]]) -> Fault:
    """Return a fault that suspends a process with SIGSTOP and resumes it."""

    async def inject(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
        process = select_by_share(get_processes(site), step.target_share)
        incident.where = process.name
        running = process.process
        if running is None or running.returncode is not None:
            return
        running.send_signal(signal.SIGSTOP)
        await _wait_duration(step)
        if running.returncode is None:
            running.send_signal(signal.SIGCONT)

    return inject


async def reload_settings(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Send SIGHUP to a process so that it reloads its settings."""
    process = select_by_share(site.list_processes(), step.target_share)
    incident.where = process.name
    async with site.locks[process.name]:
        if process.has_started():
            process.send_signal(signal.SIGHUP)


async def restart_worker(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Stop a worker and start a new incarnation of it with empty state."""
    worker = _select_worker(site, step, incident)
    async with site.worker_lock(worker):
        await worker.stop()
        await _wait_duration(step)
        await worker.restart()
        site.write_worker_entry(worker)


async def drain_worker(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Announce that a worker drains, remove it from the list of servers and start it again later."""
    worker = _select_worker(site, step, incident)
    async with site.worker_lock(worker):
        worker.state = 'draining'
        site.write_worker_entry(worker)
        await asyncio.sleep(step.duration_seconds / 2)
        site.store.delete(f'servers/{worker.name}')
        drain_window = DrainWindow(worker, SYSTEM_CLOCK.monotonic() + DRAIN_SECONDS)
        site.drain_windows.append(drain_window)
        await asyncio.sleep(DRAIN_SECONDS + step.duration_seconds)
        drain_window.ends_at = SYSTEM_CLOCK.monotonic()
        worker.state = 'ready'
        await worker.restart()
        site.write_worker_entry(worker)


async def announce_leaving(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Let a worker say in its answers, but not in the store, that it leaves; then start a new incarnation of it."""
    worker = _select_worker(site, step, incident)
    async with site.worker_lock(worker):
        worker.announces_leaving = True
        await asyncio.sleep(DRAIN_SECONDS + step.duration_seconds)
        worker.announces_leaving = False
        await worker.restart()
        site.write_worker_entry(worker)


async def replace_worker(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Stop a worker permanently and start another one at its address as soon as reuse is allowed."""
    worker = select_by_share(site.get_service_workers(PLAIN_SERVICE), step.target_share)
    incident.where = worker.name
    async with site.worker_lock(worker):
        await worker.stop()
        site.store.delete(f'servers/{worker.name}')
        await asyncio.sleep(ADDRESS_REUSE_SECONDS)
        worker.name = f'{worker.name}-next'
        await worker.restart()
        site.write_worker_entry(worker)


def make_request_fault(kinds: Sequence[str]) -> Fault:
    """Return a fault that makes a worker fail some of its next requests in one of several ways."""

    async def inject(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
        worker = _select_worker(site, step, incident)
        kind = select_by_share(kinds, step.variant_share)
        incident.where = f'{worker.name} {kind}'
        worker.retry_after = _PAUSE_SECONDS
        worker.fault = WorkerFault(kind, 1 + int(step.variant_share * _MAX_FAULTY_REQUESTS))
        await _wait_duration(step)
        worker.fault = WorkerFault()

    return inject


async def slow_worker(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Increase the time between the stream events of a worker."""
    worker = _select_worker(site, step, incident)
    worker.event_interval_seconds = step.variant_share * _MAX_EVENT_SECONDS
    await _wait_duration(step)
    worker.event_interval_seconds = EVENT_SECONDS


async def cut_streams(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Make a model worker cut its streams within an event."""
    worker = select_by_share(site.get_service_workers(MODEL_SERVICE), step.target_share)
    incident.where = worker.name
    worker.cut_after_event = 1 + int(step.variant_share * worker.event_count)
    await _wait_duration(step)
    worker.cut_after_event = 0


async def copy_answers(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Make a worker send each answer once more where the next one is expected."""
    worker = _select_worker(site, step, incident)
    worker.sends_second_copies = True
    await asyncio.sleep(step.duration_seconds)
    worker.sends_second_copies = False


async def fail_store(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Make the store fail for all its clients, or for some entries only."""
    fault_kind = select_by_share(_STORE_FAULTS, step.variant_share)
    entries = [str(entry.settings['ip']) for entry in site.entries]
    affected_entries = entries[: int(step.target_share * (len(entries) + 1))]
    incident.where = f'{fault_kind} for {affected_entries or "all"}'
    site.store.faulted_hosts = set(affected_entries)
    site.store.fault = fault_kind
    await _wait_duration(step)
    site.store.fault = ''


async def expire_leases(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Fail the store until its leases expire; live workers register again after its recovery."""
    site.store.faulted_hosts = set()
    site.store.fault = 'busy'
    await asyncio.sleep(step.duration_seconds + RELIST_SECONDS)
    site.store.expire_leases('servers/')
    site.store.fault = ''
    await asyncio.sleep(step.variant_share * RELIST_SECONDS)
    drained_workers = [
        drain_window.worker for drain_window in site.drain_windows if drain_window.ends_at > SYSTEM_CLOCK.monotonic()
    ]
    for worker in site.workers.values():
        if worker not in drained_workers:
            site.write_worker_entry(worker)


async def compact_history(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Compact the change history that watches of the store resume from."""
    site.store.compact()


async def return_store_from_copy(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Let the store lose its last changes; the operator and the workers write them again later."""
    copy = site.store.make_copy()
    await asyncio.sleep(step.duration_seconds)
    present = dict(site.store.items)
    site.store.return_from_copy(copy)
    await asyncio.sleep(step.variant_share * RELIST_SECONDS)
    site.store.write_again(present, copy)


async def disrupt_link(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Cut, freeze or silence the connections of one link."""
    name, relay = _select_relay(site, step)
    mode = select_by_share(FAULTY_MODES, step.variant_share)
    incident.where = f'{name} {mode}'
    if mode == 'cut':
        relay.cut_connections()
    await _set_relay_fault(relay, 'mode', mode, step)


async def delay_link(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Delay all data on one link."""
    name, relay = _select_relay(site, step)
    incident.where = name
    await _set_relay_fault(relay, 'delay', step.variant_share * _MAX_DELAY_SECONDS, step)


async def reset_connections(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Reset all connections of one kind of link at once."""
    kind = select_by_share(('worker', 'store', 'peer', 'sidecar'), step.target_share)
    incident.where = kind
    for name, relay in site.relays.items():
        if name.startswith(kind):
            relay.reset_connections()


async def change_configuration(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Publish the next configuration version, as the operator does."""
    incident.where = f'version {site.change_configuration()}'


async def announce_version(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Announce the next version of an adapter, as the operator does."""
    adapter = f'a{int(step.target_share * _UPDATED_ADAPTER_COUNT)}'
    site.adapter_versions[adapter] += 1
    version = 1 + site.adapter_versions[adapter]
    incident.where = f'{adapter}@{version}'
    document: dict[str, Any] = {'model': 'base', 'adapter': adapter, 'version': version}
    site.store.put(f'op/version/base/{adapter}', document)


async def _set_relay_fault(relay: Relay, name: str, setting: Any, step: PlannedFault) -> None:
    relay.faults[name] = setting
    await _wait_duration(step)
    relay.faults[name] = no_faults()[name]


async def _wait_duration(step: PlannedFault) -> None:
    await asyncio.sleep(step.duration_seconds)


def _select_worker(site: SoakSite, step: PlannedFault, incident: Incident) -> PlatformWorker:
    worker = select_by_share(list(site.workers.values()), step.target_share)
    incident.where = worker.name
    return worker


def _select_relay(site: SoakSite, step: PlannedFault) -> tuple[str, Relay]:
    return select_by_share(list(site.relays.items()), step.target_share)


def _get_entries(site: SoakSite) -> Sequence[PlatformProcess]:
    return site.entries


def _get_sidecars(site: SoakSite) -> Sequence[PlatformProcess]:
    return list(site.sidecars.values())


#: Fault functions by the fault names of plans and traces.
FAULTS: dict[str, Fault] = {
    'entry_killed': make_kill_fault(_get_entries),
    'entry_stopped': make_stop_fault(_get_entries),
    'entry_paused': make_pause_fault(_get_entries),
    'sidecar_killed': make_kill_fault(_get_sidecars),
    'sidecar_stopped': make_stop_fault(_get_sidecars),
    'sidecar_paused': make_pause_fault(_get_sidecars),
    'settings_read_again': reload_settings,
    'worker_restarted': restart_worker,
    'worker_left': drain_worker,
    'worker_replaced': replace_worker,
    'worker_misbehaved': make_request_fault(_WORKER_FAULTS),
    'worker_slow': slow_worker,
    'streams_cut': cut_streams,
    'store_failed': fail_store,
    'leases_lapsed': expire_leases,
    'history_lost': compact_history,
    'link_disturbed': disrupt_link,
    'link_delayed': delay_link,
    'connections_reset': reset_connections,
    'configuration_changed': change_configuration,
    'version_announced': announce_version,
}
#: Later additions, drawn in a series of their own, so that former seeds still give the faults that they gave.
FURTHER_FAULTS: dict[str, Fault] = {
    'store_returned': return_store_from_copy,
    'worker_announced_leaving': announce_leaving,
    'worker_answered_oddly': make_request_fault(_FURTHER_WORKER_FAULTS),
}
#: Additions after those, in a further series of their own.
LATEST_FAULTS: dict[str, Fault] = {
    'workers_crash_on_part': crash_on_part,
    'streams_drip': make_request_fault(('drip',)),
    'answers_copied': copy_answers,
}
#: Additions after those, in a further series of their own.
STANDSTILL_FAULTS: dict[str, Fault] = {
    'entry_held': hold_entry,
    'worker_silent': silence_worker,
    'limits_changed': change_limits,
}
#: Additions after those, in a further series of their own.
LIMIT_FAULTS: dict[str, Fault] = {'limit_stated': state_limit}
#: Additions after those, in a further series of their own.
OUTAGE_FAULTS: dict[str, Fault] = {'store_silent': silence_store}
#: Additions after those, in a further series of their own.
CRASH_FAULTS: dict[str, Fault] = {'workers_crash_on_request': crash_on_request}
#: Additions after those, in a further series of their own.
SIGNAL_FAULTS: dict[str, Fault] = {'restarted_amid_signals': restart_amid_signals}
#: Fault functions by name, of all series.
ALL_FAULTS = (
    FAULTS
    | FURTHER_FAULTS
    | LATEST_FAULTS
    | STANDSTILL_FAULTS
    | LIMIT_FAULTS
    | OUTAGE_FAULTS
    | CRASH_FAULTS
    | SIGNAL_FAULTS
)
