"""Command group ``tamarackfield bundle``: create keys, check, sign and inspect bundles."""

import json
import pathlib
from typing import Any

import click
from result import Err

from tamarackfield.cli import commands, queries
from tamarackfield.cli.exit_codes import EXIT_BAD_INPUT, fail, json_flag
from tamarackfield.core import format_problems


@click.group()
def bundle() -> None:
    """Check, sign and inspect bundles."""


@bundle.command()
@click.argument('path')
def keygen(path: str) -> None:
    """Write a new private signing key to PATH and print its public key.

    Example: tamarackfield bundle keygen signing.key
    """
    try:
        click.echo(commands.write_key(path))
    except OSError as exc:
        fail(str(exc), EXIT_BAD_INPUT)


@bundle.command()
@click.argument('path')
def verify(path: str) -> None:
    """Check a bundle file and list all problems.

    Example: tamarackfield bundle verify bundle.json
    """
    document = _read_bundle_or_exit(path)
    click.echo(f'{path}: bundle {document["number"]} is good')


@bundle.command()
@click.argument('path')
@click.option('--key', required=True, help='File with the private signing key.')
@click.option('--out', required=True, help='Directory for the values to publish.')
def sign(path: str, key: str, out: str) -> None:
    """Check and sign a bundle and write the values to publish.

    Example: tamarackfield bundle sign bundle.json --key signing.key --out published
    """
    document = _read_bundle_or_exit(path)
    try:
        private_key = pathlib.Path(key).read_text().strip()
        publication = commands.sign_bundle(document, private_key)
    except (OSError, ValueError) as exc:
        fail(f'{key}: not a signing key: {exc}', EXIT_BAD_INPUT)
    try:
        count = commands.write_publication(publication, out)
    except OSError as exc:
        fail(f'{out}: {exc}', EXIT_BAD_INPUT)
    click.echo(f'bundle {document["number"]}: {count} values in {out}')


@bundle.command()
@click.argument('before')
@click.argument('after')
@json_flag
def diff(before: str, after: str, *, as_json: bool) -> None:
    """Show the differences between two bundles.

    Example: tamarackfield bundle diff bundle-7.json bundle-8.json
    """
    differences = queries.find_differences(_read_bundle_or_exit(before), _read_bundle_or_exit(after))
    if as_json:
        click.echo(json.dumps([{'path': path, 'before': old, 'after': new} for path, old, new in differences]))
        return
    for path, old, new in differences:
        click.echo(f'{path}: {json.dumps(old)} -> {json.dumps(new)}')


@bundle.command()
@click.argument('path')
def show(path: str) -> None:
    """Check a bundle and print it, indented.

    Example: tamarackfield bundle show bundle.json
    """
    click.echo(json.dumps(_read_bundle_or_exit(path), indent=2, sort_keys=True))


def _read_bundle_or_exit(path: str) -> dict[str, Any]:
    loaded = commands.read_bundle(path)
    if isinstance(loaded, Err):
        fail(f'{path}: {format_problems(loaded.err_value)}', EXIT_BAD_INPUT)
    return loaded.ok_value
