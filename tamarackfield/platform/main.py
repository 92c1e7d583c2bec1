"""Starts and runs one program on the platform; only the modules that this program needs are imported."""

import asyncio
import gc
import importlib
import os
import sys
from collections.abc import Callable
from typing import Any, Protocol

from result import Err, Result

from tamarackfield.core import Application, Problem, format_problems
from tamarackfield.core.settings_reader import parse_settings, read_content
from tamarackfield.core.settings_watch import SettingsFile, watch_settings
from tamarackfield.observe.rate_limited_logs import configure_rate_limited_logs
from tamarackfield.process_signals import PROCESS_SIGNALS, RELOAD_SIGNAL

#: Module of each program, by its name in the start commands of deploy/system.toml.
PROGRAM_MODULES = {'entry': 'tamarackfield.platform.entry', 'sidecar': 'tamarackfield.platform.sidecar'}
#: First argument that checks a configuration in place of running a program.
CHECK_COMMAND = 'check-configuration'
#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'TAMARACKFIELD_SETTINGS'
#: Exit code for invalid settings.
EXIT_BAD_SETTINGS = 2
#: Exit code for an unknown program name.
EXIT_UNKNOWN_PROGRAM = 64


class Program(Protocol):
    """Application whose settings can change while it runs."""

    application: Application

    def reload(self, document: dict[str, Any]) -> None:
        """Apply changed settings."""


ProgramBuilder = Callable[[dict[str, Any]], Result[Program, list[Problem]]]


def main() -> None:
    """Run the program named by the last argument."""
    if CHECK_COMMAND in sys.argv[1:2]:
        PROCESS_SIGNALS.restore()
        importlib.import_module('tamarackfield.platform.check').main()
    module = PROGRAM_MODULES.get(sys.argv[-1])
    if module is None:
        sys.stderr.write('usage: python3 -m tamarackfield.platform entry|sidecar\n')
        sys.exit(EXIT_UNKNOWN_PROGRAM)
    build_program: ProgramBuilder = importlib.import_module(module).build_program
    path = os.environ.get(SETTINGS_VARIABLE, '')
    content = _unwrap_or_exit(read_content(path))
    document = _unwrap_or_exit(parse_settings(path, content))
    configure_rate_limited_logs(str(document.get('node', 'unnamed')), 'INFO')
    program = _unwrap_or_exit(build_program(document))
    # Imported modules and built objects live as long as the process; freezing exempts them from garbage collection.
    gc.freeze()
    gc.enable()
    asyncio.run(_run(program, SettingsFile(path, content)))


async def _run(program: Program, settings_file: SettingsFile) -> None:
    reload_requested = asyncio.Event()
    PROCESS_SIGNALS.deliver_to(asyncio.get_running_loop(), {RELOAD_SIGNAL: reload_requested.set})
    application = program.application
    application.supervise(lambda: watch_settings(settings_file, reload_requested, program.reload), 'settings')
    await application.run()


def _unwrap_or_exit(outcome: Any) -> Any:
    """Return the value of an outcome, or print every problem on one line and exit."""
    if isinstance(outcome, Err):
        problems: list[Problem] = outcome.err_value
        sys.stderr.write(f'bad settings: {format_problems(problems)}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    return outcome.ok_value
