"""SIGHUP at each moment of the life of a program, and settings that change while it starts."""

import json
import os
import signal

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
        replace_pipe_by_file(pipe, process.settings)
        process.send_signal(signal.SIGHUP)
        os.write(descriptor, json.dumps(process.settings).encode())
    await process.wait_ready()
    await process.wait_for_log_text('event=settings_reloaded')


# Guards against: SIGHUP ends a program whose event loop has ended, with the exit code of a crash.
@pytest.mark.parametrize('role', ROLES)
async def test_program_signalled_at_its_exit_ends_with_zero(model_site, monkeypatch, tmp_path, role):
    process = find_process(model_site, role)
    await process.terminate()
    pipe = hold_next_start(monkeypatch, tmp_path / 'held', EXIT)
    await process.start()
    await process.wait_ready()
    process.send_signal(signal.SIGTERM)
    async with held_process(pipe):
        process.send_signal(signal.SIGHUP)
    assert await process.terminate() == 0
