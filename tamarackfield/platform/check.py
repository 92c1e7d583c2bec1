"""Check of an operator's configuration before it is written to the store."""

import sys

from tamarackfield.cli.configuration import make_command
from tamarackfield.platform.items import decode_catalog


def main() -> None:
    """Run the command with the arguments after its name."""
    make_command(decode_catalog).main(sys.argv[2:], prog_name=sys.argv[1])
