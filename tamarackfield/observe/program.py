"""Entry point of the programs: validation of settings, logs and exit codes."""

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import click
from loguru import logger
from result import Err

from tamarackfield.core import Application, Problem, format_problems
from tamarackfield.core.settings import load_settings
from tamarackfield.observe.logs import configure_logs
from tamarackfield.observe.startup_checks import find_listen_problems, find_security_problems
from tamarackfield.process_signals import PROCESS_SIGNALS, RELOAD_SIGNAL

#: Exit code for invalid settings.
EXIT_BAD_SETTINGS = 2
#: Exit code for a process that could not start, such as a port in use.
EXIT_CANNOT_START = 3

ApplicationFactory = Callable[[dict[str, Any]], Application]


def run_program(
    path: str, overrides: tuple[str, ...], schema: dict[str, Any], build_application: ApplicationFactory
) -> None:
    """Check settings and run the application; on failure print one line and exit with a non-zero code.

    Parameters
    ----------
    path : str
        Path of the settings file.
    overrides : tuple of str
        Items ``dotted.key=value`` from the command line.
    schema : dict
        JSON schema of the settings.
    build_application : callable
        Builds the application from valid settings.
    """
    loaded = load_settings(path, overrides, schema)
    if isinstance(loaded, Err):
        _exit_on_problems(loaded.err_value, 'bad settings', EXIT_BAD_SETTINGS)
    settings = loaded.ok_value
    _exit_on_problems(find_security_problems(settings), 'bad settings', EXIT_BAD_SETTINGS)
    _exit_on_problems(find_listen_problems(settings, schema), 'cannot start', EXIT_CANNOT_START)
    configure_logs(settings['instance'], settings['log_level'])
    try:
        asyncio.run(_run_application(settings, build_application))
    except OSError as exc:
        click.echo(f'cannot start: {exc}', err=True)
        sys.exit(EXIT_CANNOT_START)


def _exit_on_problems(problems: list[Problem], summary: str, code: int) -> None:
    if problems:
        click.echo(f'{summary}: {format_problems(problems)}', err=True)
        sys.exit(code)


async def _run_application(settings: dict[str, Any], build_application: ApplicationFactory) -> None:
    application = build_application(settings)
    PROCESS_SIGNALS.deliver_to(asyncio.get_running_loop(), {RELOAD_SIGNAL: _log_kept_settings})
    await application.run()


def _log_kept_settings() -> None:
    logger.bind(signal=RELOAD_SIGNAL.name, reason='settings are read at the start only').warning('settings_kept')
