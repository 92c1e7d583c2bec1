"""Signals at each moment of the life of a program: those that reload its settings and those that stop it."""

import asyncio
import json
import os
import signal
import sys

import pytest

from tamarackfield.testing.held_process import EXIT, IMPORTS, held_process, hold_next_start

ROLES = ('entry', 'sidecar')


def find_process(site, role):
    """Return the entry or the sidecar of a site."""
    return site.entries[0] if role == 'entry' else site.sidecars['m1']


def replace_settings_by_pipe(monkeypatch, process):
    """Let the next start of a process read its settings from a pipe; return the path."""
    path = process.write_settings()
    path.unlink()
    os.mkfifo(path)
    monkeypatch.setattr(process, 'write_settings', lambda: path)
    return path


def replace_pipe_by_file(path, settings):
    """Put a settings file in the place of the pipe, which the process still reads."""
    replacement = path.with_suffix('.new')
    replacement.write_text(json.dumps(settings))
    replacement.rename(path)


# Guards against: SIGHUP ends a program that has not set its handler yet.
@pytest.mark.parametrize('role', ROLES)
async def test_program_signalled_during_its_imports_becomes_ready_and_reads_its_settings_again(
    model_site, monkeypatch, tmp_path, role
):
    process = find_process(model_site, role)
    await process.terminate()
    pipe = hold_next_start(monkeypatch, tmp_path / 'held', IMPORTS)
    await process.start()
    async with held_process(pipe):
        process.send_signal(signal.SIGHUP)
    await process.wait_ready()
    await process.wait_for_log_text('event=settings_reloaded')


# Guards against: SIGHUP ends a program that has not set its handler yet.
@pytest.mark.parametrize('role', ROLES)
async def test_program_signalled_while_it_reads_its_settings_becomes_ready(model_site, monkeypatch, role):
    process = find_process(model_site, role)
    await process.terminate()
    pipe = replace_settings_by_pipe(monkeypatch, process)
    await process.start()
    async with held_process(pipe) as descriptor:
        replace_pipe_by_file(pipe, process.settings | {'zone': 'zone-b'})
        process.send_signal(signal.SIGHUP)
        os.write(descriptor, json.dumps(process.settings).encode())
    await process.wait_ready()
    await process.wait_for_log_text('event=settings_reloaded')
    assert role == 'sidecar' or 'changed=zone' in process.read_log()


# Guards against: a stop that arrives before its handler is set ends a program with the exit code of a crash.
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize('role', ROLES)
async def test_program_stopped_during_its_imports_ends_with_zero_and_does_not_start(
    model_site, monkeypatch, tmp_path, role, number
):
    process = find_process(model_site, role)
    await process.terminate()
    pipe = hold_next_start(monkeypatch, tmp_path / 'held', IMPORTS)
    await process.start()
    async with held_process(pipe):
        process.send_signal(number)
        process.send_signal(signal.SIGHUP)
    assert await process.process.wait() == 0
    log = process.read_log()[process.log_offset :]
    assert ('event=stopped' in log, 'event=started' in log) == (True, False)


async def test_settings_in_force_are_those_of_the_file_after_signals_at_broken_and_missing_files(model_site):
    entry = model_site.entries[0]
    path = entry.write_settings()
    whole = path.read_text()
    for content, event in ((whole[: len(whole) // 2], 'settings_not_taken'), (None, 'settings_not_read')):
        path.unlink()
        if content is not None:
            path.write_text(content)
        for _ in range(10):
            entry.send_signal(signal.SIGHUP)
        await entry.wait_for_log_text(f'event={event}')
    entry.settings['zone'] = 'zone-b'
    entry.reload()
    await entry.wait_for_log_text('changed=zone')
    assert (await model_site.call('/look/x'))[0] == 503
    assert await entry.terminate() == 0


# Guards against: a signal ends a program whose event loop has ended, with the exit code of a crash.
@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize('role', ROLES)
async def test_program_signalled_at_its_exit_ends_with_zero(model_site, monkeypatch, tmp_path, role, number):
    process = find_process(model_site, role)
    await process.terminate()
    pipe = hold_next_start(monkeypatch, tmp_path / 'held', EXIT)
    await process.start()
    await process.wait_ready()
    process.send_signal(signal.SIGTERM)
    async with held_process(pipe):
        process.send_signal(number)
    assert await process.process.wait() == 0


# Guards against: settings that change between their first reading and the first look at the file are never taken.
async def test_settings_that_change_while_an_entry_starts_are_taken_without_a_signal(model_site, monkeypatch):
    entry = model_site.entries[0]
    await entry.terminate()
    pipe = replace_settings_by_pipe(monkeypatch, entry)
    await entry.start()
    async with held_process(pipe) as descriptor:
        replace_pipe_by_file(pipe, entry.settings | {'zone': 'zone-b'})
        os.write(descriptor, json.dumps(entry.settings).encode())
    await entry.wait_for_log_text('changed=zone')


# Guards against: the check of a configuration, which serves nothing, cannot be ended while it waits for its file.
@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
async def test_check_of_a_configuration_can_be_ended(tmp_path, number):
    pipe = tmp_path / 'configuration'
    os.mkfifo(pipe)
    arguments = ('-m', 'tamarackfield.platform', 'check-configuration', str(pipe))
    process = await asyncio.create_subprocess_exec(sys.executable, *arguments)
    async with held_process(pipe):
        process.send_signal(number)
        assert await process.wait() == -number
