"""Counts lines of code, tests and core: routing, limits, retries, membership, state and recovery."""

import pathlib

import click

ROOT = pathlib.Path(__file__).parent.parent
#: Packages and modules for routing, limits, retries, membership, state and recovery.
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
#: Modules in the core parts that only assemble, start or describe.
NON_CORE_FILES = ('app.py', 'main.py', '__init__.py')
#: Largest share of tests in all lines, and smallest share of the core in the lines of code.
MAX_TEST_SHARE = 0.33
MIN_CORE_SHARE = 0.25


@click.command()
def main() -> None:
    """Print the numbers of non-blank lines of code, tests and core."""
    paths = [path for folder in ('tamarackfield', 'benchmarks') for path in (ROOT / folder).rglob('*.py')]
    tests = [path for path in paths if _is_test(path)]
    code = [path for path in paths if path not in set(tests)]
    core = [path for path in code if _is_core(path)]
    lines = {name: sum(map(_count_lines, group)) for name, group in (('code', code), ('tests', tests), ('core', core))}
    total = lines['code'] + lines['tests']
    click.echo(f'code {lines["code"]} lines, tests {lines["tests"]} lines, core {lines["core"]} lines')
    click.echo(f'tests: {lines["tests"] / total:.1%} of all lines (at most {MAX_TEST_SHARE:.0%})')
    click.echo(f'core: {lines["core"] / lines["code"]:.1%} of the code (at least {MIN_CORE_SHARE:.0%})')


def _is_test(path: pathlib.Path) -> bool:
    return 'tests' in path.parts or path.name == 'conftest.py'


def _is_core(path: pathlib.Path) -> bool:
    relative = path.relative_to(ROOT).as_posix()
    return path.name not in NON_CORE_FILES and relative.startswith(CORE_PARTS)


def _count_lines(path: pathlib.Path) -> int:
    return sum(bool(line.strip()) for line in path.read_text().splitlines())


if __name__ == '__main__':
    main()
