"""KNOWN-RED.txt: listed tests run, may fail and are printed; one that passes fails the run."""

import pathlib
import shutil
import subprocess
import sys

import pytest

from tamarackfield import conftest

CASES = 'def test_fails():\n    assert False\n\n\ndef test_passes():\n    assert True\n'


def run_listed(directory, *names):
    """Run two tests with these listed; return the exit code and the output."""
    package = directory / 'package'
    package.mkdir()
    shutil.copy(conftest.__file__, package / 'conftest.py')
    (package / 'test_cases.py').write_text(CASES)
    lines = [f'package/test_cases.py::{name}; bin/test; seen; issue 0' for name in names]
    pathlib.Path(directory / 'KNOWN-RED.txt').write_text('\n'.join(lines))
    command = (sys.executable, '-m', 'pytest', '-q', '--rootdir', str(directory), str(package))
    done = subprocess.run(command, cwd=directory, capture_output=True, text=True, check=False)
    return done.returncode, done.stdout


@pytest.mark.parametrize(
    ('names', 'code'),
    [((), 1), (('test_fails',), 0), (('test_passes',), 1), (('test_fails', 'test_passes'), 1)],
)
def test_only_listed_failures_pass_and_the_list_must_be_true(tmp_path, names, code):
    returned, output = run_listed(tmp_path, *names)
    assert returned == code, output
    assert all(f'KNOWN-RED package/test_cases.py::{name}: bin/test; seen; issue 0' in output for name in names)
