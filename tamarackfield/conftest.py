"""Configuration of all tests: fixed Hypothesis seeds, and expected failures from KNOWN-RED.txt.

A listed test runs and may fail; one that passes fails the run, so that the list has no outdated entries.
"""

import pathlib

import hypothesis
import pytest

KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'

hypothesis.settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile('fixed')


def read_known_red(text: str) -> dict[str, str]:
    """Return the description of each listed failure, by test name.

    Each entry is one line: test; command and seed; observed failure; issue.

    Examples
    --------
    >>> read_known_red('a.py::test_x; bin/test a.py, seed 1; hangs; issue 4')
    {'a.py::test_x': 'bin/test a.py, seed 1; hangs; issue 4'}
    """
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith('#')]
    parts = [line.partition(';') for line in lines]
    return {name.strip(): description.strip() for name, _, description in parts}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as strictly expected failures."""
    known_red = read_known_red(KNOWN_RED_PATH.read_text())
    for item in items:
        description = known_red.get(item.nodeid)
        if description is not None:
            item.add_marker(pytest.mark.xfail(reason=f'KNOWN-RED: {description}', strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests in the terminal summary."""
    for name, description in read_known_red(KNOWN_RED_PATH.read_text()).items():
        terminalreporter.write_line(f'KNOWN-RED {name}: {description}')
