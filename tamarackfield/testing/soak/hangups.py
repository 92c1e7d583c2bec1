"""SIGHUP in quick succession while a process stops and starts, from its first line to its exit."""

import asyncio
import os
import pathlib
import signal

from tamarackfield.core import cancel_and_wait
from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.platform_site import PlatformProcess
from tamarackfield.testing.soak.plan import PlannedFault
from tamarackfield.testing.soak.site import SoakSite

#: Bounds of the time between two signals in seconds.
MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS = 0.002, 0.05
_HANGUP_BIT = 1 << (signal.SIGHUP - 1)
_HANDLED_MASKS = ('SigCgt', 'SigIgn')


async def restart_amid_signals(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Stop and start a process that gets SIGHUP all the while, and expect that only the stop ends it, with code 0."""
    processes = site.list_processes()
    process = processes[int(step.target_share * len(processes))]
    incident.name = 'entry_stopped' if process in site.entries else 'sidecar_stopped'
    incident.where = process.name
    interval = MIN_INTERVAL_SECONDS + step.variant_share * (MAX_INTERVAL_SECONDS - MIN_INTERVAL_SECONDS)
    async with site.locks[process.name]:
        if not process.has_started():
            return
        signals = asyncio.create_task(_send_hangups(process, interval))
        try:
            await _restart(site, process, incident)
        finally:
            await cancel_and_wait((signals,))


async def _restart(site: SoakSite, process: PlatformProcess, incident: Incident) -> None:
    code = await process.terminate()
    if code:
        site.record_violation(f'{process.name} stopped amid signals with exit code {code}', incident.started_at)
    await process.start()
    while not process.has_started() and process.process.returncode is None:
        await asyncio.sleep(MIN_INTERVAL_SECONDS)
    code = process.process.returncode
    if code is not None:
        site.record_violation(f'{process.name} ended amid signals with exit code {code}', incident.started_at)
        await process.start()


async def _send_hangups(process: PlatformProcess, interval: float) -> None:
    """Signal each process of a program from the first time that it handles the signal to its exit."""
    while True:
        pid = process.process.pid
        if _handles_hangups(pid):
            await _send_hangups_until_exit(pid, interval)
        await asyncio.sleep(interval)


async def _send_hangups_until_exit(pid: int, interval: float) -> None:
    """Signal a process by a descriptor of it: the methods of `subprocess` reap it, so that its exit code is lost."""
    descriptor = os.pidfd_open(pid)
    try:
        while True:
            signal.pidfd_send_signal(descriptor, signal.SIGHUP)
            await asyncio.sleep(interval)
    except ProcessLookupError:
        # The process has exited.
        return
    finally:
        os.close(descriptor)


def _handles_hangups(pid: int) -> bool:
    """Return whether a process has replaced the default action of SIGHUP, which its first line does."""
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        # The process has exited.
        return False
    masks = [line.split()[1] for line in status.splitlines() if line.startswith(_HANDLED_MASKS)]
    return any(int(mask, 16) & _HANGUP_BIT for mask in masks)
