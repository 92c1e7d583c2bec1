"""Start of a program: settings, logs, exit codes."""

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import click
from result import Err

from tamarackfield.core import Application, Problem, format_problems
from tamarackfield.core.settings import load_settings
from tamarackfield.observe.logs import configure_logs
from tamarackfield.observe.start import find_listen_problems, find_security_problems

#: Exit code for settings that are not good.
EXIT_BAD_SETTINGS = 2
#: Exit code for a process that could not start, such as a port in use.
EXIT_CANNOT_START = 3

Build = Callable[[dict[str, Any]], Application]


def run_program(path: str, overrides: tuple[str, ...], schema: dict[str, Any], build: Build) -> None:
    """Check settings, run the application, exit non-zero with one clear line if that fails.

    Parameters
    ----------
    path : str
        Settings file.
    overrides : tuple of str
        Items ``key=value`` from the command line.
    schema : dict
        Schema of the settings.
    build : callable
        Builds the application from checked settings.
    """
    loaded = load_settings(path, overrides, schema)
    if isinstance(loaded, Err):
        _exit_if(loaded.err_value, 'bad settings', EXIT_BAD_SETTINGS)
    settings = loaded.ok_value
    _exit_if(find_security_problems(settings), 'bad settings', EXIT_BAD_SETTINGS)
    _exit_if(find_listen_problems(settings, schema), 'cannot start', EXIT_CANNOT_START)
    configure_logs(settings['instance'], settings['log_level'])
    try:
        asyncio.run(_run(settings, build))
    except OSError as exc:
        click.echo(f'cannot start: {exc}', err=True)
        sys.exit(EXIT_CANNOT_START)


def _exit_if(problems: list[Problem], headline: str, code: int) -> None:
    if problems:
        click.echo(f'{headline}: {format_problems(problems)}', err=True)
        sys.exit(code)


async def _run(settings: dict[str, Any], build: Build) -> None:
    await build(settings).run()
