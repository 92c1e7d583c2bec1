"""Command ``tamarackfield``: checks, bundles, status, explain, drain and audit for operators."""

import click
from result import Err

from tamarackfield.cli import checks
from tamarackfield.cli.bundles import bundle
from tamarackfield.cli.exits import fail
from tamarackfield.cli.processes import audit, declare_first_start, drain, explain, status


@click.group()
@click.version_option(package_name='tamarackfield')
def main() -> None:
    """Look after a tamarackfield deployment.

    Exit codes: 0 good, 2 bad input, 3 port in use, 4 unreachable or refused, 5 request would be refused.
    """


@main.command()
@click.argument('path')
@click.option('--program', type=click.Choice(checks.KINDS), help='What it is for; found out if left out.')
def check(path: str, program: str | None) -> None:
    """Check a settings file or a bundle as the programs would.

    Example: tamarackfield check entry.json --program entry
    """
    checked = checks.check_file(path, program)
    if isinstance(checked, Err):
        fail(f'{path}: {checked.err_value.text}', checked.err_value.code)
    click.echo(f'{path}: good {checked.ok_value}')


main.add_command(bundle)
main.add_command(status)
main.add_command(explain)
main.add_command(declare_first_start)
main.add_command(drain)
main.add_command(audit)


if __name__ == '__main__':
    main()
