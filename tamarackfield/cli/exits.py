"""Exit codes and flags that all commands share; docs/operators/commands.md lists them."""

import sys
from typing import NoReturn

import click

#: The input of a command, such as a file or an address, is not good.
EXIT_BAD_INPUT = 2
#: A port that the settings name is in use.
EXIT_PORT_IN_USE = 3
#: A process could not be reached, or it refused the command.
EXIT_UNREACHABLE = 4
#: The request that was explained would be refused, or is not known.
EXIT_REFUSED = 5

json_flag = click.option('--json', 'as_json', is_flag=True, help='Print JSON for scripts.')


def fail(message: str, code: int) -> NoReturn:
    """Print one line on standard error and exit."""
    click.echo(message, err=True)
    sys.exit(code)
