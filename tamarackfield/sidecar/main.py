"""Command ``tamarackfield-sidecar``."""

import click

from tamarackfield.observe.program import run_program
from tamarackfield.sidecar.app import SETTINGS_SCHEMA, build


@click.command()
@click.version_option(package_name='tamarackfield')
@click.option('--settings', default='', help='Settings file in JSON.')
@click.option('--set', 'overrides', multiple=True, metavar='KEY=VALUE', help='One setting, such as listen.port=7000.')
def main(settings: str, overrides: tuple[str, ...]) -> None:
    """Serve one target: admission, adapter slots, pins and at-most-once records.

    Example: tamarackfield-sidecar --settings sidecar.json --set log_level=DEBUG
    """
    run_program(settings, overrides, SETTINGS_SCHEMA, build)


if __name__ == '__main__':
    main()
