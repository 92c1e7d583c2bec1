"""Command ``tamarackfield``, the command line of operators."""

import itertools
import sys
from typing import TextIO

import click
from result import Err

from tamarackfield.cli import checks
from tamarackfield.cli.bundles import bundle
from tamarackfield.cli.exit_codes import EXIT_REFUSED, fail
from tamarackfield.cli.processes import audit, declare_first_start, drain, explain, status
from tamarackfield.cli.request_timeline import build_timeline


@click.group()
@click.version_option(package_name='tamarackfield')
def main() -> None:
    """Inspect and operate a tamarackfield deployment.

    Exit codes: 0 good, 2 bad input, 3 port in use, 4 unreachable or refused, 5 request would be refused.
    """


@main.command()
@click.argument('path')
@click.option('--program', type=click.Choice(checks.KINDS), help='Kind of the file; detected if omitted.')
def check(path: str, program: str | None) -> None:
    """Check a settings file or a bundle as the programs do at start.

    Example: tamarackfield check entry.json --program entry
    """
    checked = checks.check_file(path, program)
    if isinstance(checked, Err):
        fail(f'{path}: {checked.err_value.text}', checked.err_value.code)
    click.echo(f'{path}: good {checked.ok_value}')


@main.command('explain-log')
@click.argument('request_id')
@click.argument('logs', nargs=-1, type=click.File('r', errors='replace'))
def explain_log(request_id: str, logs: tuple[TextIO, ...]) -> None:
    """Print the timeline of one request from the logs of any number of processes.

    LOGS are files, or - for standard input, which is the default.

    Example: tamarackfield explain-log 9c41d07be2a35f68 entry-1.log sidecar-3.log
    """
    sources = logs or (sys.stdin,)
    timeline = build_timeline(itertools.chain.from_iterable(sources), request_id)
    if not timeline:
        fail(f'no line names request {request_id}', EXIT_REFUSED)
    for line in timeline:
        click.echo(line)


main.add_command(bundle)
main.add_command(status)
main.add_command(explain)
main.add_command(declare_first_start)
main.add_command(drain)
main.add_command(audit)


if __name__ == '__main__':
    main()
