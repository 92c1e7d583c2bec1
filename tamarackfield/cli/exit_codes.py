"""Exit codes and flags common to all commands; docs/operators/commands.md lists them."""

import sys
from typing import NoReturn

import click

#: The input of a command, such as a file or an address, is invalid.
EXIT_BAD_INPUT = 2
#: A port in the settings is in use.
EXIT_PORT_IN_USE = 3
#: A process was unreachable or refused the command.
EXIT_UNREACHABLE = 4
#: The explained request was or would be refused, or is unknown.
EXIT_REFUSED = 5

json_flag = click.option('--json', 'as_json', is_flag=True, help='Print JSON for scripts.')


def fail(message: str, code: int) -> NoReturn:
    """Print one line on standard error and exit with a code."""
    click.echo(message, err=True)
    sys.exit(code)
