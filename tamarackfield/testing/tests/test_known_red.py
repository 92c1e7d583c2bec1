"""KNOWN-RED.txt: listed tests run, may fail and are printed; a listed test that passes fails the run."""

import pathlib
import shutil
import subprocess
import sys

import pytest

from tamarackfield import conftest

CASES = 'def test_fails():\n    assert False\n\n\ndef test_passes():\n    assert True\n'


def run_with_listed_tests(directory, *names):
    """Run a failing and a passing test with the given names listed; return the exit code and the output."""
    package = directory / 'package'
    package.mkdir()
    shutil.copy(conftest.__file__, package / 'conftest.py')
    (package / 'test_cases.py').write_text(CASES)
    lines = [f'package/test_cases.py::{name}; bin/test; seen; issue 0' for name in names]
    pathlib.Path(directory / 'KNOWN-RED.txt').write_text('\n'.join(lines))
    command = (sys.executable, '-m', 'pytest', '-q', '--rootdir', str(directory), str(package))
    completed = subprocess.run(command, cwd=directory, capture_output=True, text=True, check=False)
    return completed.returncode, completed.stdout


@pytest.mark.parametrize(
    ('names', 'code'),
    [((), 1), (('test_fails',), 0), (('test_passes',), 1), (('test_fails', 'test_passes'), 1)],
)
def test_unlisted_failure_or_listed_pass_fails_the_run(tmp_path, names, code):
    returned, output = run_with_listed_tests(tmp_path, *names)
    assert returned == code, output
    assert all(f'KNOWN-RED package/test_cases.py::{name}: bin/test; seen; issue 0' in output for name in names)
