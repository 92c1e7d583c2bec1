"""Signals at each moment of the life of a program of the own interface, which reads its settings at its start only."""

import asyncio
import signal
import sys

import psutil
import pytest

from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.held_process import EXIT, IMPORTS, held_process, hold_next_start
from tamarackfield.testing.processes import wait_until

LOGGING_PROGRAMS = ('entry-1', 'engine-1-sidecar')
#: The stand-in logs warnings only.
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


def find_children(process):
    """Return the processes that a process has started and that still run."""
    return [child for child in psutil.Process(process.pid).children() if child.status() != psutil.STATUS_ZOMBIE]


# Guards against: a signal ends a script by its default action, and the processes that it started go on.
@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
@pytest.mark.parametrize('shown', ['', 'curl -N'])
async def test_demo_ended_by_a_signal_leaves_no_process(number, shown):
    command = (sys.executable, '-m', 'tamarackfield.testing.demo', '--keep')
    demo = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)

    async def has_children():
        return find_children(demo)

    await wait_until(has_children, 'the demo starts processes')
    while shown and not (await demo.stdout.readline()).startswith(shown.encode()):
        await asyncio.sleep(0)
    children = find_children(demo)
    demo.send_signal(number)
    demo.send_signal(number)
    await demo.communicate()
    _, alive = psutil.wait_procs(children, 1)
    for child in alive:
        child.kill()
    assert alive == []
