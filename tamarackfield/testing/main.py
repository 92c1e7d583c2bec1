"""Command ``tamarackfield-standin``: runs one stand-in for tests, benchmarks and the demo."""

import click

from tamarackfield.observe.program import run_program
from tamarackfield.testing import configuration, engine, instances, proxy, service, weights

KINDS = {
    'engine': engine,
    'service': service,
    'configuration': configuration,
    'weights': weights,
    'instances': instances,
    'proxy': proxy,
}


@click.command()
@click.version_option(package_name='tamarackfield')
@click.argument('kind', type=click.Choice(sorted(KINDS)))
@click.option('--settings', default='', help='Settings file in JSON.')
@click.option('--set', 'overrides', multiple=True, metavar='KEY=VALUE', help='One setting, such as listen.port=9000.')
def main(kind: str, settings: str, overrides: tuple[str, ...]) -> None:
    """Run a stand-in for a system that tamarackfield depends on; for tests and the demo only.

    Example: tamarackfield-standin engine --set listen.host=127.0.0.1 --set listen.port=9000
    """
    module = KINDS[kind]
    run_program(settings, overrides, module.SETTINGS_SCHEMA, module.build)


if __name__ == '__main__':
    main()
