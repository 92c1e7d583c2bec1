"""Settings files change while restarted processes start: do these end by themselves?"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig2  # noqa: E402

ENTRIES, ROUNDS = 2, 3
#: Time from the start of a process to the signal that its settings have changed.
SIGNAL_SECONDS = 0.15
#: Time after which the platform starts a process again that has ended.
RESTART_SECONDS = 0.3
#: Rule "Fault": so often in a day, processes end by themselves on two machines or more.
MAX_ENDS = 3


async def case(record: rig2.Record) -> int:
    """Return whether the rule held."""
    site = rig2.Site(rig2.make_config(1, [rig2.make_route('/look/', 'idempotent', 'ledger')]), record)
    try:
        await site.start()
        await site.add_worker('i-1', 'ledger')
        entries = [site.make_entry() for _ in range(ENTRIES)]
        for entry in entries:
            entry.start()
        for entry in entries:
            await site.wait_ready(entry)
        return await roll(site, record, entries)
    finally:
        await site.stop()


async def roll(site: rig2.Site, record: rig2.Record, entries: list) -> int:
    """Restart the entries in turn, several times, and signal after each start that the settings have changed."""
    ends = dict.fromkeys((entry.name for entry in entries), 0)
    for _ in range(ROUNDS):
        for entry in entries:
            entry.signal(signal.SIGTERM)
            code = await wait_for_end(entry, 10)
            record.add(f'{entry.name} got SIGTERM and ended with code {code}')
            await asyncio.sleep(RESTART_SECONDS)
            ends[entry.name] += await start(record, entry)
            await site.wait_ready(entry)
            status, _ = await rig2.ask(entry.settings['listen']['front'], 'GET', '/look/1', [
                f'Host: {rig2.HOST_NAME}', f'Tamarackfield-Request-Id: r{time.monotonic_ns()}',
                'Tamarackfield-Deadline-Ms: 1000',
            ])
            record.add(f'{entry.name} is ready and answers {status}')
    record.add(f'ends of their own: {ends}')
    return rig2.BROKEN if sum(count >= MAX_ENDS for count in ends.values()) >= 2 else rig2.HELD


async def start(record: rig2.Record, entry: rig2.Program) -> int:
    """Start an entry as the platform does, again if it ends; return how often it has ended by itself."""
    entry.start()
    await asyncio.sleep(SIGNAL_SECONDS)
    if rig2.is_troubled() and not entry.has_ended():
        entry.signal(signal.SIGHUP)
        record.add(f'{entry.name} was started, and got SIGHUP {SIGNAL_SECONDS} s later')
    code = await wait_for_end(entry, 1)
    if code is None:
        return 0
    record.add(f'{entry.name} ended by itself with code {code}, and is started again')
    await asyncio.sleep(RESTART_SECONDS)
    entry.start()
    return 1


async def wait_for_end(entry: rig2.Program, seconds: float) -> int | None:
    """Return the exit code of a process, None if it has not ended in time."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if entry.has_ended():
            return entry.process.returncode
        await asyncio.sleep(0.02)
    return None


rig2.run(pathlib.Path(__file__).resolve().parent, case)
