"""Faults of a soak; each ends by itself."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.platform_site import DRAIN_SECONDS, MODEL_SERVICE, PLAIN_SERVICE, PlatformProcess
from tamarackfield.testing.platform_worker import PlatformWorker, WorkerFault
from tamarackfield.testing.relay import FAULTY_MODES, Relay, no_faults
from tamarackfield.testing.soak.plan import Step
from tamarackfield.testing.soak.site import EVENT_SECONDS, Absence, SoakSite

#: Seconds after which the address of a worker that ended may go to another one.
REUSE_SECONDS = 2.0
#: Seconds after the store's return in which live workers list themselves again.
RELIST_SECONDS = 1.5
_STORE_TROUBLES = ('busy', 'limited', 'reset', 'silent')
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
_MOST_STRUCK = 10
_SLOWEST_EVENT = 0.3
_LONGEST_DELAY = 0.3
_CHANGED_ADAPTERS = 3

Fault = Callable[[SoakSite, Step, Incident], Awaitable[None]]
Kind = TypeVar('Kind')


def pick(choices: Sequence[Kind], share: float) -> Kind:
    """Return the choice at a share of them.

    Examples
    --------
    >>> pick('abcd', 0.0), pick('abcd', 0.99)
    ('a', 'd')
    """
    return choices[int(share * len(choices))]


def kill(processes_of: Callable[[SoakSite], Sequence[PlatformProcess]]) -> Fault:
    """Return a fault that kills a program and starts it again."""

    async def inject(site: SoakSite, step: Step, incident: Incident) -> None:
        process = pick(processes_of(site), step.where)
        incident.where = process.name
        async with site.locks[process.name]:
            await process.kill()
            await asyncio.sleep(step.seconds / 2)
            await process.start()

    return inject


def stop(processes_of: Callable[[SoakSite], Sequence[PlatformProcess]]) -> Fault:
    """Return a fault that asks a program to stop and starts it again; it is to end by itself, without an error."""

    async def inject(site: SoakSite, step: Step, incident: Incident) -> None:
        process = pick(processes_of(site), step.where)
        incident.where = process.name
        async with site.locks[process.name]:
            if not process.has_started():
                return
            code = await process.terminate()
            if code:
                site.violate(f'{process.name} stopped with exit code {code}', incident.started_at)
            await process.start()

    return inject


def pause(processes_of: Callable[[SoakSite], Sequence[PlatformProcess]]) -> Fault:
    """Return a fault that pauses a program."""

    async def inject(site: SoakSite, step: Step, incident: Incident) -> None:
        process = pick(processes_of(site), step.where)
        incident.where = process.name
        running = process.process
        if running is None or running.returncode is not None:
            return
        running.send_signal(signal.SIGSTOP)
        await _last(step)
        if running.returncode is None:
            running.send_signal(signal.SIGCONT)

    return inject


async def hang_up(site: SoakSite, step: Step, incident: Incident) -> None:
    """Tell a program to read its settings again."""
    process = pick(site.processes(), step.where)
    incident.where = process.name
    async with site.locks[process.name]:
        if process.has_started():
            process.send_signal(signal.SIGHUP)


async def restart_worker(site: SoakSite, step: Step, incident: Incident) -> None:
    """End a worker and begin another life of it, with nothing kept."""
    worker = _pick_worker(site, step, incident)
    async with site.locks[worker.name]:
        await worker.stop()
        await _last(step)
        await worker.restart()
        site.write_worker_entry(worker)


async def leave(site: SoakSite, step: Step, incident: Incident) -> None:
    """Let a worker announce that it leaves, take it out of the list, and bring it back later."""
    worker = _pick_worker(site, step, incident)
    async with site.locks[worker.name]:
        worker.state = 'draining'
        site.write_worker_entry(worker)
        await asyncio.sleep(step.seconds / 2)
        site.store.delete(f'servers/{worker.name}')
        absence = Absence(worker, SYSTEM_CLOCK.monotonic() + DRAIN_SECONDS)
        site.absences.append(absence)
        await asyncio.sleep(DRAIN_SECONDS + step.seconds)
        absence.ends_at = SYSTEM_CLOCK.monotonic()
        worker.state = 'ready'
        await worker.restart()
        site.write_worker_entry(worker)


async def reuse_address(site: SoakSite, step: Step, incident: Incident) -> None:
    """End a worker for good; another one takes its address as soon as that is allowed."""
    worker = pick(site.workers_of(PLAIN_SERVICE), step.where)
    incident.where = worker.name
    async with site.locks[worker.name]:
        await worker.stop()
        site.store.delete(f'servers/{worker.name}')
        await asyncio.sleep(REUSE_SECONDS)
        worker.name = f'{worker.name}-next'
        await worker.restart()
        site.write_worker_entry(worker)


async def misbehave(site: SoakSite, step: Step, incident: Incident) -> None:
    """Let a worker spoil its next requests."""
    worker = _pick_worker(site, step, incident)
    kind = pick(_WORKER_FAULTS, step.variant)
    incident.where = f'{worker.name} {kind}'
    worker.fault = WorkerFault(kind, 1 + int(step.variant * _MOST_STRUCK))
    await _last(step)
    worker.fault = WorkerFault()


async def slow_down(site: SoakSite, step: Step, incident: Incident) -> None:
    """Slow a worker down."""
    worker = _pick_worker(site, step, incident)
    worker.event_interval_seconds = step.variant * _SLOWEST_EVENT
    await _last(step)
    worker.event_interval_seconds = EVENT_SECONDS


async def cut_streams(site: SoakSite, step: Step, incident: Incident) -> None:
    """Let a model worker cut its streams inside an event."""
    worker = pick(site.workers_of(MODEL_SERVICE), step.where)
    incident.where = worker.name
    worker.cut_after_event = 1 + int(step.variant * worker.event_count)
    await _last(step)
    worker.cut_after_event = 0


async def trouble_store(site: SoakSite, step: Step, incident: Incident) -> None:
    """Let the store fail all callers, or some entries only."""
    trouble = pick(_STORE_TROUBLES, step.variant)
    entries = [str(entry.settings['ip']) for entry in site.entries]
    struck = entries[: int(step.where * (len(entries) + 1))]
    incident.where = f'{trouble} for {struck or "all"}'
    site.store.faulted_hosts = set(struck)
    site.store.fault = trouble
    await _last(step)
    site.store.fault = ''


async def lapse_leases(site: SoakSite, step: Step, incident: Incident) -> None:
    """Let the store fail for so long that entries lapse; live workers list themselves again after its return."""
    site.store.faulted_hosts = set()
    site.store.fault = 'busy'
    await asyncio.sleep(step.seconds + RELIST_SECONDS)
    site.store.expire_leases('servers/')
    site.store.fault = ''
    await asyncio.sleep(step.variant * RELIST_SECONDS)
    absent = [absence.worker for absence in site.absences if absence.ends_at > SYSTEM_CLOCK.monotonic()]
    for worker in site.workers.values():
        if worker not in absent:
            site.write_worker_entry(worker)


async def lose_history(site: SoakSite, step: Step, incident: Incident) -> None:
    """Let the store forget the changes that watches ask for."""
    site.store.compact()


async def disturb_link(site: SoakSite, step: Step, incident: Incident) -> None:
    """Cut, freeze or silence the connections of one link."""
    name, relay = _pick_relay(site, step)
    mode = pick(FAULTY_MODES, step.variant)
    incident.where = f'{name} {mode}'
    if mode == 'cut':
        relay.cut_connections()
    await _set_for_a_while(relay, 'mode', mode, step)


async def delay_link(site: SoakSite, step: Step, incident: Incident) -> None:
    """Delay everything on one link."""
    name, relay = _pick_relay(site, step)
    incident.where = name
    await _set_for_a_while(relay, 'delay', step.variant * _LONGEST_DELAY, step)


async def reset_connections(site: SoakSite, step: Step, incident: Incident) -> None:
    """Reset every connection of one kind of link at once."""
    kind = pick(('worker', 'store', 'peer', 'sidecar'), step.where)
    incident.where = kind
    for name, relay in site.relays.items():
        if name.startswith(kind):
            relay.reset_connections()


async def change_configuration(site: SoakSite, step: Step, incident: Incident) -> None:
    """Let the operator put another configuration in force."""
    incident.where = f'version {site.change_configuration()}'


async def announce_version(site: SoakSite, step: Step, incident: Incident) -> None:
    """Let the operator announce a newer version of an adapter."""
    adapter = f'a{int(step.where * _CHANGED_ADAPTERS)}'
    site.adapter_versions[adapter] += 1
    version = 1 + site.adapter_versions[adapter]
    incident.where = f'{adapter}@{version}'
    document: dict[str, Any] = {'model': 'base', 'adapter': adapter, 'version': version}
    site.store.put(f'op/version/base/{adapter}', document)


async def _set_for_a_while(relay: Relay, name: str, setting: Any, step: Step) -> None:
    relay.faults[name] = setting
    await _last(step)
    relay.faults[name] = no_faults()[name]


async def _last(step: Step) -> None:
    """Wait for as long as a fault lasts."""
    await asyncio.sleep(step.seconds)


def _pick_worker(site: SoakSite, step: Step, incident: Incident) -> PlatformWorker:
    worker = pick(list(site.workers.values()), step.where)
    incident.where = worker.name
    return worker


def _pick_relay(site: SoakSite, step: Step) -> tuple[str, Relay]:
    return pick(list(site.relays.items()), step.where)


def _entries(site: SoakSite) -> Sequence[PlatformProcess]:
    return site.entries


def _sidecars(site: SoakSite) -> Sequence[PlatformProcess]:
    return list(site.sidecars.values())


#: Faults by name.
FAULTS: dict[str, Fault] = {
    'entry_killed': kill(_entries),
    'entry_stopped': stop(_entries),
    'entry_paused': pause(_entries),
    'sidecar_killed': kill(_sidecars),
    'sidecar_stopped': stop(_sidecars),
    'sidecar_paused': pause(_sidecars),
    'settings_read_again': hang_up,
    'worker_restarted': restart_worker,
    'worker_left': leave,
    'worker_replaced': reuse_address,
    'worker_misbehaved': misbehave,
    'worker_slow': slow_down,
    'streams_cut': cut_streams,
    'store_failed': trouble_store,
    'leases_lapsed': lapse_leases,
    'history_lost': lose_history,
    'link_disturbed': disturb_link,
    'link_delayed': delay_link,
    'connections_reset': reset_connections,
    'configuration_changed': change_configuration,
    'version_announced': announce_version,
}
