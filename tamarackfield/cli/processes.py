"""Commands that query or control running processes: status, explain, drain and audit."""

import json
import sys
import urllib.parse
from typing import Any

import click
from result import Err, Result

from tamarackfield.cli import commands, queries
from tamarackfield.cli.exit_codes import EXIT_REFUSED, EXIT_UNREACHABLE, fail, json_flag
from tamarackfield.cli.tables import format_explanation, format_status_table
from tamarackfield.core.problems import split_address


def _add_explain_options(command: Any) -> Any:
    """Add the options of ``explain`` to a command."""
    options = (
        click.option('--request', 'request_id', default='', help='X-Request-Id of an earlier request.'),
        click.option('--model', default='', help='Adapter and version, as adapter@version.'),
        click.option('--caller', default='', help='Name of the caller.'),
        json_flag,
    )
    for option in reversed(options):
        command = option(command)
    return command


def _check_addresses(context: click.Context, parameter: click.Parameter, addresses: Any) -> Any:
    for address in addresses if isinstance(addresses, tuple) else (addresses,):
        try:
            split_address(address)
        except ValueError as exc:
            raise click.BadParameter(f'{address!r} is not an IP number with a port: {exc}') from None
    return addresses


@click.command()
@click.argument('addresses', nargs=-1, required=True, callback=_check_addresses)
@json_flag
def status(addresses: tuple[str, ...], *, as_json: bool) -> None:
    """Show the state of processes by the addresses of their operators' interfaces.

    Example: tamarackfield status 10.0.0.5:9001 10.0.0.6:9001
    """
    answers = {address: queries.fetch_page(address, '/status') for address in addresses}
    if as_json:
        click.echo(json.dumps({address: _get_answer_or_error(answer) for address, answer in answers.items()}))
    else:
        for line in format_status_table({address: _get_answer_or_error(answer) for address, answer in answers.items()}):
            click.echo(line)
    if any(isinstance(answer, Err) for answer in answers.values()):
        sys.exit(EXIT_UNREACHABLE)


@click.command()
@click.argument('address', callback=_check_addresses)
@_add_explain_options
def explain(address: str, request_id: str, model: str, caller: str, *, as_json: bool) -> None:
    """Explain how a request was routed, refused or delayed, or how it would be routed now.

    Example: tamarackfield explain 10.0.0.5:9001 --request order-17

    Example: tamarackfield explain 10.0.0.5:9001 --model draft@v3 --caller clinic
    """
    if not request_id and not (model and caller):
        raise click.UsageError('give --request, or --model and --caller')
    query = {'request': request_id} if request_id else {'model': model, 'caller': caller}
    answer = _get_answer_or_exit(queries.fetch_page(address, f'/explain?{urllib.parse.urlencode(query)}'))
    lines = [json.dumps(answer)] if as_json else format_explanation(answer)
    for line in lines:
        click.echo(line)
    if answer['verdict'] in {'refused', 'unknown'}:
        sys.exit(EXIT_REFUSED)


@click.command()
@click.argument('address', callback=_check_addresses)
@click.option('--token', envvar='TAMARACKFIELD_TOKEN', required=True, help='Operators token.')
def drain(address: str, token: str) -> None:
    """Order a sidecar to stop sending new requests to its target.

    Example: tamarackfield drain 10.0.0.6:9001 --token "$TAMARACKFIELD_TOKEN"
    """
    click.echo(json.dumps(_get_answer_or_exit(commands.drain(address, token))))


@click.command('declare-first-start')
@click.argument('address', callback=_check_addresses)
@click.option('--token', envvar='TAMARACKFIELD_TOKEN', required=True, help='Operators token.')
def declare_first_start(address: str, token: str) -> None:
    """Declare to a sidecar that no idempotency key ran before its process started.

    Only for the first start of a deployment. After a restart a key may run twice if this is declared.

    Example: tamarackfield declare-first-start 10.0.0.6:9001 --token "$TAMARACKFIELD_TOKEN"
    """
    click.echo(json.dumps(_get_answer_or_exit(commands.declare_first_start(address, token))))


@click.command()
@click.argument('address', callback=_check_addresses)
@click.option('--since', default=0, type=click.IntRange(min=0), help='Show changes after this sequence number.')
@json_flag
def audit(address: str, since: int, *, as_json: bool) -> None:
    """List the changes that a process made or accepted.

    Example: tamarackfield audit 10.0.0.6:9001 --since 40
    """
    changes = _get_answer_or_exit(queries.fetch_page(address, f'/audit?since={since}'))['changes']
    if as_json:
        click.echo(json.dumps(changes))
        return
    for change in changes:
        details = ' '.join(f'{key}={part}' for key, part in change.items())
        click.echo(details)


def _get_answer_or_exit(answer: Result[Any, str]) -> Any:
    if isinstance(answer, Err):
        fail(answer.err_value, EXIT_UNREACHABLE)
    return answer.ok_value


def _get_answer_or_error(answer: Result[Any, str]) -> Any:
    return {'error': answer.err_value} if isinstance(answer, Err) else answer.ok_value
