"""Starts and runs a program on the platform; only the modules of that program are imported."""

import asyncio
import gc
import importlib
import os
import pathlib
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger
from result import Err, Result

from tamarackfield.core import Application, Problem, format_problems
from tamarackfield.observe.rate_limited_logs import configure_rate_limited_logs
from tamarackfield.platform.settings import read_document

#: Module of each program, by the name that the deploy file starts it with.
PROGRAMS = {'entry': 'tamarackfield.platform.entry', 'sidecar': 'tamarackfield.platform.sidecar'}
#: Names the settings file.
SETTINGS_VARIABLE = 'TAMARACKFIELD_SETTINGS'
#: Exit code for settings that are not good.
EXIT_BAD_SETTINGS = 2
#: Exit code for a program that is not known.
EXIT_USAGE = 64
#: Seconds between two looks at the settings file, which may change without a signal.
SETTINGS_SECONDS = 1.0


class Program(Protocol):
    """An application that takes changed settings."""

    application: Application

    def reload(self, document: dict[str, Any]) -> None:
        """Take changed settings."""


Build = Callable[[dict[str, Any]], Result[Program, list[Problem]]]


def main() -> None:
    """Run the program named by the last argument."""
    module = PROGRAMS.get(sys.argv[-1])
    if module is None:
        sys.stderr.write('usage: python3 -m tamarackfield.platform entry|sidecar\n')
        sys.exit(EXIT_USAGE)
    build: Build = importlib.import_module(module).build
    path = os.environ.get(SETTINGS_VARIABLE, '')
    document = _accept(read_document(path))
    configure_rate_limited_logs(str(document.get('node', 'unnamed')), 'INFO')
    program = _accept(build(document))
    # What was imported and built lives as long as the process and need not be looked at again.
    gc.freeze()
    gc.enable()
    asyncio.run(_run(program, path))


async def _run(program: Program, path: str) -> None:
    asked = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, asked.set)
    application = program.application
    application.supervise(lambda: _watch_settings(path, asked, program), 'settings')
    await application.run()


async def _watch_settings(path: str, asked: asyncio.Event, program: Program) -> None:
    """Read the settings again when the file changed or a signal says so."""
    seen = pathlib.Path(path).read_bytes()
    while True:
        try:
            async with asyncio.timeout(SETTINGS_SECONDS):
                await asked.wait()
        except TimeoutError:
            logger.bind(path=path).trace('settings_looked_at')
        signalled = asked.is_set()
        asked.clear()
        try:
            content = pathlib.Path(path).read_bytes()
        except OSError as exc:
            logger.bind(path=path, error=repr(exc)).error('settings_not_read')
            continue
        if content != seen or signalled:
            seen = content
            _reload(path, program)


def _reload(path: str, program: Program) -> None:
    document = read_document(path)
    if isinstance(document, Err):
        logger.bind(problems=format_problems(document.err_value)).error('settings_not_taken')
        return
    program.reload(document.ok_value)


def _accept(outcome: Any) -> Any:
    """Return what was read, or end the program with every problem on one line."""
    if isinstance(outcome, Err):
        problems: list[Problem] = outcome.err_value
        sys.stderr.write(f'bad settings: {format_problems(problems)}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    return outcome.ok_value
