"""Signals at each moment of the life of a program of the own interface, which reads its settings at its start only."""

import asyncio
import contextlib
import os
import signal
import sys
import uuid

import psutil
import pytest

from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.held_process import EXIT, IMPORTS, held_process, hold_next_start
from tamarackfield.testing.processes import START_TIMEOUT_SECONDS, wait_until

LOGGING_PROGRAMS = ('entry-1', 'engine-1-sidecar')
#: The stand-in logs warnings only.
#: Arguments of the scripts that start processes, by their names below bin/.
SCRIPTS = {
    'demo': ('tamarackfield.testing.demo', '--keep'),
    'chaos': ('tamarackfield.testing.chaos', '--seconds', '20'),
    'soak': ('tamarackfield.testing.soak.main', '--seconds', '20', '--processes', '4'),
}
#: Environment variable by which a test finds the processes that a script has started.
MARKER = 'TAMARACKFIELD_TEST_MARKER'
PROGRAMS = (*LOGGING_PROGRAMS, 'engine-1')


@pytest.fixture
async def cluster(tmp_path):
    """Run one entry, and one engine with its sidecar."""
    async with Cluster(tmp_path, [TargetSpec('engine-1')], 1, make_bundle(('clinic',), ('draft@v1',))) as cluster:
        yield cluster


# Guards against: SIGHUP ends a program of the own interface, which never handled it.
@pytest.mark.parametrize('name', PROGRAMS)
async def test_program_signalled_while_it_runs_goes_on_and_logs_that_settings_are_kept(cluster, name):
    process = cluster.processes[name]
    process.send_signal(signal.SIGHUP)
    await process.wait_for_log_text('event=settings_kept')
    await process.wait_ready()
    assert await process.terminate() == 0


# Guards against: SIGHUP ends a program of the own interface, which never handled it.
@pytest.mark.parametrize('name', PROGRAMS)
async def test_program_signalled_during_its_imports_becomes_ready(cluster, monkeypatch, tmp_path, name):
    process = cluster.processes[name]
    await process.terminate()
    pipe = hold_next_start(monkeypatch, tmp_path / 'held', IMPORTS)
    await process.start()
    async with held_process(pipe):
        process.send_signal(signal.SIGHUP)
    await process.wait_ready()


# Guards against: a stop that arrives before its handler is set ends a program with the exit code of a crash.
@pytest.mark.parametrize('name', LOGGING_PROGRAMS)
async def test_program_stopped_during_its_imports_ends_with_zero_and_does_not_start(
    cluster, monkeypatch, tmp_path, name
):
    process = cluster.processes[name]
    await process.terminate()
    pipe = hold_next_start(monkeypatch, tmp_path / 'held', IMPORTS)
    await process.start()
    async with held_process(pipe):
        process.send_signal(signal.SIGTERM)
    assert await process.process.wait() == 0
    log = process.read_log()[process.log_offset :]
    assert ('event=stopped' in log, 'event=started' in log) == (True, False)


# Guards against: a signal ends a program whose event loop has ended, with the exit code of a crash.
@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize('name', PROGRAMS)
async def test_program_signalled_at_its_exit_ends_with_zero(cluster, monkeypatch, tmp_path, name, number):
    process = cluster.processes[name]
    await process.terminate()
    pipe = hold_next_start(monkeypatch, tmp_path / 'held', EXIT)
    await process.start()
    await process.wait_ready()
    process.send_signal(signal.SIGTERM)
    async with held_process(pipe):
        process.send_signal(number)
    assert await process.process.wait() == 0


def find_marked(marker):
    """Return the processes that run with a marker in their environment."""
    found = []
    for process in psutil.process_iter():
        with contextlib.suppress(psutil.Error):
            if MARKER in process.environ() and process.environ()[MARKER] == marker:
                found.append(process)
    return found


# Guards against: a signal ends a script by its default action, and the processes that it started go on.
@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
@pytest.mark.parametrize('seconds', [0, 4])
@pytest.mark.parametrize('script', SCRIPTS)
async def test_script_ended_by_a_signal_leaves_no_process(script, seconds, number):
    marker = uuid.uuid4().hex
    command = (sys.executable, '-m', *SCRIPTS[script])
    quiet = {'stdout': asyncio.subprocess.DEVNULL, 'stderr': asyncio.subprocess.DEVNULL}
    running = await asyncio.create_subprocess_exec(*command, **quiet, env=os.environ | {MARKER: marker})

    async def has_started_another():
        return len(find_marked(marker)) > 1

    await wait_until(has_started_another, 'the script starts processes')
    await asyncio.sleep(seconds)
    running.send_signal(number)
    running.send_signal(number)
    try:
        await asyncio.wait_for(running.wait(), START_TIMEOUT_SECONDS)
        assert find_marked(marker) == []
    finally:
        for process in find_marked(marker):
            process.kill()
