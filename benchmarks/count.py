"""Counts lines of code and tests, and the share that decides, routes, limits, retries and recovers."""

import pathlib

import click

ROOT = pathlib.Path(__file__).parent.parent
#: Packages and modules about routing, limits, retries, membership, state and recovery.
CORE_PARTS = (
    'tamarackfield/policy/',
    'tamarackfield/ledger/',
    'tamarackfield/discovery/',
    'tamarackfield/bundle/acceptance.py',
    'tamarackfield/entry/fleet.py',
    'tamarackfield/entry/keyed_calls.py',
    'tamarackfield/entry/links.py',
    'tamarackfield/entry/relay.py',
    'tamarackfield/sidecar/',
)
#: Modules below the parts above that only wire, start or describe.
NOT_CORE = ('app.py', 'main.py', '__init__.py')
#: Most tests a line of new code, and least share of it that the core must have.
MOST_TESTS = 0.33
LEAST_CORE = 0.25


@click.command()
def main() -> None:
    """Print lines of code, tests and core, without blank lines."""
    paths = [path for folder in ('tamarackfield', 'benchmarks') for path in (ROOT / folder).rglob('*.py')]
    tests = [path for path in paths if _is_test(path)]
    code = [path for path in paths if path not in set(tests)]
    core = [path for path in code if _is_core(path)]
    lines = {name: sum(map(_lines, group)) for name, group in (('code', code), ('tests', tests), ('core', core))}
    whole = lines['code'] + lines['tests']
    click.echo(f'code {lines["code"]} lines, tests {lines["tests"]} lines, core {lines["core"]} lines')
    click.echo(f'tests: {lines["tests"] / whole:.1%} of all lines (at most {MOST_TESTS:.0%})')
    click.echo(f'core: {lines["core"] / lines["code"]:.1%} of the code (at least {LEAST_CORE:.0%})')


def _is_test(path: pathlib.Path) -> bool:
    return 'tests' in path.parts or path.name == 'conftest.py'


def _is_core(path: pathlib.Path) -> bool:
    relative = path.relative_to(ROOT).as_posix()
    return path.name not in NOT_CORE and relative.startswith(CORE_PARTS)


def _lines(path: pathlib.Path) -> int:
    return sum(bool(line.strip()) for line in path.read_text().splitlines())


if __name__ == '__main__':
    main()
