"""Command ``tamarackfield``: checks, bundles, status, drain and audit for operators."""

import json
import pathlib
import sys
from typing import Any

import click
from result import Err, Result

from tamarackfield.cli import commands, queries
from tamarackfield.core import format_problems, load_settings
from tamarackfield.entry.app import SETTINGS_SCHEMA as ENTRY_SCHEMA
from tamarackfield.sidecar.app import SETTINGS_SCHEMA as SIDECAR_SCHEMA

#: Exit codes, documented in docs/operators/commands.md.
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 4

_json_flag = click.option('--json', 'as_json', is_flag=True, help='Print JSON for scripts.')


@click.group()
@click.version_option(package_name='tamarackfield')
def main() -> None:
    """Look after a tamarackfield deployment."""


@main.command()
@click.argument('path')
@click.option('--program', type=click.Choice(['entry', 'sidecar']), required=True, help='Program it is for.')
def check(path: str, program: str) -> None:
    """Check a settings file as the program would at its start.

    Example: tamarackfield check entry.json --program entry
    """
    schema = ENTRY_SCHEMA if program == 'entry' else SIDECAR_SCHEMA
    loaded = load_settings(path, (), schema)
    if isinstance(loaded, Err):
        _fail(format_problems(loaded.err_value), EXIT_BAD_INPUT)
    click.echo(f'{path}: good')


@main.group()
def bundle() -> None:
    """Make, sign and inspect bundles."""


@bundle.command()
@click.argument('path')
def keygen(path: str) -> None:
    """Write a new private signing key to PATH and print its public key.

    Example: tamarackfield bundle keygen signing.key
    """
    try:
        click.echo(commands.write_key(path))
    except OSError as exc:
        _fail(str(exc), EXIT_BAD_INPUT)


@bundle.command()
@click.argument('path')
def verify(path: str) -> None:
    """Check a bundle file and list everything that is wrong with it.

    Example: tamarackfield bundle verify bundle.json
    """
    document = _good_bundle(path)
    click.echo(f'{path}: bundle {document["number"]} is good')


@bundle.command()
@click.argument('path')
@click.option('--key', required=True, help='File with the private signing key.')
@click.option('--out', required=True, help='Directory for the values to publish.')
def sign(path: str, key: str, out: str) -> None:
    """Check and sign a bundle and write what is to be published.

    Example: tamarackfield bundle sign bundle.json --key signing.key --out published
    """
    document = _good_bundle(path)
    try:
        private_key = pathlib.Path(key).read_text().strip()
        count = commands.write_publication(document, private_key, out)
    except (OSError, ValueError) as exc:
        _fail(f'{key}: {exc}', EXIT_BAD_INPUT)
    click.echo(f'bundle {document["number"]}: {count} values in {out}')


@bundle.command()
@click.argument('before')
@click.argument('after')
@_json_flag
def diff(before: str, after: str, *, as_json: bool) -> None:
    """Show what changes from one bundle to another.

    Example: tamarackfield bundle diff bundle-7.json bundle-8.json
    """
    differences = queries.find_differences(_good_bundle(before), _good_bundle(after))
    if as_json:
        click.echo(json.dumps([{'path': path, 'before': old, 'after': new} for path, old, new in differences]))
        return
    for path, old, new in differences:
        click.echo(f'{path}: {json.dumps(old)} -> {json.dumps(new)}')


@bundle.command()
@click.argument('path')
def show(path: str) -> None:
    """Print a checked bundle, indented.

    Example: tamarackfield bundle show bundle.json
    """
    click.echo(json.dumps(_good_bundle(path), indent=2, sort_keys=True))


@main.command()
@click.argument('addresses', nargs=-1, required=True)
@_json_flag
def status(addresses: tuple[str, ...], *, as_json: bool) -> None:
    """Show the state of processes by the addresses of their operators' interfaces.

    Example: tamarackfield status 10.0.0.5:9001 10.0.0.6:9001
    """
    answers = {address: queries.ask(address, '/status') for address in addresses}
    if as_json:
        click.echo(json.dumps({address: _either(answer) for address, answer in answers.items()}))
    else:
        for address, answer in answers.items():
            click.echo(f'{address}  {_status_line(answer)}')
    if any(isinstance(answer, Err) for answer in answers.values()):
        sys.exit(EXIT_UNREACHABLE)


@main.command()
@click.argument('address')
@click.option('--token', envvar='TAMARACKFIELD_TOKEN', required=True, help='Operators token.')
def drain(address: str, token: str) -> None:
    """Order a sidecar to give its target no new work.

    Example: tamarackfield drain 10.0.0.6:9001 --token "$TAMARACKFIELD_TOKEN"
    """
    click.echo(json.dumps(_reached(commands.drain(address, token))))


@main.command('declare-first-start')
@click.argument('address')
@click.option('--token', envvar='TAMARACKFIELD_TOKEN', required=True, help='Operators token.')
def declare_first_start(address: str, token: str) -> None:
    """Declare to a sidecar that no idempotency key ran before its process started.

    Only for the first start of a deployment. After a restart a key may run twice if this is declared.

    Example: tamarackfield declare-first-start 10.0.0.6:9001 --token "$TAMARACKFIELD_TOKEN"
    """
    click.echo(json.dumps(_reached(commands.declare_first_start(address, token))))


@main.command()
@click.argument('address')
@click.option('--since', default=0, help='Show changes after this sequence number.')
@_json_flag
def audit(address: str, since: int, *, as_json: bool) -> None:
    """List the changes that a process made or accepted.

    Example: tamarackfield audit 10.0.0.6:9001 --since 40
    """
    changes = _reached(queries.ask(address, f'/audit?since={since}'))['changes']
    if as_json:
        click.echo(json.dumps(changes))
        return
    for change in changes:
        details = ' '.join(f'{key}={part}' for key, part in change.items())
        click.echo(details)


def _good_bundle(path: str) -> dict[str, Any]:
    loaded = commands.read_bundle(path)
    if isinstance(loaded, Err):
        _fail(format_problems(loaded.err_value), EXIT_BAD_INPUT)
    return loaded.ok_value


def _reached(answer: Result[Any, str]) -> Any:
    if isinstance(answer, Err):
        _fail(answer.err_value, EXIT_UNREACHABLE)
    return answer.ok_value


def _either(answer: Result[Any, str]) -> Any:
    return {'error': answer.err_value} if isinstance(answer, Err) else answer.ok_value


def _status_line(answer: Result[Any, str]) -> str:
    if isinstance(answer, Err):
        return f'unreachable: {answer.err_value}'
    return ' '.join(f'{key}={json.dumps(part)}' for key, part in answer.ok_value.items())


def _fail(message: str, code: int) -> None:
    click.echo(message, err=True)
    sys.exit(code)


if __name__ == '__main__':
    main()
