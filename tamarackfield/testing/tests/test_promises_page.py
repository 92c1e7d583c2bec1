"""The pages of promises name only tests that exist and are collected, and well-formed commit hashes."""

import pathlib
import re
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[3]
PAGES = (ROOT / 'docs' / 'PROMISES.md', *sorted((ROOT / 'docs' / 'promises').glob('*.md')))
TEST_NAME = re.compile(r'[\w/]+\.py(?:::\w+)+')
#: A commit hash, or ``held`` for a test that passed before any change.
COMMIT = re.compile(r'`[0-9a-f]{7,40}`|held')
COLUMN_COUNT = 6


def read_rows(text):
    """Return the cells of each table row, without heading rows and separator lines."""
    proofs, _, _ = text.partition('## Chaos runs')
    lines = [line for line in proofs.splitlines() if line.startswith('|')]
    rows = [[cell.strip() for cell in line.strip('|').split('|')] for line in lines]
    return [row for row in rows if row[0] != 'promise' and not row[0].startswith('-')]


def find_problems(rows, collected):
    """Return the problems in the rows of the main page."""
    problems = []
    for row in rows:
        tests = TEST_NAME.findall(row[2]) if len(row) == COLUMN_COUNT else []
        if not tests:
            problems.append(f'names no test: {row}')
        problems.extend(f'test was not collected: {test}' for test in tests if test not in collected)
        problems.extend(f'not a commit: {cell}' for cell in row[3:5] if not COMMIT.fullmatch(cell))
    return problems


@pytest.fixture(scope='module')
def collected():
    """Return the tests that pytest collects from the test files named on the pages."""
    named = {test for page in PAGES for test in TEST_NAME.findall(page.read_text())}
    files = sorted({test.partition('::')[0] for test in named})
    missing = [name for name in files if not (ROOT / name).exists()]
    assert missing == []
    command = (sys.executable, '-m', 'pytest', '--collect-only', '-n', '0', '-m', 'not skip', *files)
    listing = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    return {line.partition('[')[0] for line in listing.splitlines() if '::' in line}


def test_every_row_names_tests_that_are_collected(collected):
    rows = read_rows(PAGES[0].read_text())
    assert rows
    assert find_problems(rows, collected) == []


def test_further_pages_name_tests_that_are_collected(collected):
    named = {test for page in PAGES[1:] for test in TEST_NAME.findall(page.read_text())}
    assert named <= collected


def test_rows_with_a_wrong_test_or_commit_are_reported(collected):
    row = ['1', 'fault', '`tamarackfield/a.py::test_gone`', '`2886e20`', 'soon', '']
    assert find_problems([row], collected) == [
        'test was not collected: tamarackfield/a.py::test_gone',
        'not a commit: soon',
    ]
    assert find_problems([['1', 'fault', 'by hand', 'held', 'held', '']], collected) != []
