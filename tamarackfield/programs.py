"""Start of the programs of the own interface: signals are held first, and the modules of the program imported then.

Run as ``python -m tamarackfield.programs entry|sidecar|standin``, or by the names that pyproject.toml gives.
"""

import importlib
import sys

from tamarackfield.process_signals import PROCESS_SIGNALS

#: Module with the command of each program.
MODULES = {
    'entry': 'tamarackfield.entry.main',
    'sidecar': 'tamarackfield.sidecar.main',
    'standin': 'tamarackfield.testing.main',
}


def run_entry() -> None:
    """Run ``tamarackfield-entry``."""
    _run('entry')


def run_sidecar() -> None:
    """Run ``tamarackfield-sidecar``."""
    _run('sidecar')


def run_standin() -> None:
    """Run ``tamarackfield-standin``."""
    _run('standin')


def _run(name: str) -> None:
    PROCESS_SIGNALS.hold()
    importlib.import_module(MODULES[name]).main(prog_name=f'tamarackfield-{name}')


if __name__ == '__main__':
    name = sys.argv.pop(1) if len(sys.argv) > 1 else ''
    if name not in MODULES:
        sys.exit('usage: python -m tamarackfield.programs entry|sidecar|standin')
    _run(name)
