"""Command ``tamarackfield-entry``."""

import click

from tamarackfield.entry.app import SETTINGS_SCHEMA, build
from tamarackfield.observe.program import run_program


@click.command()
@click.version_option(package_name='tamarackfield')
@click.option('--settings', default='', help='Settings file in JSON.')
@click.option('--set', 'overrides', multiple=True, metavar='KEY=VALUE', help='One setting, such as listen.port=8080.')
def main(settings: str, overrides: tuple[str, ...]) -> None:
    """Serve callers over HTTP and send their requests to targets.

    Example: tamarackfield-entry --settings entry.json --set log_level=DEBUG
    """
    run_program(settings, overrides, SETTINGS_SCHEMA, build)


if __name__ == '__main__':
    main()
